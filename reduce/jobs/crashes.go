package jobs

import (
	"time"

	"github.com/banyanrail/banyanrail/reduce/effect"
)

// noteRunnerEnd logs that a runner has ended, and whether it crashed or left as planned.
func (o *ownership) noteRunnerEnd(r *runner, evidence effect.Reason) {
	d := effect.Decision{
		Name: "runner crashed", Warning: true, Runner: r.ID, Reason: evidence, Count: len(r.runs), Epoch: o.epoch,
		Age: o.now().Sub(r.endedAtLatest(o.now())),
	}
	if o.leftAsPlanned(r) {
		d.Name, d.Warning = "runner left", false
	} else {
		o.s.count("runners_crashed", evidence)
	}
	o.s.logDecision(d)
}

// leftAsPlanned reports whether a runner that has ended was draining, or its instance
// was or may have been ordered to stop it.
func (o *ownership) leftAsPlanned(r *runner) bool {
	if r.Draining || r.vacating {
		return true
	}
	i, ok := o.instances.byID[r.Instance]
	if !ok {
		return false
	}
	ordered := i.pending != nil || (!i.orderedAt.IsZero() && o.now().Sub(i.orderedAt) <= o.s.cfg.Bounds.InstanceLease)
	return ordered || (!o.formerLeaseExpired() && o.instances.mayBeOrdered(i.ID))
}

// endedAtLatest returns the latest time at which a runner that has ended may have done so:
// when it stopped answering, or now if it answered until now.
func (r *runner) endedAtLatest(now time.Time) time.Time {
	if r.poll.unreachable {
		return r.poll.silentSince
	}
	return now
}

// knownRunTime returns how long the runner is known to have run the task.
func (run *run) knownRunTime() time.Duration {
	if run.runningSince.IsZero() || run.listedAt.Before(run.runningSince) {
		return 0
	}
	return run.listedAt.Sub(run.runningSince)
}
