package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/load"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/samber/oops"
)

// The fleet of a wave: five services of 8 or 9 runners and a spare pool of 8.
const (
	waveRunners  = 50
	waveServices = 5
	waveSlots    = 8
	waveWork     = 200 * time.Millisecond
	waveReboot   = time.Second
	// waveDemand is the mean number of slots that each service uses.
	waveDemand    = 25
	waveProbation = time.Second
	waveLimit     = 5 * time.Minute
	waveInFlight  = 4096
	// lookInterval is the time between looks at the wave.
	lookInterval = 100 * time.Millisecond
)

// Wave sizes the experiment with a wave over 50 instances under load.
type Wave struct {
	Entries int
	// MaxStep is the largest number of instances out at once.
	MaxStep int
}

// WaveResult is how a wave went.
type WaveResult struct {
	Steps int `json:"steps"`
	// RollOut is in seconds.
	RollOut float64 `json:"roll_out_s"`
	// LeastCapacity is the smallest share of a pool in service.
	LeastCapacity float64 `json:"least_capacity"`
	// OnLeaving counts new requests on an instance later than 3 s after it was
	// drained; LastOnLeaving is the latest of them all, in seconds.
	OnLeaving     int          `json:"on_leaving_after_3s"`
	LastOnLeaving float64      `json:"last_on_leaving_s"`
	Load          load.Summary `json:"load"`
	Endpoints     Endpoints    `json:"endpoints"`
}

// Run runs the experiment on a fleet of its own.
func (e Wave) Run(ctx context.Context) (WaveResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newWatch()
	go w.run(ctx)
	cfg := dev.Config{Entries: e.Entries, Runners: waveRunners, Slots: waveSlots, ProcessingTime: waveWork}
	cfg.Deps = entry.Deps{Tap: w.tap}
	f, err := start(ctx, cfg, e.text)
	if err != nil {
		return WaveResult{}, err
	}
	defer f.Stop()
	if err := f.Platform.SetWorkerFault(standin.WorkerFault{RebootTime: waveReboot}); err != nil {
		return WaveResult{}, err
	}
	loaded := startLoad(ctx, f, waveDemand/waveWork.Seconds())
	res, err := roll(ctx, f)
	if err != nil {
		return res, err
	}
	if res.Load, err = loaded(); err != nil {
		return res, err
	}
	res.Endpoints, err = endpointsOf(ctx, f)
	late, last := w.result(ctx)
	res.OnLeaving, res.LastOnLeaving = late, last.Seconds()
	return res, err
}

// startLoad starts requests of all services at a rate; the function that it returns ends
// them and waits for their answers.
func startLoad(ctx context.Context, f *dev.Fleet, rate float64) func() (load.Summary, error) {
	cfg := load.Config{
		Members: []fleet.MemberName{"lawa"}, Duration: waveLimit, BurstDuration: waveLimit, BurstFactor: 1, QuietFactor: 1,
		MaxInFlight: waveInFlight, Seed: 1,
	}
	for i := range waveServices {
		cfg.Services = append(cfg.Services, load.Service{
			Name: waveService(i), Idempotent: true, Rate: rate,
		})
	}
	ctx, stop := context.WithCancel(ctx)
	type outcome struct {
		sum load.Summary
		err error
	}
	done := make(chan outcome, 1)
	go func() {
		sum, err := load.Run(ctx, cfg, load.Target{Entries: callers(f.Entries), Runs: f.Runs})
		done <- outcome{sum, err}
	}()
	return func() (load.Summary, error) {
		stop()
		o := <-done
		return o.sum, o.err
	}
}

// roll orders a wave over all instances and waits until it has ended.
func roll(ctx context.Context, f *dev.Fleet) (WaveResult, error) {
	res := WaveResult{LeastCapacity: 1}
	began := time.Now()
	order, err := operators(f, 0).SendCommand(ctx, "start wave", "/v1/waves", entry.WaveRequest{})
	if err != nil {
		return res, err
	}
	client := operators(f, 1)
	for {
		st, err := client.Status(ctx)
		if err != nil {
			return res, err
		}
		res.LeastCapacity = min(res.LeastCapacity, leastCapacity(st))
		w, known := waveOf(st, order.Offset)
		switch {
		case known && w.Phase == "done":
			res.Steps, res.RollOut = w.Steps, time.Since(began).Seconds()
			return res, nil
		case known && w.Phase != "running":
			return res, oops.In("experiment").With("step", "roll wave").Errorf("wave is %s: %s", w.Phase, w.Detail)
		}
		if err := loop.Sleep(ctx, lookInterval); err != nil {
			return res, err
		}
	}
}

func waveOf(st effect.Status, id fleet.Offset) (effect.WaveStatus, bool) {
	for _, w := range st.Waves {
		if w.ID == id {
			return w, true
		}
	}
	return effect.WaveStatus{}, false
}

func waveService(i int) fleet.ServiceName { return fleet.ServiceName(fmt.Sprintf("service-%d", i+1)) }

// text spreads the runners over five services and a spare pool, and each pool
// over four data centres.
func (e Wave) text(f *dev.Fleet) *fleet.Text {
	layout := dev.Layout{Members: []fleet.MemberName{"lawa"}, Slots: waveSlots, Spares: 8}
	for i := range waveServices {
		layout.Services = append(layout.Services, dev.LayoutService{Name: waveService(i), Idempotent: true})
	}
	text := f.LayoutText(layout)
	text.Maintenance.MaxStep = e.MaxStep
	text.Maintenance.Probation = waveProbation
	for i := range text.Services {
		text.Services[i].Demand = waveDemand
		text.Services[i].TimeLimit = 5 * time.Second
	}
	return text
}
