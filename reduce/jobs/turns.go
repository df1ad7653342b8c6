package jobs

import (
	"math"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/allocation"
	"github.com/banyanrail/banyanrail/reduce/effect"
)

const (
	// moveTime is how long the platform takes to move an instance, and moveMargin the time
	// until its runner takes tasks, beside what chance does to the beginning of a turn.
	moveTime   = 1500 * time.Millisecond
	moveMargin = 500 * time.Millisecond
	// samePeriod is how far the periods of queues that take turns may differ.
	samePeriod = time.Second
)

// expectedNeed returns the number of instances that a pool needs by the forecast of its next
// turn, or zero if there is none, and the rank of that need. Instances are to be there when
// the turn begins: a move takes moveTime, and the rate of orders allows only so many moves at
// once. Before the turn begins, they are not taken from work that can be on time.
func (o *ownership) expectedNeed(p *poolPlan, a *arrivals, size fleet.Capacity, longRunning demand) (int, allocation.Rank) {
	a.repetition.Advance(o.now())
	o.noteForecast(p.name, a)
	if !a.expected {
		return 0, allocation.RankLate
	}
	p.quietFor = a.repetition.QuietFor()
	until, ok := a.repetition.Until()
	if !ok {
		return 0, allocation.RankLate
	}
	coming := longRunning
	coming.cpu += a.repetition.Height()
	if until == 0 {
		return coming.instances(size), allocation.RankOnTime
	}
	// Those that may still be ordered in time are not ordered yet.
	later := max(0, until-moveTime-moveMargin).Seconds() * o.s.cfg.Bounds.InstanceOrdersPerSecond * orderRateShare
	return coming.instances(size) - int(min(later, math.MaxInt32)), allocation.RankLate
}

// noteForecast logs when a repetition was seen, and counts forecasts.
func (o *ownership) noteForecast(name fleet.ServiceName, a *arrivals) {
	period, expected := a.repetition.Repeats()
	for ; a.met < a.repetition.Met; a.met++ {
		o.s.count("forecasts", "met")
	}
	for ; a.dropped < a.repetition.Dropped; a.dropped++ {
		o.s.count("forecasts", "dropped")
		o.suspendForecasts(period)
	}
	if expected == a.expected {
		return
	}
	a.expected = expected
	outcome := "forecast"
	if expected {
		o.assumePeriod(period)
	} else {
		outcome = "dropped"
	}
	o.s.logDecision(effect.Decision{
		Name: "demand repeats", Queue: fleet.QueueName(name), Outcome: outcome, Age: period, Count: a.repetition.Dropped, Epoch: o.epoch,
	})
}

// suspendForecasts suspends the forecasts with a period, after one of them has not come true.
// Load pattern: queues take turns, and no longer do. Without this, the instances of each of
// them were moved once more.
func (o *ownership) suspendForecasts(period time.Duration) {
	for _, a := range o.planner.arrivals {
		if other, ok := a.repetition.Repeats(); ok && (other-period).Abs() <= samePeriod {
			a.repetition.Suspend()
		}
	}
}

// assumePeriod lets the pools that have had one turn expect the next one by the period of a
// pool whose turn has come back.
func (o *ownership) assumePeriod(period time.Duration) {
	for _, a := range o.planner.arrivals {
		a.repetition.Assume(period)
	}
}
