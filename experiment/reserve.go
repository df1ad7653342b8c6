package experiment

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/planner"
	"github.com/banyanrail/banyanrail/reduce/usage"
)

// epoch is the start of virtual time.
var epoch = time.Unix(0, 0).UTC()

const (
	// slotTime is how long a request holds a slot.
	slotTime = 250 * time.Millisecond
	// burstDuration is how long each service bursts in turn.
	burstDuration = 5 * time.Second
	// burstFactor and quietFactor multiply the mean demand.
	burstFactor, quietFactor = 5, 0.05
	// maxArriving is the largest number of moves at a time.
	maxArriving = 4
	// grownDemand and shrunkDemand multiply the demand of the first service and of
	// the others after a permanent shift.
	grownDemand, shrunkDemand = 3, 0.5
	// steadyShare is the divisor of the duration that gives the time before a shift.
	steadyShare = 4
)

// fluidModel is a fluid model of a fleet in virtual time. Demand flows into a
// queue for each service. Demand that would wait longer than the time limit fails.
type fluidModel struct {
	text          *fleet.Text
	input         planner.Input
	state         *planner.State
	usage         *usage.State
	queue         map[fleet.ServiceName]float64
	fixed         bool
	probationEnds map[fleet.InstanceID]time.Time
	started       time.Time

	moves                         int
	idlePools, idleSpares         float64
	offered, failed, shortSeconds float64
}

// newFluidModel returns a model with the pools of a services text. If fixed is
// set, no instance moves.
func newFluidModel(text *fleet.Text, fixed bool) *fluidModel {
	f := &fluidModel{
		text: text, fixed: fixed, state: planner.New(), usage: usage.New(), started: epoch,
		queue: make(map[fleet.ServiceName]float64), probationEnds: make(map[fleet.InstanceID]time.Time),
	}
	f.input = planner.Input{
		Now: epoch, Text: text, Pools: make(map[fleet.InstanceID]fleet.PoolName), Demand: planner.Declared(text),
		Unavailable: make(map[fleet.InstanceID]bool), Arriving: make(map[fleet.InstanceID]fleet.PoolName),
	}
	for _, it := range text.Instances {
		f.input.Pools[it.ID] = it.Pool
	}
	return f
}

// run simulates the fleet for a duration. demand returns the factor that multiplies
// the declared mean demand of a service.
func (f *fluidModel) run(d time.Duration, demand func(fleet.ServiceName) float64) {
	for end := f.input.Now.Add(d); f.input.Now.Before(end); f.input.Now = f.input.Now.Add(time.Second) {
		f.addDemand(demand)
		f.usage.Sample(f.input.Now)
		f.updateDemand()
		f.endProbations()
		f.countIdle()
		if !f.fixed && len(f.input.Arriving) < maxArriving {
			f.startMove()
		}
	}
}

func (f *fluidModel) addDemand(demand func(fleet.ServiceName) float64) {
	bursting := int(f.input.Now.Sub(f.started)/burstDuration) % len(f.text.Services)
	for i := range f.text.Services {
		svc := &f.text.Services[i]
		factor := quietFactor
		if i == bursting {
			factor = burstFactor
		}
		slots := svc.Demand * demand(svc.Name) * factor
		for range int(slots / slotTime.Seconds()) {
			f.usage.RecordArrival(svc.Name)
			f.usage.RecordAttempt(svc.Name, slotTime)
		}
		capacity := float64(f.slots(svc.Pool))
		backlog := max(0, f.queue[svc.Name]+slots-capacity)
		maxBacklog := capacity * svc.TimeLimit.Seconds()
		f.offered += slots
		f.failed += max(0, backlog-maxBacklog)
		f.queue[svc.Name] = min(backlog, maxBacklog)
	}
}

// slots returns the number of slots of a pool's available instances.
func (f *fluidModel) slots(pool fleet.PoolName) int {
	n := 0
	for id, p := range f.input.Pools {
		if p == pool && !f.input.Unavailable[id] {
			n++
		}
	}
	cfg, ok := f.text.Pool(pool)
	if !ok {
		return 0
	}
	return n * cfg.Slots
}

