package planner_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/planner"
	"github.com/banyanrail/banyanrail/reduce/usage"
	"github.com/banyanrail/banyanrail/services"
	"github.com/shoenig/test/must"
)

const (
	// held is how long a request holds a slot.
	held = 250 * time.Millisecond
	// burst is how long each service bursts in turn.
	burst = 5 * time.Second
	// burstFactor and quietFactor multiply the mean demand.
	burstFactor, quietFactor = 5, 0.05
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

// newFluid starts from the pools of an example text. Fixed leaves every instance
// where it is.
func newFluid(tb testing.TB, name string, fixed bool) *fluid {
	src, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	must.NoError(tb, err)
	text, err := services.Parse(name, src)
	must.NoError(tb, err)
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
		if !f.fixed && len(f.in.Arriving) < 4 {
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
			f.usage.Arrive(svc.Name)
			f.usage.Run(svc.Name, held)
		}
		capacity := float64(f.have(svc.Pool) * 8)
		backlog := max(0, f.queue[svc.Name]+slots-capacity)
		waits := capacity * svc.TimeLimit.Seconds()
		f.offered += slots
		f.failed += max(0, backlog-waits)
		f.queue[svc.Name] = min(backlog, waits)
	}
}

func (f *fluid) have(pool fleet.PoolName) int {
	n := 0
	for id, p := range f.in.Pools {
		if p == pool && !f.in.Unavailable[id] {
			n++
		}
	}
	return n
}

func (f *fluid) observe() {
	if !f.usage.Covers(f.in.Now) {
		return
	}
	f.in.Demand, f.in.Peak = make(planner.Demand), make(planner.Demand)
	for i := range f.text.Services {
		svc := &f.text.Services[i]
		f.in.Demand[svc.Name] = f.usage.Demand(svc.Name, f.in.Now)
		f.in.Peak[svc.Name] = f.usage.Peak(svc.Name, f.in.Now, svc.TimeLimit)
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
			f.idleSpares += float64(n.Have)
		case n.Have >= n.Carry:
			f.idlePools += float64(n.Have - n.Carry)
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

func (f *fluid) report(b *testing.B) {
	hour := time.Hour.Seconds()
	b.ReportMetric(f.idlePools/hour, "idle-in-pools-h")
	b.ReportMetric(f.idleSpares/hour, "idle-in-spares-h")
	b.ReportMetric(f.idlePools/hour*f.text.Prices.Buffer+float64(f.moves)*f.text.Prices.Move, "price")
	b.ReportMetric(float64(f.moves), "moves")
	b.ReportMetric(1e6*f.failed/f.offered, "failed-ppm")
	b.ReportMetric(f.short, "short-pool-s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkReserve runs a fleet for four hours under the prices of both users,
// once with the planner and once with what each pool has fixed: under bursts in
// turn, and with a shift of demand that lasts.
func BenchmarkReserve(b *testing.B) {
	const hours = 4
	steady := func(fleet.ServiceName) float64 { return 1 }
	for _, user := range []string{"lawa.hcl", "chaudhry.hcl"} {
		for _, policy := range []string{"planner", "fixed"} {
			b.Run(user+"/bursts/"+policy, func(b *testing.B) {
				for b.Loop() {
					f := newFluid(b, user, policy == "fixed")
					f.run(hours*time.Hour, steady)
					f.report(b)
				}
			})
			b.Run(user+"/shift/"+policy, func(b *testing.B) {
				for b.Loop() {
					f := newFluid(b, user, policy == "fixed")
					f.run(time.Hour, steady)
					grown := f.text.Services[0].Name
					f.run((hours-1)*time.Hour, func(name fleet.ServiceName) float64 {
						if name == grown {
							return 3
						}
						return 0.5
					})
					f.report(b)
				}
			})
		}
	}
}
