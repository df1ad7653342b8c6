package forecast_test

import (
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/reduce/forecast"
	"github.com/shoenig/test/must"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// jobWork is the work of a job, and peak the rate of jobs in a turn.
const jobWork, peak = 36_000, 20

// play feeds arrivals by chance at a rate of jobs a second, and calls check every tick with the
// time and the forecast.
func play(d *forecast.Demand, seed int64, length time.Duration, rate func(time.Duration) float64, check func(time.Duration, bool)) {
	const tick = 50 * time.Millisecond
	rng := rand.New(rand.NewSource(seed))
	for at := time.Duration(0); at < length; at += tick {
		d.Advance(start.Add(at))
		for chance := rate(at) * tick.Seconds(); chance > 0; chance-- {
			if rng.Float64() < chance {
				d.Observe(start.Add(at), jobWork)
			}
		}
		_, ok := d.Repeats()
		check(at, ok)
	}
}

// turns is a rate with turns of 5 s, up to a time.
func turns(period, last time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at <= last && at%period < 5*time.Second {
			return peak
		}
		return 0.25
	}
}

// TestForecastsTurns guards against a forecast before a repetition was seen, and one of another
// time or height than the turns have. Each time until the next turn is given from 3 s before. After
// turns that end, it guards against instances that wait for a turn that does not come, and
// against forecasts without new turns.
func TestForecastsTurns(t *testing.T) {
	for seed := range int64(30) {
		var d, ending forecast.Demand
		missed := 0
		play(&d, seed, 2*time.Minute, turns(20*time.Second, time.Hour), func(at time.Duration, ok bool) {
			must.False(t, ok && at < 23*time.Second, must.Sprint(seed, at))
			if at < 30*time.Second || at%(20*time.Second) != 17*time.Second {
				return
			}
			until, ok := d.Until()
			if !ok {
				missed++
				return
			}
			period, _ := d.Repeats()
			must.Between(t, 2500*time.Millisecond, until, 3500*time.Millisecond, must.Sprint(seed, at))
			must.Between(t, 19*time.Second, period, 21*time.Second)
			must.Between(t, 0.7*peak*jobWork, d.Height(), 1.4*peak*jobWork)
		})
		must.LessEq(t, 1, missed, must.Sprint(seed))
		must.LessEq(t, 1, d.Dropped, must.Sprint(seed))
		play(&ending, seed, 3*time.Minute, turns(20*time.Second, time.Minute), func(at time.Duration, ok bool) {
			must.False(t, ok && at > 62*time.Second, must.Sprint(seed, at))
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
	for _, load := range []struct {
		dropped int
		rate    func(time.Duration) float64
	}{
		{1, func(time.Duration) float64 { return 5 }},
		{0, func(at time.Duration) float64 { return peak * math.Max(0.01, 1-at.Seconds()/10) }},
		{3, func(at time.Duration) float64 {
			last, found := slices.BinarySearch(begins, at)
			if !found {
				last--
			}
			return turns(time.Hour, time.Hour)(at - begins[last])
		}},
	} {
		for seed := range int64(10) {
			var d forecast.Demand
			play(&d, seed, 10*time.Minute, load.rate, func(time.Duration, bool) {})
			must.LessEq(t, load.dropped, d.Dropped, must.Sprint(load.dropped, seed))
			must.LessEq(t, 3, d.Met, must.Sprint(load.dropped, seed))
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
	var d forecast.Demand
	mustAssume := func(want bool) {
		t.Helper()
		d.Assume(20 * time.Second)
		_, ok := d.Repeats()
		must.Eq(t, want, ok)
	}
	mustAssume(false)
	play(&d, 1, 40*time.Second, turns(time.Hour, time.Hour), func(at time.Duration, _ bool) {
		switch at.Milliseconds() {
		case 3000:
			mustAssume(false)
		case 10_000:
			mustAssume(true)
			until, ok := d.Until()
			must.True(t, ok)
			must.Between(t, 9*time.Second, until, 11*time.Second)
			d.Suspend()
			_, ok = d.Until()
			must.False(t, ok)
			mustAssume(true)
		case 23_000:
			mustAssume(false)
			must.Eq(t, 1, d.Dropped)
		}
	})
}
