package jobs

import (
	"time"

	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

const (
	// paceFull is the share at which a task starts.
	paceFull = 100
	// tightTail and wideTail are the shares of a serving task's target at which
	// the filling tasks beside it are slowed down, and sped up again. Between
	// them nothing changes, since the tail is a rough figure.
	tightTail = 0.8
	wideTail  = 0.5
	// paceUp is the step up, in percent; the way down halves.
	paceUp = 20
	// paceUpPause is the pause between steps up: a few readings of the tail,
	// which covers half a second.
	paceUpPause = 1500 * time.Millisecond
	// paceDownPause leaves a step down the time to show in the tail.
	paceDownPause = 600 * time.Millisecond
	// paceLeast is the pace under which a filling task is put to rest.
	paceLeast = 13
)

// pace is how much a filling task is let work.
type pace struct {
	// wanted is in percent, told the last that the runner confirmed.
	wanted, told int
	changed      time.Time
	underway     bool
}

func newPace() pace { return pace{wanted: paceFull, told: paceFull} }

// fillsBesideServing reports whether filling tasks run beside serving ones.
func (r *runner) fillsBesideServing() bool {
	return r.count(isFilling) > 0 && r.count(isServing) > 0
}

// tickPace adjusts the filling tasks of a runner to the tails of the serving
// tasks beside them.
func (o *ownership) tickPace(r *runner) {
	if !r.fillsBesideServing() {
		o.paceAlone(r)
		return
	}
	worst := 0.0
	for _, run := range r.runs {
		spec := run.task.step.spec
		if spec.LatencyTarget > 0 && run.available {
			worst = max(worst, float64(run.load)/float64(spec.LatencyTarget.Milliseconds()))
		}
	}
	for _, run := range r.runsWhere((*run).fills) {
		o.adjust(run, worst)
	}
}

func (o *ownership) paceAlone(r *runner) {
	paced := func(run *run) bool { return run.pace.wanted != paceFull || run.pace.wanted != run.pace.told }
	for _, run := range r.runsWhere(paced) {
		if run.fills() && run.pace.wanted != paceFull {
			o.setPace(run, paceFull, 0)
		} else if run.pace.wanted != run.pace.told {
			o.sendPace(run)
		}
	}
}

// fills reports whether a run is of a filling task and under way.
func (run *run) fills() bool { return run.task.step.spec.BestEffort && run.phase == runRunning }

// adjust sets the pace of a filling task; worst is the largest share of its
// target that a serving task's tail takes.
func (o *ownership) adjust(run *run, worst float64) {
	p := &run.pace
	since := o.now().Sub(p.changed)
	switch {
	case worst >= 1 && since >= paceDownPause && p.wanted > 0:
		o.setPace(run, 0, worst)
	case worst >= tightTail && since >= paceDownPause && p.wanted > 0:
		down := p.wanted / 2
		if down < paceLeast {
			down = 0
		}
		o.setPace(run, down, worst)
	case worst <= wideTail && since >= paceUpPause && p.wanted < paceFull:
		o.setPace(run, min(paceFull, p.wanted+paceUp), worst)
	case p.wanted != p.told:
		o.sendPace(run)
	}
}

func (o *ownership) setPace(run *run, percent int, worst float64) {
	run.pace.wanted, run.pace.changed = percent, o.now()
	o.s.logDecision(effect.Decision{
		Name: "pace", Task: run.task.id().String(), Attempt: run.attempt, Runner: run.runner.ID,
		Count: percent, Version: int64(worst * paceFull), Epoch: o.epoch,
	})
	o.sendPace(run)
}

func (o *ownership) sendPace(run *run) {
	if run.pace.underway {
		return
	}
	run.pace.underway = true
	e := o.newOrder(run.runner, effect.OrderPace, run.task.id(), run.attempt)
	e.Percent = run.pace.wanted
	o.s.emit(e)
	// told is set at once and taken back if the order fails, so that a change of
	// mind meanwhile is told too.
	run.pace.told = run.pace.wanted
}

func (o *ownership) onPaceOrdered(run *run, b event.TaskOrdered) {
	run.pace.underway = false
	if b.Outcome != event.OrderDone {
		run.pace.told = -1
	}
}
