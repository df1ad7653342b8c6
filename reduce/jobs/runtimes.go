package jobs

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/banyanrail/banyanrail/reduce/runtimes"
)

// maxUnseenTime is the longest time before an end was read in which the run may have ended. It
// is an eighth of a usual run time; a run that may have ended earlier is not learned from.
const maxUnseenTime = 100 * time.Millisecond

const (
	// runTimesInterval is the least time between two records of what was learned. What the
	// next owner lacks of it shows again within some tens of runs.
	runTimesInterval = 5 * time.Second
	// maxRunTimesBytes bounds such a record, to some 300 keys: the slowest link of an owner
	// transfers it in an eighth of a second.
	maxRunTimesBytes = 32 << 10
)

// learned is what an owner has learned of run times.
type learned struct {
	model *runtimes.Model
	// unstored is set while the ledger lacks some of it, and storedAt is when it was last
	// stored. rejected is set once the store has rejected its record.
	unstored, rejected bool
	storedAt           time.Time
}

// storeRunTimes adds what was learned to changes that are about to be stored, if that is due.
func (o *ownership) storeRunTimes() {
	l := &o.learned
	if !l.unstored || l.rejected || len(o.outbox.queue) == 0 || o.now().Sub(l.storedAt) < runTimesInterval {
		return
	}
	l.unstored, l.storedAt = false, o.now()
	o.outbox.add(change{kind: runTimesChange})
}

// runTimeRecords returns the record that stores what was learned.
func (o *ownership) runTimeRecords() []ledger.Record {
	return []ledger.Record{ledger.FitRunTimes(o.learned.model.Entries(), min(maxRunTimesBytes, o.recordLimit()))}
}

// restoreRunTimes restores what earlier owners have learned.
func (o *ownership) restoreRunTimes(stored *ledger.RunTimes) {
	if stored == nil {
		return
	}
	o.learned.storedAt = o.now()
	if invalid := o.learned.model.Restore(stored.Entries); invalid > 0 {
		o.s.logDecision(effect.Decision{Name: "run times dropped", Warning: true, Epoch: o.epoch, Count: invalid, Reason: "they are implausible"})
	}
}

// learnsRunTimes reports whether the expected run times are learned, rather than the clients'
// estimates.
func (o *ownership) learnsRunTimes() bool { return o.s.cfg.LearnRunTimes }

// expect returns what is expected of the run time of a job's step.
func (o *ownership) expect(j *job, number int) runtimes.Expectation {
	spec := &j.spec.Steps[number]
	if !o.learnsRunTimes() {
		return runtimes.Expectation{Typical: spec.Estimate, Mean: spec.Estimate, Tail: spec.Estimate}
	}
	return o.learned.model.Expect(keyOf(j, number), spec.Estimate)
}

func keyOf(j *job, number int) runtimes.Key {
	return runtimes.Key{Queue: j.queue, Step: number, Image: j.spec.Steps[number].Image}
}

// expectedPath returns the expected run time of the longest chain of a job's steps.
func (o *ownership) expectedPath(j *job) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(j.spec.Steps))
	for i := range j.spec.Steps {
		var begin time.Duration
		for _, a := range j.spec.Steps[i].After {
			begin = max(begin, ends[a])
		}
		ends[i] = fleet.AddDurations(begin, o.expect(j, i).Typical)
		longest = max(longest, ends[i])
	}
	return longest
}

// setPaths sets the expected run time of each step and of the longest chain that it begins.
func (o *ownership) setPaths(occ *occurrence) {
	for i := len(occ.steps) - 1; i >= 0; i-- {
		st := occ.steps[i]
		st.expectedFirst = o.expect(occ.job, i)
		st.setExpected(st.expectedFirst)
		for _, a := range st.spec.After {
			occ.steps[a].following = max(occ.steps[a].following, st.criticalPath)
		}
	}
}

// setExpected sets the expected run time of the step's tasks.
func (st *step) setExpected(e runtimes.Expectation) {
	st.expected = e
	st.criticalPath = fleet.AddDurations(e.Typical, st.following)
}

