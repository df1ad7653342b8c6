package jobs

import (
	"time"

	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

const (
	// fullPace is the pace at which a task starts, in percent.
	fullPace = 100
	// slowDownShare and speedUpShare are the shares of a serving task's latency
	// target at which the best-effort tasks beside the serving task are slowed
	// down, and sped up again. Between the two shares the pace stays, because the
	// reported tail latency is a rough estimate.
	slowDownShare = 0.8
	speedUpShare  = 0.5
	// paceStepUp is the increase of a pace, in percentage points. A decrease halves
	// the pace.
	paceStepUp = 20
	// paceUpInterval is the least time between a change and an increase of the
	// pace. It covers several reports of the tail latency, each of which covers
	// half a second.
	paceUpInterval = 1500 * time.Millisecond
	// paceDownInterval is the least time between a change and a decrease of the
	// pace, in which the change takes effect on the tail latency.
	paceDownInterval = 600 * time.Millisecond
	// minPace is the pace in percent below which a best-effort task is paused.
	minPace = 13
)

// pace is the share of the unused CPU time that a best-effort task may use.
type pace struct {
	// wanted is the pace to be set, and sent the pace that was last ordered, in
	// percent. sent is -1 after an order that failed.
	wanted, sent  int
	changedAt     time.Time
	orderInFlight bool
	sentAt        time.Time
	// lateUntil is until when an order without an answer may still be carried out, after newer
	// ones; zero if there is none. The pace is ordered again and again until then.
	lateUntil time.Time
}

// due reports whether the pace is to be ordered.
func (p *pace) due() bool { return p.wanted != p.sent || !p.lateUntil.IsZero() }

func newPace() pace { return pace{wanted: fullPace, sent: fullPace} }

// adoptedPace returns the pace of a run of an earlier owner, whose last order is not known.
func adoptedPace(bestEffort bool) pace {
	if !bestEffort {
		return newPace()
	}
	return pace{wanted: fullPace, sent: -1}
}

// mixesBestEffort reports whether best-effort tasks run beside serving tasks.
func (r *runner) mixesBestEffort() bool {
	return r.counts.bestEffort > 0 && r.counts.serving > 0
}

// adjustPaces sets the pace of the best-effort tasks on a runner by the tail
// latencies of the serving tasks beside them.
func (o *ownership) adjustPaces(r *runner) {
	if r.counts.bestEffort == 0 {
		return
	}
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
	for _, run := range r.runsWhere((*run).bestEffort) {
		o.adjustPace(run, worst)
	}
}

// restoreFullPace sets the best-effort tasks on a runner to the full pace.
func (o *ownership) restoreFullPace(r *runner) {
	paced := func(run *run) bool { return run.pace.wanted != fullPace || run.pace.due() }
	for _, run := range r.runsWhere(paced) {
		if run.bestEffort() && run.pace.wanted != fullPace {
			o.setPace(run, fullPace, 0)
		} else if run.pace.due() {
			o.sendPace(run)
		}
	}
}

// bestEffort reports whether the run is running and of a best-effort task.
func (run *run) bestEffort() bool { return run.task.step.spec.BestEffort && run.phase == runRunning }

// adjustPace sets the pace of a best-effort task. worst is the largest tail latency
// of a serving task beside it, as a share of the latency target.
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
	case p.due():
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
	run.pace.orderInFlight, run.pace.sentAt = true, o.now()
	e := o.newOrder(run.runner, effect.OrderPace, run.task.id(), run.attempt)
	e.Percent = run.pace.wanted
	o.s.emit(e)
	// sent is set before the answer and reset if the order fails, so that a later
	// change of wanted is ordered too.
	run.pace.sent = run.pace.wanted
}

func (o *ownership) onPaceOrdered(run *run, b event.TaskOrdered) {
	p := &run.pace
	p.orderInFlight = false
	switch {
	case b.Outcome == event.OrderUnknown:
		p.sent, p.lateUntil = -1, o.now().Add(maxCallDelay)
	case b.Outcome != event.OrderDone:
		p.sent = -1
	case !p.sentAt.Before(p.lateUntil):
		p.lateUntil = time.Time{}
	}
}
