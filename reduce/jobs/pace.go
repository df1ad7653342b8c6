package jobs

import (
	"time"

	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

const (
	// fullPace is the share at which a task starts.
	fullPace = 100
	// slowDownShare and wideTail are the shares of a serving task's target at which
	// the filling tasks beside it are slowed down, and sped up again. Between
	// them nothing changes, since the tail is a rough figure.
	slowDownShare = 0.8
	speedUpShare  = 0.5
	// paceStepUp is the step up, in percent; the way down halves.
	paceStepUp = 20
	// paceUpInterval is the pause between steps up: a few readings of the tail,
	// which covers half a second.
	paceUpInterval = 1500 * time.Millisecond
	// paceDownInterval leaves a step down the time to show in the tail.
	paceDownInterval = 600 * time.Millisecond
	// minPace is the pace under which a filling task is put to rest.
	minPace = 13
)

// pace is how much a filling task is let work.
type pace struct {
	// wanted is in percent, sent the last that the runner confirmed.
	wanted, sent  int
	changedAt     time.Time
	orderInFlight bool
}

func newPace() pace { return pace{wanted: fullPace, sent: fullPace} }

// mixesBestEffort reports whether filling tasks run beside serving ones.
func (r *runner) mixesBestEffort() bool {
	return r.count(isBestEffort) > 0 && r.count(isServing) > 0
}

// adjustPaces adjusts the filling tasks of a runner to the tails of the serving
// tasks beside them.
func (o *ownership) adjustPaces(r *runner) {
	if !r.mixesBestEffort() {
		o.restoreFullPace(r)
		return
	}
	worst := 0.0
	for _, run := range r.runs {
		spec := run.task.step.spec
		if spec.LatencyTarget > 0 && run.available {
			worst = max(worst, float64(run.load)/float64(spec.LatencyTarget.Milliseconds()))
		}
	}
	for _, run := range r.runsWhere((*run).isRunningBestEffort) {
		o.adjustPace(run, worst)
	}
}

func (o *ownership) restoreFullPace(r *runner) {
	paced := func(run *run) bool { return run.pace.wanted != fullPace || run.pace.wanted != run.pace.sent }
	for _, run := range r.runsWhere(paced) {
		if run.isRunningBestEffort() && run.pace.wanted != fullPace {
			o.setPace(run, fullPace, 0)
		} else if run.pace.wanted != run.pace.sent {
			o.sendPace(run)
		}
	}
}

// isRunningBestEffort reports whether a run is of a filling task and under way.
func (run *run) isRunningBestEffort() bool {
	return run.task.step.spec.BestEffort && run.phase == runRunning
}

// adjustPace sets the pace of a filling task; worst is the largest share of its
// target that a serving task's tail takes.
func (o *ownership) adjustPace(run *run, worst float64) {
	p := &run.pace
	since := o.now().Sub(p.changedAt)
	switch {
	case worst >= 1 && since >= paceDownInterval && p.wanted > 0:
		o.setPace(run, 0, worst)
	case worst >= slowDownShare && since >= paceDownInterval && p.wanted > 0:
		down := p.wanted / 2
		if down < minPace {
			down = 0
		}
		o.setPace(run, down, worst)
	case worst <= speedUpShare && since >= paceUpInterval && p.wanted < fullPace:
		o.setPace(run, min(fullPace, p.wanted+paceStepUp), worst)
	case p.wanted != p.sent:
		o.sendPace(run)
	}
}

func (o *ownership) setPace(run *run, percent int, worst float64) {
	run.pace.wanted, run.pace.changedAt = percent, o.now()
	o.s.logDecision(effect.Decision{
		Name: "pace", Task: run.task.id().String(), Attempt: run.attempt, Runner: run.runner.ID,
		Count: percent, Version: int64(worst * fullPace), Epoch: o.epoch,
	})
	o.sendPace(run)
}

func (o *ownership) sendPace(run *run) {
	if run.pace.orderInFlight {
		return
	}
	run.pace.orderInFlight = true
	e := o.newOrder(run.runner, effect.OrderPace, run.task.id(), run.attempt)
	e.Percent = run.pace.wanted
	o.s.emit(e)
	// told is set at once and taken back if the order fails, so that a change of
	// mind meanwhile is told too.
	run.pace.sent = run.pace.wanted
}

func (o *ownership) onPaceOrdered(run *run, b event.TaskOrdered) {
	run.pace.orderInFlight = false
	if b.Outcome != event.OrderDone {
		run.pace.sent = -1
	}
}
