package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestSendDeadlineIsNeverLateAtTheDispatcher draws latencies of readings and of orders, and
// rates of the dispatcher's clock. An order that took 1 to 20 ms is in time, also after a
// reading that was delayed.
func TestSendDeadlineIsNeverLateAtTheDispatcher(t *testing.T) {
	const freshFor = 400 * time.Millisecond
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			draw := rand.New(rand.NewPCG(seed, 1))
			between := func(low, high time.Duration) time.Duration {
				return low + time.Duration(draw.Int64N(int64(high-low)))
			}
			rate := slowestDispatcherRate + draw.Float64()*2*(1-slowestDispatcherRate)
			start := time.UnixMilli(1_000_000)
			dispatcher := func(at time.Time) time.Time {
				return time.UnixMilli(77_000_000).Add(time.Duration(rate * float64(at.Sub(start))))
			}
			var clock dispatcherClock
			delayed := false
			for now := start; now.Before(start.Add(5 * time.Minute)); now = now.Add(time.Second) {
				delay := between(time.Millisecond, 20*time.Millisecond)
				if delayed = !delayed && draw.IntN(5) == 0; delayed {
					delay = between(0, 900*time.Millisecond)
				}
				clock.observe(time.UnixMilli(dispatcher(now).UnixMilli()), now.Add(delay))
				decided := now.Add(delay + between(0, time.Second-delay))
				deadline := clock.earliest(decided.Add(freshFor))
				must.False(t, deadline.After(dispatcher(decided.Add(freshFor))), must.Sprint(now.Sub(start), rate))
				if now.Equal(start) && delayed {
					continue
				}
				arrived := dispatcher(decided.Add(between(time.Millisecond, 20*time.Millisecond)))
				must.False(t, arrived.After(deadline), must.Sprint(now.Sub(start), rate))
			}
		})
	}
}

// TestClockThatStoodStillIsFollowed has a dispatcher whose clock loses 10 s, as when its
// virtual machine is paused.
func TestClockThatStoodStillIsFollowed(t *testing.T) {
	var clock dispatcherClock
	start := time.UnixMilli(1_000_000)
	clock.observe(start, start)
	resumed := start.Add(10 * time.Second)
	clock.observe(start.Add(time.Millisecond), resumed)
	must.Eq(t, start.Add(time.Millisecond), clock.earliest(resumed))
}