// refreshExpected takes account of what was learned since the step's job was accepted. It is
// called when the step begins to wait.
func (o *ownership) refreshExpected(st *step) {
	if o.learnsRunTimes() && st.ended.Count() == 0 {
		st.expectedFirst = o.expect(st.occ.job, st.number)
		st.setExpected(st.expectedFirst)
	}
}

// noteRemaining notes when the runner leaves. Its first report tells it best: the list may
// show an old report as a new one.
func (r *runner) noteRemaining(now time.Time) {
	at := now.Add(r.Remaining)
	switch {
	case r.Remaining == 0:
		r.leavesAt = time.Time{}
	case r.leavesAt.IsZero() || at.Before(r.leavesAt):
		r.leavesAt = at
	}
}

// endsBeforeLeaving reports whether a task of a step that starts now on a runner ends before the
// runner leaves, even if it takes unusually long.
func (o *ownership) endsBeforeLeaving(st *step, r *runner) bool {
	if r.leavesAt.IsZero() || !o.learnsRunTimes() {
		return true
	}
	return !st.spec.LongRunning && !o.now().Add(st.expected.Tail).After(r.leavesAt)
}

// Reasons for not learning from a run.
const (
	reasonNotDone        effect.Reason = "not done"
	reasonLaterAttempt   effect.Reason = "later attempt"
	reasonStartUnknown   effect.Reason = "start not confirmed"
	reasonPaced          effect.Reason = "paced"
	reasonAwayFromData   effect.Reason = "away from its data"
	reasonUnhealthy      effect.Reason = "runner not healthy"
	reasonEndNoticedLate effect.Reason = "end noticed late"
)

// learnRunTime adds the run time of a run that has ended to what was learned. It is called
// before the outcome counts for the health of the runner.
func (o *ownership) learnRunTime(run *run, outcome fleet.RunOutcome) {
	st := run.task.step
	if !o.learnsRunTimes() || st.spec.LongRunning || st.estimate <= 0 {
		return
	}
	if reason := o.unfitToLearn(run, outcome); reason != "" {
		o.s.count("run_times_left_out", reason)
		return
	}
	actual := o.now().Sub(run.confirmedAt)
	o.s.emit(effect.Observe{Name: "run_time_error_estimate", Duration: (actual - st.estimate).Abs()})
	o.s.emit(effect.Observe{Name: "run_time_error_expected", Duration: (actual - st.expected.Typical).Abs()})
	st.ended.Add(actual)
	o.learned.model.ObserveOneOf(keyOf(st.occ.job, st.number), st.estimate, actual, st.spec.Count)
	o.learned.unstored = true
	st.refineExpected()
}

// unfitToLearn returns why a run tells nothing of the run time of its task; empty if it does.
func (o *ownership) unfitToLearn(run *run, outcome fleet.RunOutcome) effect.Reason {
	h, rack := &run.runner.health, run.task.step.spec.Affinity
	switch {
	case outcome != fleet.RunDone:
		return reasonNotDone
	case run.attempt > 1:
		return reasonLaterAttempt
	case run.phase != runRunning || run.startEpoch != o.epoch || run.startRepeated || !run.startableUntil.IsZero():
		return reasonStartUnknown
	case !run.pace.changedAt.IsZero():
		return reasonPaced
	case rack != "" && rack != run.runner.Rack:
		return reasonAwayFromData
	case h.failures > 0 || h.quarantinedUntil.After(run.confirmedAt):
		return reasonUnhealthy
	case run.runner.poll.unseen+o.s.lag.At(o.now()) > maxUnseenTime:
		return reasonEndNoticedLate
	default:
		return ""
	}
}

// refineExpected refines what is expected of the step's waiting tasks by those that have ended.
func (st *step) refineExpected() {
	if !st.ended.Doubled() || !st.hasWaiting() {
		return
	}
	begun := 0
	for _, t := range st.tasks {
		if t.phase != taskWaiting {
			begun++
		}
	}
	st.setExpected(st.ended.Refine(st.expectedFirst, begun))
}
