package jobs

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
)

const (
	// maxUnproven is the number of runs on a runner that has ended none well
	// yet: a runner that fails all it starts takes no more than that.
	maxUnproven = 16
	// failuresSuspect is the number of failures in a row after which one run at
	// a time probes a runner, and failuresBad that after which it rests.
	// Jobs that can never be done fail too, so one failure says little.
	failuresSuspect = 2
	failuresBad     = 3
	// restFirst is the first rest; each further one doubles up to restMost.
	// Troubles of runners last about five seconds.
	restFirst = 1500 * time.Millisecond
	restMost  = 6 * time.Second
)

// health is what the ends of runs tell about a runner.
type health struct {
	proven bool
	// failures counts bad ends since the last good one.
	failures int
	rests    int
	until    time.Time
}

// prove notes a good end.
func (h *health) prove() {
	h.proven, h.failures, h.rests = true, 0, 0
}

// fit reports whether a runner's record allows one more run.
func (o *ownership) fit(r *runner) bool {
	h := &r.health
	switch {
	case o.now().Before(h.until):
		return false
	case h.failures >= failuresSuspect:
		return r.unproven() == 0
	case !h.proven:
		return r.unproven() < maxUnproven
	default:
		return true
	}
}

// unproven counts the runs of which it is not known yet whether they work:
// lasting tasks at work have shown it.
func (r *runner) unproven() int {
	n := 0
	for _, run := range r.runs {
		if !run.available {
			n++
		}
	}
	return n
}

// learn takes in how a run ended.
func (o *ownership) learn(r *runner, run *run, how fleet.RunOutcome) {
	switch how {
	case fleet.RunDone:
		r.health.prove()
	case fleet.RunFailed:
		if !run.available {
			o.strike(r, "failed a task")
		}
	default: // the owner's own acts, or losses, say nothing
	}
}

// strike notes a bad end and lets the runner rest after several.
func (o *ownership) strike(r *runner, reason effect.Reason) {
	h := &r.health
	h.failures++
	if h.failures < failuresBad || o.now().Before(h.until) {
		return
	}
	o.rest(r, reason)
}

func (o *ownership) rest(r *runner, reason effect.Reason) {
	h := &r.health
	pause := min(restFirst<<h.rests, restMost)
	h.rests++
	h.until = o.now().Add(pause)
	o.s.logDecision(effect.Decision{
		Name: "runner rests", Runner: r.ID, Reason: reason, Count: h.failures, Age: pause, Epoch: o.epoch,
	})
	o.s.count("runners_rested", reason)
}
