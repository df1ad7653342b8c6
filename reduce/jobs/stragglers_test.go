package jobs_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

// wideWorld is a world of runners with room for 64 tasks each.
func wideWorld(t *testing.T, seed int64, runners int) *world {
	w := newWorld(t, seed, 3, runners, slowClock)
	for _, r := range w.runners {
		r.capacity = fleet.Capacity{CPU: 64_000, Memory: 64_000}
	}
	w.run(5 * time.Second)
	return w
}

// TestLongRunsAreNotTakenForStalled has sound runs of minutes and hours, which progress by less than a percent in
// the shortest time that counts as a stall: each owner restarted them twice, and their work was lost.
func TestLongRunsAreNotTakenForStalled(t *testing.T) {
	for _, length := range []time.Duration{10 * time.Second, 3 * time.Minute, time.Hour, 30 * 24 * time.Hour} {
		t.Run(length.String(), func(t *testing.T) {
			t.Parallel()
			w := wideWorld(t, 494, 4)
			for n := range 4 {
				w.submit(jobID(n), oneTaskJob(length))
			}
			w.run(20 * time.Second)
			o := w.owner()
			o.kill()
			w.after(time.Second, o.restart)
			w.run(40 * time.Second)
			must.Eq(t, 4, w.starts)
			w.checkInvariants()
		})
	}
}
