package jobs

import (
	"cmp"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/banyanrail/banyanrail/reduce/timer"
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

// expireHold drops a hold whose start can't be carried out any more.
func (o *ownership) expireHold(h *hold) {
	held := heldTask{runner: h.Runner, task: h.Task}
	if !o.now().Before(o.former.holds[held]) {
		delete(o.former.holds, held)
	}
	if h.stored {
		o.outbox.add(change{kind: holdChange, hold: h})
	}
}
