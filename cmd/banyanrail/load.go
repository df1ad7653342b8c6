package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/load"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/services"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/go-resty/resty/v2"
	"github.com/samber/oops"
)

type loadCmd struct {
	Dev         bool          `arg:"--dev" help:"send the requests to a fleet embedded in this process"`
	Callers     []string      `arg:"--callers" help:"base URLs of the callers' interfaces of entries"`
	Endpoints   []string      `arg:"--endpoints" help:"base URLs of stand-ins for endpoints, from which the runs of each request are read"`
	Services    []string      `arg:"--service" help:"services to call; with :once the requests run at most once"`
	Members     []string      `arg:"--member" help:"members that call"`
	Rate        float64       `arg:"--rate" default:"100" help:"mean requests per second for each service"`
	For         time.Duration `arg:"--for" default:"30s" help:"how long requests are sent"`
	Burst       time.Duration `arg:"--burst" default:"3s" help:"how long each service bursts in turn"`
	BurstFactor float64       `arg:"--burst-factor" default:"5" help:"rate of a burst, relative to the mean"`
	QuietFactor float64       `arg:"--quiet-factor" default:"0.05" help:"rate between bursts, relative to the mean"`
	TimeLimit   time.Duration `arg:"--time-limit" default:"10s" help:"time limit of each request"`
	BodySize    int           `arg:"--body" default:"1024" help:"bytes in each request"`
	InFlight    int           `arg:"--in-flight" default:"1024" help:"maximum number of concurrent calls"`
	Operators   string        `arg:"--operators" help:"base URL of an operators' interface, from which the cost of the run is read"`
	Seed        uint64        `arg:"--seed" default:"1" help:"seed of arrivals"`
	Entries     int           `arg:"--entries" default:"9" help:"entry instances of the embedded fleet"`
	Runners     int           `arg:"--runners" default:"50" help:"endpoints of the embedded fleet"`
	Slots       int           `arg:"--slots" default:"8" help:"concurrent requests per endpoint of the embedded fleet"`
	Work        time.Duration `arg:"--work" default:"20ms" help:"processing time of a request in the embedded fleet"`
}

// onceSuffix marks a service whose requests run at most once.
const onceSuffix = ":once"

var (
	defaultServices = []string{"survey", "routing", "barges", "permits:once", "tenders"}
	defaultMembers  = []string{"candaba", "pampanga", "masantol"}
)

func (c *loadCmd) run(ctx context.Context, s *settings) error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	target := load.Target{Entries: c.Callers, TimeLimit: c.TimeLimit, BodySize: c.BodySize}
	if len(c.Endpoints) > 0 {
		target.Runs = c.readRuns
	}
	if c.Dev {
		f, err := c.startFleet(ctx, s, cfg)
		if err != nil {
			return err
		}
		defer f.Stop()
		target.Runs = f.Runs
		target.Entries = nil
		for _, n := range f.Entries {
			target.Entries = append(target.Entries, n.CallersURL)
		}
	}
	fmt.Fprintf(s.progress, "%d services at %d entries for %s\n", len(cfg.Services), len(target.Entries), c.For)
	before := c.measures(ctx, s)
	sum, err := load.Run(ctx, cfg, target)
	if err != nil {
		return err
	}
	sum.Fleet = costOfRun(before, c.measures(ctx, s))
	return json.NewEncoder(s.out).Encode(sum)
}

// measures returns the measures that the fleet reports, or nil when there is no
// operators' interface or it can't be reached.
func (c *loadCmd) measures(ctx context.Context, s *settings) *effect.Measures {
	if !c.Dev && c.Operators == "" {
		return nil
	}
	at := *s
	if c.Operators != "" {
		at.Entry = c.Operators
	}
	st, err := newClient(&at).Status(ctx)
	if err != nil {
		fmt.Fprintln(s.progress, "the cost of the run is unknown:", err)
		return nil
	}
	return &st.Measures
}

