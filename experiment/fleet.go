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
	// readyPollInterval is the time between checks whether an entry is ready.
	readyPollInterval = 10 * time.Millisecond
	// settleTime is enough for the entries to find each other and to read the log
	// to its end.
	settleTime = 6 * time.Second
)

// start starts a fleet, publishes the services text that layout returns for it,
// and waits until its entries are ready and have found each other.
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
	if _, err := operatorClient(f, 0).Publish(ctx, 0, services.Print(text)); err != nil {
		return err
	}
	for _, n := range f.Entries {
		for !n.Entry.Ready() {
			if err := loop.Sleep(ctx, readyPollInterval); err != nil {
				return err
			}
		}
	}
	return loop.Sleep(ctx, settleTime)
}

// operatorClient returns a client of one entry's operators' interface.
func operatorClient(f *dev.Fleet, index int) *operator.Client {
	return operator.New(f.Entries[index].OperatorsURL, "")
}

func callerURLs(entries []*dev.EntryInstance) []string {
	urls := make([]string, 0, len(entries))
	for _, n := range entries {
		urls = append(urls, n.CallersURL)
	}
	return urls
}

// Endpoints holds counts of the stand-ins for endpoints.
type Endpoints struct {
	// MostAtOnce is the largest number of concurrent requests on an endpoint.
	MostAtOnce int `json:"most_at_once"`
	// Refused is the number of requests refused for lack of a free slot.
	Refused int `json:"refused"`
	// CutOff is the number of requests that ran when their endpoint was stopped.
	CutOff int `json:"cut_off"`
}

func endpointTotals(ctx context.Context, f *dev.Fleet) (Endpoints, error) {
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

// leastCapacity returns the share of instances in service in the pool, other than
// the spare pool, where that share is smallest.
func leastCapacity(st effect.Status) float64 {
	total, inService := make(map[fleet.PoolName]int), make(map[fleet.PoolName]int)
	for _, in := range st.Instances {
		if in.Pool == dev.SparePool {
			continue
		}
		total[in.Pool]++
		if in.Phase == "in-service" {
			inService[in.Pool]++
		}
	}
	least := 1.0
	for pool, n := range total {
		least = min(least, float64(inService[pool])/float64(n))
	}
	return least
}
