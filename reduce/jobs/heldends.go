package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

// heldEnd is an ended run of which a start may still be carried out by a later incarnation of
// its runner. The end is not acknowledged before that is over: an acknowledged success is
// final, and the task must not start again.
type heldEnd struct {
	number int64
	until  time.Time
}

const (
	// heldEndsPollDelay is the delay between polls of a busy runner while ends are held: it lists
	// them at once, so long polls do not wait. heldEndsIdleDelay is that of an idle runner, whose
	// lease has to last until its ends are acknowledged.
	heldEndsPollDelay = 100 * time.Millisecond
	heldEndsIdleDelay = time.Second
	// maxHeldEnds bounds the ends that are not acknowledged because of an earlier one that is
	// held. A runner lists endsPerPoll of them at most.
	maxHeldEnds = 300
)

// hold records for the next owner that the ends of a task are held. It is stored before the end of the
// task, and dropped once the start can't be carried out any more.
type hold struct {
	ledger.Hold
	stored bool
	timer  timer.Timer
}

// heldTask identifies the ends of a task on a runner.
type heldTask struct {
	runner fleet.RunnerID
	task   fleet.TaskID
}

// addHolds records which ends of a task that ends are held: the ledger has the late starts of tasks
// that have not ended only.
func (o *ownership) addHolds(t *task) {
	for _, late := range t.lateStarts {
		o.addHold(t, late.runner, late.attempt, late.epoch, late.until)
	}
	if run := t.run; run != nil && (run.mayStartLate || run.startInFlight()) {
		o.addHold(t, run.runner, run.attempt, run.startEpoch, latest(run.startableUntil, run.startSentUntil))
	}
}

func (o *ownership) addHold(t *task, r *runner, attempt, epoch int64, until time.Time) {
	if !o.now().Before(until) {
		return
	}
	h := &hold{Hold: ledger.Hold{Task: t.id(), Attempt: attempt, Runner: r.ID, Epoch: cmp.Or(epoch, o.epoch-1)}}
	j := t.job()
	j.unstoredHolds = append(j.unstoredHolds, h)
	o.timers.Set(&h.timer, until, h)
}

// holdRecords returns the records of the holds that are to be stored with a job.
func (o *ownership) holdRecords(j *job) []ledger.Record {
	var out []ledger.Record
	for _, h := range j.unstoredHolds {
		if h.timer.IsSet() {
			h.stored = true
			out = append(out, ledger.Record{Hold: &h.Hold})
		}
	}
	j.unstoredHolds = nil
	return out
}

// restoreHolds restores the holds of former owners.
func (o *ownership) restoreHolds(stored []ledger.Hold) {
	for i := range stored {
		h := &hold{Hold: stored[i], stored: true}
		until, held := o.callableUntilOf(h.Epoch), heldTask{runner: h.Runner, task: h.Task}
		o.former.holds[held] = latest(o.former.holds[held], until)
		o.timers.Set(&h.timer, until, h)
	}
}

// expireHold drops a hold that is over.
func (o *ownership) expireHold(h *hold) {
	if h.stored {
		o.outbox.add(change{kind: holdChange, hold: h})
	}
}

// holdEnd holds back the acknowledgement of an end, and so of later ones.
func (r *runner) holdEnd(number int64, until time.Time) {
	r.heldEnds = append(r.heldEnds, heldEnd{number: number, until: until})
}

// acknowledgeable returns the number of the last end that may be acknowledged to the runner.
func (r *runner) acknowledgeable(now time.Time) int64 {
	number := r.storedEnd
	for _, held := range r.heldEnds {
		if now.Before(held.until) && r.storedEnd-held.number < maxHeldEnds {
			number = min(number, held.number-1)
		}
	}
	return max(number, r.acknowledgedEnd)
}

// nextAcknowledgement returns the acknowledgement of the next poll; zero for none.
func (r *runner) nextAcknowledgement(now time.Time) int64 {
	if last := r.acknowledgeable(now); last > r.acknowledgedEnd {
		return last
	}
	return 0
}

// holdsEnds reports whether stored ends are held.
func (r *runner) holdsEnds(now time.Time) bool { return r.acknowledgeable(now) < r.storedEnd }

// heldEndsDelay returns the delay between polls of the runner while ends are held.
func (r *runner) heldEndsDelay() time.Duration {
	if len(r.runs) == 0 {
		return heldEndsIdleDelay
	}
	return heldEndsPollDelay
}

// dropAcknowledged drops held ends that were acknowledged.
func (r *runner) dropAcknowledged() {
	r.heldEnds = slices.DeleteFunc(r.heldEnds, func(held heldEnd) bool { return held.number <= r.acknowledgedEnd })
}
