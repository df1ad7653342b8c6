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

// Parameters of the wave's fleet: five services with 8 or 9 runners each and a
// spare pool of 8.
const (
	waveRunners        = 50
	waveServices       = 5
	waveSlots          = 8
	waveProcessingTime = 200 * time.Millisecond
	waveReboot         = time.Second
	// waveDemand is the mean number of slots that each service uses.
	waveDemand    = 25
	waveProbation = time.Second
	waveTimeout   = 5 * time.Minute
	waveInFlight  = 4096
	// statusPollInterval is the time between two polls of the wave's status.
	statusPollInterval = 100 * time.Millisecond
)

// Wave holds the parameters of the experiment with a wave over 50 instances under
// load.
type Wave struct {
	Entries int
	// MaxStep is the largest number of instances out of service at the same time.
	MaxStep int
}

// WaveResult is the result of a Wave.
type WaveResult struct {
	Steps int `json:"steps"`
	// RollOut is the duration of the wave in seconds.
	RollOut float64 `json:"roll_out_s"`
	// LeastCapacity is the smallest share of a pool's instances in service at any
	// time.
	LeastCapacity float64 `json:"least_capacity"`
	// OnLeaving counts new requests on an instance later than 3 s after its drain
	// began. LastOnLeaving is the longest time between a drain and a new request,
	// in seconds.
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
	cfg := dev.Config{Entries: e.Entries, Runners: waveRunners, Slots: waveSlots, ProcessingTime: waveProcessingTime}
	cfg.Deps = entry.Deps{Tap: w.tap}
	f, err := start(ctx, cfg, e.text)
	if err != nil {
		return WaveResult{}, err
	}
	defer f.Stop()
	if err := f.Platform.SetWorkerFault(standin.WorkerFault{RebootTime: waveReboot}); err != nil {
		return WaveResult{}, err
	}
	stopLoad := startLoad(ctx, f, waveDemand/waveProcessingTime.Seconds())
	res, err := runWave(ctx, f)
	if err != nil {
		return res, err
	}
	if res.Load, err = stopLoad(); err != nil {
		return res, err
	}
	res.Endpoints, err = endpointTotals(ctx, f)
	late, last := w.result(ctx)
	res.OnLeaving, res.LastOnLeaving = late, last.Seconds()
	return res, err
}

// startLoad starts to send requests to each service at a rate. The returned
// function stops that, waits for the answers and returns the summary.
func startLoad(ctx context.Context, f *dev.Fleet, rate float64) func() (load.Summary, error) {
	cfg := load.Config{
		Members: []fleet.MemberName{"lawa"}, Duration: waveTimeout, BurstDuration: waveTimeout, BurstFactor: 1, QuietFactor: 1,
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
		sum, err := load.Run(ctx, cfg, load.Target{Entries: callerURLs(f.Entries), Runs: f.Runs})
		done <- outcome{sum, err}
	}()
	return func() (load.Summary, error) {
		stop()
		o := <-done
		return o.sum, o.err
	}
}

// runWave starts a wave over all instances and waits until it has ended.
func runWave(ctx context.Context, f *dev.Fleet) (WaveResult, error) {
	res := WaveResult{LeastCapacity: 1}
	began := time.Now()
	order, err := operatorClient(f, 0).SendCommand(ctx, "start wave", "/v1/waves", entry.WaveRequest{})
	if err != nil {
		return res, err
	}
	client := operatorClient(f, 1)
	for {
		st, err := client.Status(ctx)
		if err != nil {
			return res, err
		}
		res.LeastCapacity = min(res.LeastCapacity, leastCapacity(st))
		w, known := findWave(st, order.Offset)
		switch {
		case known && w.Phase == "done":
			res.Steps, res.RollOut = w.Steps, time.Since(began).Seconds()
			return res, nil
		case known && w.Phase != "running":
			return res, oops.In("experiment").With("step", "roll wave").Errorf("wave is %s: %s", w.Phase, w.Detail)
		}
		if err := loop.Sleep(ctx, statusPollInterval); err != nil {
			return res, err
		}
	}
}

func findWave(st effect.Status, id fleet.Offset) (effect.WaveStatus, bool) {
	for _, w := range st.Waves {
		if w.ID == id {
			return w, true
		}
	}
	return effect.WaveStatus{}, false
}

func waveService(i int) fleet.ServiceName { return fleet.ServiceName(fmt.Sprintf("service-%d", i+1)) }

// text returns a services text that distributes the runners over five services
// and a spare pool, and each pool over four data centres.
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