// costOfRun returns the cost of a run from the measures before and after it, or nil
// when either is unknown.
func costOfRun(before, after *effect.Measures) *load.FleetSummary {
	if before == nil || after == nil {
		return nil
	}
	return &load.FleetSummary{
		BufferCost:          after.Buffer.Cost - before.Buffer.Cost,
		BufferInstanceHours: after.Buffer.InstanceHours - before.Buffer.InstanceHours,
		RollOuts:            after.RollOuts.Count - before.RollOuts.Count,
		LastRollOut:         milliseconds(after.RollOuts.Last),
		LongestRollOut:      milliseconds(after.RollOuts.Longest),
		Moves:               after.Moves - before.Moves,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// readRuns returns how many times the endpoints ran the request of each key.
func (c *loadCmd) readRuns(ctx context.Context) (map[fleet.Key]int, error) {
	all := make(map[fleet.Key]int)
	client := resty.New()
	for _, url := range c.Endpoints {
		var runs standin.Runs
		resp, err := client.R().SetContext(ctx).SetResult(&runs).Get(url + standin.RunsPath)
		if err == nil && resp.IsError() {
			err = fmt.Errorf("status %d", resp.StatusCode())
		}
		if err != nil {
			return nil, oops.In("load").With("step", "read runs", "peer", url).Wrap(err)
		}
		for key, n := range runs.ByKey {
			all[fleet.Key(key)] += n
		}
	}
	return all, nil
}

func (c *loadCmd) config() (load.Config, error) {
	if !c.Dev && len(c.Callers) == 0 {
		return load.Config{}, fmt.Errorf("%w: load needs --dev or --callers", errUsage)
	}
	if c.Rate <= 0 || c.For <= 0 || c.Burst <= 0 || c.BurstFactor <= 0 || c.QuietFactor <= 0 || c.InFlight <= 0 {
		return load.Config{}, fmt.Errorf("%w: rates, factors, times and the number of concurrent calls must be positive", errUsage)
	}
	if len(c.Services) == 0 {
		c.Services = defaultServices
	}
	if len(c.Members) == 0 {
		c.Members = defaultMembers
	}
	cfg := load.Config{
		Duration: c.For, BurstDuration: c.Burst, BurstFactor: c.BurstFactor, QuietFactor: c.QuietFactor,
		MaxInFlight: c.InFlight, Seed: c.Seed,
	}
	for _, name := range c.Services {
		plain, once := strings.CutSuffix(name, onceSuffix)
		cfg.Services = append(cfg.Services, load.Service{Name: fleet.ServiceName(plain), Idempotent: !once, Rate: c.Rate})
	}
	for _, name := range c.Members {
		cfg.Members = append(cfg.Members, fleet.MemberName(name))
	}
	return cfg, nil
}

// startFleet starts an embedded fleet and waits until all entries are ready.
func (c *loadCmd) startFleet(ctx context.Context, s *settings, cfg load.Config) (*dev.Fleet, error) {
	f, err := dev.Start(dev.Config{Entries: c.Entries, Runners: c.Runners, Slots: c.Slots, ProcessingTime: c.Work})
	if err != nil {
		return nil, err
	}
	layout := dev.Layout{Members: cfg.Members, Slots: c.Slots}
	for _, svc := range cfg.Services {
		layout.Services = append(layout.Services, dev.LayoutService{Name: svc.Name, Idempotent: svc.Idempotent})
	}
	s.Entry = f.Entries[0].OperatorsURL
	if _, err := newClient(s).Publish(ctx, 0, services.Print(f.LayoutText(layout))); err != nil {
		f.Stop()
		return nil, err
	}
	for _, n := range f.Entries {
		for !n.Entry.Ready() {
			if loop.Sleep(ctx, publishPollInterval) != nil {
				f.Stop()
				return nil, ctx.Err()
			}
		}
	}
	return f, nil
}