func (f *fluidModel) updateDemand() {
	if !f.usage.CoversLongWindow(f.input.Now) {
		return
	}
	f.input.Demand, f.input.Peak = make(planner.Demand), make(planner.Demand)
	for i := range f.text.Services {
		svc := &f.text.Services[i]
		f.input.Demand[svc.Name] = f.usage.Demand(svc.Name, f.input.Now)
		f.input.Peak[svc.Name] = f.usage.PeakDemand(svc.Name, f.input.Now, svc.TimeLimit)
	}
}

// endProbations ends the probation of instances that moved.
func (f *fluidModel) endProbations() {
	for id, at := range f.probationEnds {
		if !f.input.Now.Before(at) {
			delete(f.probationEnds, id)
			delete(f.input.Unavailable, id)
			delete(f.input.Arriving, id)
		}
	}
}

func (f *fluidModel) countIdle() {
	for _, n := range planner.Needs(f.input) {
		switch {
		case n.Spare:
			f.idleSpares += float64(n.Available)
		case n.Available >= n.Required:
			f.idlePools += float64(n.Available - n.Required)
		default:
			f.shortSeconds++
		}
	}
}

func (f *fluidModel) startMove() {
	m, ok := f.state.Next(f.input)
	if !ok {
		return
	}
	f.input.Pools[m.Instance] = m.To
	f.input.Unavailable[m.Instance] = true
	f.input.Arriving[m.Instance] = m.To
	f.probationEnds[m.Instance] = f.input.Now.Add(f.text.Maintenance.Probation)
	f.moves++
}

// DefaultReserveTime is the default of Reserve.Duration.
const DefaultReserveTime = 4 * time.Hour

// Reserve simulates pools in virtual time while the services burst in turn. Runs
// with and without Fixed compare the planner with constant pools.
type Reserve struct {
	Text *fleet.Text
	// Fixed keeps every instance in its pool.
	Fixed bool
	// Shift increases the demand of the first service and reduces the demand of
	// the others permanently, after a part of the duration.
	Shift bool
	// Duration is the simulated time. Zero means DefaultReserveTime.
	Duration time.Duration
}

// ReserveResult holds the costs of a run.
type ReserveResult struct {
	// IdleInPools and IdleInSpares are idle instance hours in pools that serve
	// requests and in spare pools.
	IdleInPools  float64 `json:"idle_in_pools_h"`
	IdleInSpares float64 `json:"idle_in_spares_h"`
	Moves        int     `json:"moves"`
	// Price is the price of idle instances in pools and of moves.
	Price float64 `json:"price"`
	// FailedPPM is the share of demand that waited beyond its time limit, in
	// millionths.
	FailedPPM float64 `json:"failed_ppm"`
	// ShortPool is the sum over all pools of the seconds for which the pool could
	// not carry its mean demand.
	ShortPool float64 `json:"short_pool_s"`
}

// Run runs the experiment.
func (e Reserve) Run() ReserveResult {
	if e.Duration == 0 {
		e.Duration = DefaultReserveTime
	}
	f := newFluidModel(e.Text, e.Fixed)
	steady := func(fleet.ServiceName) float64 { return 1 }
	if !e.Shift {
		f.run(e.Duration, steady)
		return f.result()
	}
	f.run(e.Duration/steadyShare, steady)
	growing := e.Text.Services[0].Name
	f.run(e.Duration-e.Duration/steadyShare, func(name fleet.ServiceName) float64 {
		if name == growing {
			return grownDemand
		}
		return shrunkDemand
	})
	return f.result()
}

func (f *fluidModel) result() ReserveResult {
	hour := time.Hour.Seconds()
	return ReserveResult{
		IdleInPools:  f.idlePools / hour,
		IdleInSpares: f.idleSpares / hour,
		Moves:        f.moves,
		Price:        f.idlePools/hour*f.text.Prices.Buffer + float64(f.moves)*f.text.Prices.Move,
		FailedPPM:    1e6 * f.failed / f.offered,
		ShortPool:    f.shortSeconds,
	}
}
