package forecast_test

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/reduce/forecast"
	"github.com/shoenig/test/must"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

const (
	tick = 50 * time.Millisecond
	// jobWork is the work of a job, and peak the rate of jobs in a turn.
	jobWork = 36_000
	peak    = 20
)

// play feeds arrivals by chance at a rate of jobs a second, from one time to another, and
// calls check every tick.
func play(d *forecast.Demand, seed int64, from, to time.Duration, rate func(time.Duration) float64, check func(time.Duration)) {
	rng := rand.New(rand.NewSource(seed))
	for at := from; at < to; at += tick {
		d.Advance(start.Add(at))
		for chance := rate(at) * tick.Seconds(); chance > 0; chance-- {
			if rng.Float64() < chance {
				d.Observe(start.Add(at), jobWork)
			}
		}
		check(at)
	}
}

func turns(period, length time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%period < length {
			return peak
		}
		return 0.25
	}
}

// TestForecastsTurns guards against a forecast before a repetition was seen, and one of another
// time or height than the turns have. Each time until the next turn is given from 3 s before.
func TestForecastsTurns(t *testing.T) {
	for seed := range int64(30) {
		var d forecast.Demand
		missed := 0
		play(&d, seed, 0, 2*time.Minute, turns(20*time.Second, 5*time.Second), func(at time.Duration) {
			period, ok := d.Repeats()
			if at < 23*time.Second {
				must.False(t, ok, must.Sprint(seed, at))
			}
			if at < 30*time.Second || at%(20*time.Second) != 17*time.Second {
				return
			}
			until, ok := d.Until()
			if !ok {
				missed++
				return
			}
			must.Between(t, 2500*time.Millisecond, until, 3500*time.Millisecond, must.Sprint(seed, at))
			must.Between(t, 19*time.Second, period, 21*time.Second)
			must.Between(t, 0.7*peak*jobWork, d.Height(), 1.4*peak*jobWork)
		})
		must.LessEq(t, 1, missed, must.Sprint(seed))
		must.LessEq(t, 1, d.Dropped, must.Sprint(seed))
	}
}

// TestDropsAForecastThatDoesNotComeTrue guards against instances that wait for a turn that
// does not come, and against forecasts after it without new turns.
func TestDropsAForecastThatDoesNotComeTrue(t *testing.T) {
	for seed := range int64(30) {
		var d forecast.Demand
		last := 60 * time.Second
		play(&d, seed, 0, 3*time.Minute, func(at time.Duration) float64 {
			if at > last {
				return 0.25
			}
			return turns(20*time.Second, 5*time.Second)(at)
		}, func(at time.Duration) {
			if _, ok := d.Repeats(); at > last+2*time.Second {
				must.False(t, ok, must.Sprint(seed, at))
			}
		})
	}
}

// TestIsSilentWithoutARepetition guards against forecasts for loads that have no period: a
// steady one, one of bursts at drawn times, and a single burst.
func TestIsSilentWithoutARepetition(t *testing.T) {
	var begins []time.Duration
	rng := rand.New(rand.NewSource(1))
	for at := time.Duration(0); at < 10*time.Minute; at += time.Duration(8+rng.Intn(30)) * time.Second {
		begins = append(begins, at)
	}
	drawn := func(at time.Duration) float64 {
		for _, b := range begins {
			if at >= b && at < b+5*time.Second {
				return peak
			}
		}
		return 0.25
	}
	loads := map[string]struct {
		rate    func(time.Duration) float64
		dropped int
	}{
		"steady": {func(time.Duration) float64 { return 5 }, 1},
		"drawn":  {drawn, 3},
		"single": {func(at time.Duration) float64 { return peak * math.Max(0.01, 1-at.Seconds()/10) }, 0},
	}
	for name, load := range loads {
		for seed := range int64(10) {
			var d forecast.Demand
			play(&d, seed, 0, 10*time.Minute, load.rate, func(time.Duration) {})
			must.LessEq(t, load.dropped, d.Dropped, must.Sprint(name, seed))
			must.LessEq(t, 3, d.Met, must.Sprint(name, seed))
		}
	}
}

// TestTakesTimeThatStandsStillOrLeaps guards against a division by zero or an endless wait after
// a suspension.
func TestTakesTimeThatStandsStillOrLeaps(t *testing.T) {
	var d forecast.Demand
	for range 100 {
		d.Observe(start, jobWork)
	}
	d.Observe(start.Add(-time.Second), jobWork)
	d.Observe(start.Add(100*time.Hour), 0)
	d.Advance(start.Add(1000 * time.Hour))
	must.False(t, math.IsNaN(d.Height()))
	_, ok := d.Repeats()
	must.False(t, ok)
}

// TestAssumesThePeriodOfAnotherPoolOnce guards against a forecast by another pool's period that
// is repeated although it did not come true, or that is made without a burst or in one.
func TestAssumesThePeriodOfAnotherPoolOnce(t *testing.T) {
	const period = 20 * time.Second
	var d forecast.Demand
	assumed := func() bool {
		d.Assume(period)
		_, ok := d.Repeats()
		return ok
	}
	must.False(t, assumed())
	play(&d, 1, 0, 40*time.Second, func(at time.Duration) float64 {
		return turns(time.Hour, 5*time.Second)(at)
	}, func(at time.Duration) {
		switch at.Milliseconds() {
		case 3000:
			must.False(t, assumed())
		case 10_000:
			must.True(t, assumed())
			until, ok := d.Until()
			must.True(t, ok)
			must.Between(t, 9*time.Second, until, 11*time.Second)
			d.Suspend()
			_, ok = d.Until()
			must.False(t, ok)
			must.True(t, assumed())
		case 23_000:
			must.False(t, assumed())
			must.Eq(t, 1, d.Dropped)
		}
	})
}
