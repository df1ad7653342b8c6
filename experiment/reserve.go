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
	// held is how long a request holds a slot.
	held = 250 * time.Millisecond
	// burst is how long each service bursts in turn.
	burst = 5 * time.Second
	// burstFactor and quietFactor multiply the mean demand.
	burstFactor, quietFactor = 5, 0.05
	// maxArriving bounds the moves under way.
	maxArriving = 4
	// Demand of the first service and of the others after a shift that lasts.
	grownDemand, shrunkDemand = 3, 0.5
	// steadyShare is the share of the time before a shift.
	steadyShare = 4
)

// fluid is a fleet in virtual time: demand flows into a queue for each service,
// and what would wait longer than the time limit fails.
type fluid struct {
	text    *fleet.Text
	in      planner.Input
	state   *planner.State
	usage   *usage.State
	queue   map[fleet.ServiceName]float64
	fixed   bool
	until   map[fleet.InstanceID]time.Time
	started time.Time

	moves                  int
	idlePools, idleSpares  float64
	offered, failed, short float64
}

// newFluid starts from the pools of a text. Fixed leaves every instance
// where it is.
func newFluid(text *fleet.Text, fixed bool) *fluid {
	f := &fluid{
		text: text, fixed: fixed, state: planner.New(), usage: usage.New(), started: epoch,
		queue: make(map[fleet.ServiceName]float64), until: make(map[fleet.InstanceID]time.Time),
	}
	f.in = planner.Input{
		Now: epoch, Text: text, Pools: make(map[fleet.InstanceID]fleet.PoolName), Demand: planner.Declared(text),
		Unavailable: make(map[fleet.InstanceID]bool), Arriving: make(map[fleet.InstanceID]fleet.PoolName),
	}
	for _, it := range text.Instances {
		f.in.Pools[it.ID] = it.Pool
	}
	return f
}

// run lets time pass. Demand multiplies the declared mean of a service.
func (f *fluid) run(d time.Duration, demand func(fleet.ServiceName) float64) {
	for end := f.in.Now.Add(d); f.in.Now.Before(end); f.in.Now = f.in.Now.Add(time.Second) {
		f.arrive(demand)
		f.usage.Sample(f.in.Now)
		f.observe()
		f.land()
		f.account()
		if !f.fixed && len(f.in.Arriving) < maxArriving {
			f.move()
		}
	}
}

func (f *fluid) arrive(demand func(fleet.ServiceName) float64) {
	turn := int(f.in.Now.Sub(f.started)/burst) % len(f.text.Services)
	for i := range f.text.Services {
		svc := &f.text.Services[i]
		factor := quietFactor
		if i == turn {
			factor = burstFactor
		}
		slots := svc.Demand * demand(svc.Name) * factor
		for range int(slots / held.Seconds()) {
			f.usage.RecordArrival(svc.Name)
			f.usage.RecordAttempt(svc.Name, held)
		}
		capacity := float64(f.slots(svc.Pool))
		backlog := max(0, f.queue[svc.Name]+slots-capacity)
		waits := capacity * svc.TimeLimit.Seconds()
		f.offered += slots
		f.failed += max(0, backlog-waits)
		f.queue[svc.Name] = min(backlog, waits)
	}
}

// slots returns the slots of the available instances of a pool.
func (f *fluid) slots(pool fleet.PoolName) int {
	n := 0
	for id, p := range f.in.Pools {
		if p == pool && !f.in.Unavailable[id] {
			n++
		}
	}
	cfg, ok := f.text.Pool(pool)
	if !ok {
		return 0
	}
	return n * cfg.Slots
}

func (f *fluid) observe() {
	if !f.usage.CoversLongWindow(f.in.Now) {
		return
	}
	f.in.Demand, f.in.Peak = make(planner.Demand), make(planner.Demand)
	for i := range f.text.Services {
		svc := &f.text.Services[i]
		f.in.Demand[svc.Name] = f.usage.Demand(svc.Name, f.in.Now)
		f.in.Peak[svc.Name] = f.usage.PeakDemand(svc.Name, f.in.Now, svc.TimeLimit)
	}
}

// land ends the probation of instances that moved.
func (f *fluid) land() {
	for id, at := range f.until {
		if !f.in.Now.Before(at) {
			delete(f.until, id)
			delete(f.in.Unavailable, id)
			delete(f.in.Arriving, id)
		}
	}
}

func (f *fluid) account() {
	for _, n := range planner.Needs(f.in) {
		switch {
		case n.Spare:
			f.idleSpares += float64(n.Available)
		case n.Available >= n.Required:
			f.idlePools += float64(n.Available - n.Required)
		default:
			f.short++
		}
	}
}

func (f *fluid) move() {
	m, ok := f.state.Next(f.in)
	if !ok {
		return
	}
	f.in.Pools[m.Instance] = m.To
	f.in.Unavailable[m.Instance] = true
	f.in.Arriving[m.Instance] = m.To
	f.until[m.Instance] = f.in.Now.Add(f.text.Maintenance.Probation)
	f.moves++
}

// DefaultReserveTime is how long the experiment with the reserve runs.
const DefaultReserveTime = 4 * time.Hour

// Reserve compares the planner with pools that stay as the text has them, in
// virtual time, under bursts in turn.
type Reserve struct {
	Text *fleet.Text
	// Fixed leaves every instance where it is.
	Fixed bool
	// Shift makes the demand of the first service grow and that of the others
	// shrink, after a while and for good.
	Shift bool
	// Duration is how long the fleet runs; zero means DefaultReserveTime.
	Duration time.Duration
}

// ReserveResult is what a run cost.
type ReserveResult struct {
	// IdleInPools and IdleInSpares are instance hours.
	IdleInPools  float64 `json:"idle_in_pools_h"`
	IdleInSpares float64 `json:"idle_in_spares_h"`
	Moves        int     `json:"moves"`
	// Price is that of idle instances in pools and of moves.
	Price float64 `json:"price"`
	// FailedPPM is the share of demand that waited too long, in millionths.
	FailedPPM float64 `json:"failed_ppm"`
	// ShortPool counts the seconds for which a pool could not carry its mean
	// demand.
	ShortPool float64 `json:"short_pool_s"`
}

// Run runs the experiment.
func (e Reserve) Run() ReserveResult {
	if e.Duration == 0 {
		e.Duration = DefaultReserveTime
	}
	f := newFluid(e.Text, e.Fixed)
	steady := func(fleet.ServiceName) float64 { return 1 }
	if !e.Shift {
		f.run(e.Duration, steady)
		return f.result()
	}
	f.run(e.Duration/steadyShare, steady)
	grown := e.Text.Services[0].Name
	f.run(e.Duration-e.Duration/steadyShare, func(name fleet.ServiceName) float64 {
		if name == grown {
			return grownDemand
		}
		return shrunkDemand
	})
	return f.result()
}

func (f *fluid) result() ReserveResult {
	hour := time.Hour.Seconds()
	return ReserveResult{
		IdleInPools:  f.idlePools / hour,
		IdleInSpares: f.idleSpares / hour,
		Moves:        f.moves,
		Price:        f.idlePools/hour*f.text.Prices.Buffer + float64(f.moves)*f.text.Prices.Move,
		FailedPPM:    1e6 * f.failed / f.offered,
		ShortPool:    f.short,
	}
}
