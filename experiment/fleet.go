package experiment

import (
	"context"
	"time"

	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/operator"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/services"
)

const (
	// readyInterval is the time between looks at entries that start.
	readyInterval = 10 * time.Millisecond
	// settleTime lets the entries find each other and the end of the log.
	settleTime = 6 * time.Second
)

// start starts a fleet, publishes the text that layout makes of it, and waits
// until its entries are ready and know each other.
func start(ctx context.Context, cfg dev.Config, layout func(*dev.Fleet) *fleet.Text) (*dev.Fleet, error) {
	f, err := dev.Start(cfg)
	if err != nil {
		return nil, err
	}
	if err := settle(ctx, f, layout(f)); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func settle(ctx context.Context, f *dev.Fleet, text *fleet.Text) error {
	if _, err := operators(f, 0).Publish(ctx, 0, services.Print(text)); err != nil {
		return err
	}
	for _, n := range f.Entries {
		for !n.Entry.Ready() {
			if err := loop.Sleep(ctx, readyInterval); err != nil {
				return err
			}
		}
	}
	return loop.Sleep(ctx, settleTime)
}

// operators returns a client of one entry.
func operators(f *dev.Fleet, node int) *operator.Client {
	return operator.New(f.Entries[node].OperatorsURL, "")
}

func callers(nodes []*dev.EntryInstance) []string {
	urls := make([]string, 0, len(nodes))
	for _, n := range nodes {
		urls = append(urls, n.CallersURL)
	}
	return urls
}

// Endpoints is what the stand-ins for endpoints saw.
type Endpoints struct {
	// MostAtOnce is the largest number of requests that ran together on one.
	MostAtOnce int `json:"most_at_once"`
	// Refused were refused for want of a slot.
	Refused int `json:"refused"`
	// CutOff ran when their endpoint was stopped.
	CutOff int `json:"cut_off"`
}

func endpointsOf(ctx context.Context, f *dev.Fleet) (Endpoints, error) {
	var sum Endpoints
	for _, r := range f.Runners {
		runs, err := r.Runs(ctx)
		if err != nil {
			return sum, err
		}
		sum.MostAtOnce = max(sum.MostAtOnce, runs.MostAtOnce)
		sum.Refused += runs.Refused
		sum.CutOff += runs.CutOff
	}
	return sum, nil
}

// leastCapacity returns the share of instances in service, of the pool with
// the smallest that serves anything.
func leastCapacity(st effect.Status) float64 {
	have, inService := make(map[fleet.PoolName]int), make(map[fleet.PoolName]int)
	for _, in := range st.Instances {
		if in.Pool == dev.SparePool {
			continue
		}
		have[in.Pool]++
		if in.Phase == "in-service" {
			inService[in.Pool]++
		}
	}
	least := 1.0
	for pool, n := range have {
		least = min(least, float64(inService[pool])/float64(n))
	}
	return least
}
