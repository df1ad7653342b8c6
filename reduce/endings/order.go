package endings

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

const (
	// OrderSilence is how long a runner has to be silent before an order about its instance ends
	// it. Most cuts are over by then, and so are the leases of its runs.
	OrderSilence = 8 * time.Second
	// minSavedWait is the least wait of the held tasks for which a runner is ended. It is the
	// time of an order that is repeated once.
	minSavedWait = 2 * time.Second
)

// Silent is the owner's view of a runner that does not answer, for the choice of those that
// an order about their instances is to end.
type Silent struct {
	Runner fleet.RunnerID
	// Silence is how long it has not answered.
	Silence time.Duration
	// MayRun is set while it may run a task whose run is not given up: that goes on until its
	// lease expires.
	MayRun bool
	// Held is the number of tasks that may start nowhere else while the runner may carry out
	// their starts, and Wait how long that lasts for the last of them.
	Held int
	Wait time.Duration
	// Interrupts is set if the order might end a long-running task that is at work, beside more
	// unavailable ones than its step allows.
	Interrupts bool
	// Orderable is set if a list that was requested in the silence has the runner on its
	// instance, and an order about it may be given now.
	Orderable bool
}

// worthOrder reports whether an order about the runner's instance is worth its price: the runner
// is away for the time of a move, and perhaps for that of another one back.
func (s *Silent) worthOrder() bool {
	return s.Held > 0 && s.Orderable && !s.MayRun && !s.Interrupts && s.Silence >= OrderSilence && s.Wait >= minSavedWait
}

// WorthOrder returns the runners that are to be ended by orders, at most limit. Those that hold
// the most tasks come first.
func WorthOrder(silent []Silent, limit int) []Silent {
	var out []Silent
	for i := range silent {
		if silent[i].worthOrder() {
			out = append(out, silent[i])
		}
	}
	slices.SortFunc(out, func(a, b Silent) int {
		return cmp.Or(cmp.Compare(b.Held, a.Held), cmp.Compare(b.Wait, a.Wait), cmp.Compare(a.Runner, b.Runner))
	})
	return out[:min(len(out), max(0, limit))]
}
