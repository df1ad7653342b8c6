package jobs

import (
	"math"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/admission"
	"github.com/banyanrail/banyanrail/reduce/allocation"
	"github.com/banyanrail/banyanrail/reduce/forecast"
)

const (
	// demandWindow is the time constant of the average of arrivals. A burst lasts
	// some seconds, and a move of an instance takes 1.5 s.
	demandWindow = time.Second
	// maxArrivalTime bounds the run time with which a task counts among the arrivals. A longer one
	// counts as running work by then, and its estimate may be anything.
	maxArrivalTime = time.Minute
	// burstWindow is the time constant of the average that shows the beginning of a burst.
	burstWindow = 250 * time.Millisecond
	// backlogStartTime is the time within which waiting work should have begun.
	backlogStartTime = 1500 * time.Millisecond
	// targetUtilisation is the share of an instance's CPU time or memory that is
	// planned to be used. The rest is lost to fragmentation between tasks of
	// different sizes.
	targetUtilisation = 0.85
	// reserveInstances is the number of instances that a pool has beyond its need,
	// for the first second of a burst.
	reserveInstances = 1
)

// arrivals is a moving average of the work that arrives at a pool.
type arrivals struct {
	// rate is in thousandths of a core: the CPU time of the work that arrives in a
	// unit of time.
	rate float64
	// burst is the average over burstWindow, and burstSquares the sum of the squares that
	// tells how far chance takes it.
	burst, burstSquares float64
	updatedAt           time.Time
	// repetition is what is known of the turns of the pool's queues.
	repetition forecast.Demand
	// expected is set while a forecast is in force, and met and dropped are the numbers of
	// forecasts that were counted.
	expected     bool
	met, dropped int
}

// add adds the work of a job.
func (a *arrivals) add(work float64) {
	a.rate += work / demandWindow.Seconds()
	b := work / burstWindow.Seconds()
	a.burst += b
	a.burstSquares += b * b
}

// expectedRate returns the rate at which work arrives. Load pattern: a burst begins, and the
// average over demandWindow shows a fifth of it after 0.25 s. The average over burstWindow
// counts by what of it is not chance.
func (a *arrivals) expectedRate() float64 {
	return max(a.rate, a.burst-math.Sqrt(a.burstSquares))
}

// observeArrival adds the expected work of a new job to the arrivals at its pool.
// Long-running tasks do not count.
func (o *ownership) observeArrival(j *job) {
	work := 0.0
	for i := range j.spec.Steps {
		st := &j.spec.Steps[i]
		if !st.LongRunning && o.planner.mayFit(st) {
			work += float64(st.Count) * float64(st.Needs.CPU) * min(o.expect(j, i).Mean, maxArrivalTime).Seconds()
		}
	}
	if work > 0 && o.planner.workSince.IsZero() {
		o.planner.workSince = o.now()
	}
	a := o.arrivalsOf(j.service)
	a.decay(o.now())
	a.add(work)
	a.repetition.Observe(o.now(), work)
}

func (o *ownership) arrivalsOf(name fleet.ServiceName) *arrivals {
	a, ok := o.planner.arrivals[name]
	if !ok {
		a = &arrivals{updatedAt: o.now()}
		o.planner.arrivals[name] = a
	}
	return a
}

// decay updates the moving average to the present time.
func (a *arrivals) decay(now time.Time) {
	age := now.Sub(a.updatedAt).Seconds()
	a.rate *= math.Exp(-age / demandWindow.Seconds())
	a.burst *= math.Exp(-age / burstWindow.Seconds())
	a.burstSquares *= math.Exp(-2 * age / burstWindow.Seconds())
	a.updatedAt = now
}

// defaultInstanceSize is the assumed capacity of an instance in a pool without
// runners.
var defaultInstanceSize = fleet.Capacity{CPU: 64_000, Memory: 131_072}

// demand is the demand for a pool: CPU time in thousandths of a core, and memory
// in mebibytes.
type demand struct{ cpu, memory float64 }

func (d *demand) add(need fleet.Capacity, times float64) {
	d.cpu += times * float64(need.CPU)
	d.memory += times * float64(need.Memory)
}

func (d *demand) plus(other demand) {
	d.cpu += other.cpu
	d.memory += other.memory
}

// instances returns how many instances of a size the demand requires.
func (d *demand) instances(size fleet.Capacity) int {
	share := d.cpu / float64(max(1, size.CPU))
	if size.Memory > 0 {
		share = max(share, d.memory/float64(size.Memory))
	}
	return int(fleet.WholeNumber(math.Ceil(share / targetUtilisation)))
}

// needOf returns the number of instances that a pool needs, by what they are needed for.
func (o *ownership) needOf(p *poolPlan) allocation.Need {
	size := p.size
	if size.CPU == 0 {
		size = defaultInstanceSize
	}
	var running, longRunning demand
	for _, r := range o.pool(p.name).runners {
		longRunning.add(r.counts.longRunningUse, 1)
		running.add(r.used.Minus(r.counts.longRunningUse), 1)
	}
	a := o.arrivalsOf(p.name)
	a.decay(o.now())
	running.cpu = max(a.expectedRate(), running.cpu)
	total, waiting := longRunning, o.backlog(p.name)
	total.plus(waiting[allocation.RankRequired])
	var need allocation.Need
	need[allocation.RankRequired] = max(total.instances(size)+reserveInstances, o.instancesToRelocate(o.pool(p.name)))
	met := need[allocation.RankRequired]
	total.plus(running)
	for r := allocation.RankOnTime; r <= allocation.RankRest; r++ {
		total.plus(waiting[r])
		need[r] = max(0, total.instances(size)+reserveInstances-met)
		met += need[r]
	}
	coming, rank := o.expectedNeed(p, a, size, longRunning)
	need[rank] += max(0, coming+reserveInstances-met)
	return need
}

// backlog returns the capacity with which the waiting work would begin within
// backlogStartTime, by the rank of the work.
func (o *ownership) backlog(name fleet.ServiceName) [allocation.RankRest + 1]demand {
	var d [allocation.RankRest + 1]demand
	p, ok := o.pools[name]
	if !ok {
		return d
	}
	for _, st := range p.queue {
		if st.held || !o.planner.mayFit(st.spec) {
			continue // instances would not help
		}
		waiting := 0
		for _, t := range st.tasks {
			if t.phase == taskWaiting {
				waiting++
			}
		}
		share := 1.0
		if !st.spec.LongRunning {
			share = min(1, st.expected.Mean.Seconds()/backlogStartTime.Seconds())
		}
		d[rankOf(o.class(st))].add(st.spec.Reservation(), float64(waiting)*share)
	}
	return d
}

// rankOf returns the rank of the instances that work of a class needs.
func rankOf(class admission.ValueClass) allocation.Rank {
	switch class {
	case admission.ClassLongRunning:
		return allocation.RankRequired
	case admission.ClassOnTime:
		return allocation.RankOnTime
	case admission.ClassLate:
		return allocation.RankLate
	default:
		return allocation.RankRest
	}
}
