package timer_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/reduce/timer"
	"github.com/shoenig/test/must"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestTimersWithEqualTimesFireInSetOrder(t *testing.T) {
	var h timer.Heap
	timers := make([]timer.Timer, 100)
	for i := range timers {
		h.Set(&timers[i], epoch, i)
	}
	for i := range timers {
		owner, ok := h.Pop(epoch)
		must.True(t, ok)
		must.EqOp(t, i, owner.(int))
	}
}

// TestHeapMatchesASortedList sets, moves and clears timers at random and
// compares the order in which they fire with a sorted list.
func TestHeapMatchesASortedList(t *testing.T) {
	for seed := range uint64(100) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		var h timer.Heap
		timers := make([]timer.Timer, 64)
		set := map[int]time.Time{}
		for range 1000 {
			i := rnd.IntN(len(timers))
			if rnd.IntN(3) == 0 {
				h.Clear(&timers[i])
				delete(set, i)
				continue
			}
			set[i] = epoch.Add(time.Duration(rnd.IntN(1_000_000)) * time.Microsecond)
			h.Set(&timers[i], set[i], i)
		}
		must.EqOp(t, len(set), h.Len())
		var want, got []time.Time
		for _, at := range set {
			want = append(want, at)
		}
		slices.SortFunc(want, time.Time.Compare)
		for h.Len() > 0 {
			must.EqOp(t, want[len(got)], h.Next())
			_, early := h.Pop(h.Next().Add(-1))
			must.False(t, early)
			owner, ok := h.Pop(h.Next())
			must.True(t, ok)
			got = append(got, set[owner.(int)])
		}
		must.Eq(t, want, got)
	}
}

// TestFarTimersDoNotHoldUpOthers: a time beyond the year 2262 was ordered before all others, so that
// nothing else fired (review case 11).
func TestFarTimersDoNotHoldUpOthers(t *testing.T) {
	times := []time.Time{
		time.UnixMilli(-1 << 62), time.Date(1, 1, 1, 0, 0, 0, 0, time.UTC), time.Date(1600, 1, 1, 0, 0, 0, 0, time.UTC), time.Unix(0, -1<<63),
		time.Unix(0, 0), epoch, time.Unix(0, 1<<63-1), time.Unix(0, 1<<63-1).Add(1), time.Date(2263, 1, 1, 0, 0, 0, 0, time.UTC),
		time.Date(9999, 12, 31, 0, 0, 0, 0, time.UTC), time.UnixMilli(1 << 62), time.UnixMilli(1<<63 - 1),
	}
	for seed := range uint64(200) {
		var h timer.Heap
		timers := make([]timer.Timer, len(times))
		for _, i := range rand.New(rand.NewPCG(seed, 3)).Perm(len(times)) {
			h.Set(&timers[i], times[i], i)
		}
		for i, at := range times {
			must.EqOp(t, at, h.Next())
			owner, ok := h.Pop(at)
			must.True(t, ok)
			must.EqOp(t, i, owner.(int))
		}
	}
}
