package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/reduce/usage"
	"github.com/banyanrail/banyanrail/standin"
)

const (
	// lossProcessingTime is how long a request holds a slot.
	lossProcessingTime = 400 * time.Millisecond
	// lossWindow is how long the data centre is down and the fleet is observed.
	lossWindow = 45 * time.Second
	// waveLeadTime is how long the wave runs before the loss.
	waveLeadTime   = 5 * time.Second
	lossMaxStep    = 4
	lostDataCentre = fleet.DataCentre("dc2")
)

// Loss takes a data centre down in the middle of a wave. It compares the forecast
// made just before with the share of requests that were answered.
type Loss struct {
	Entries int
	// Rate is the demand on each service, in requests per second.
	Rate float64
}

// LossResult is the result of a Loss.
type LossResult struct {
	Services []LossService `json:"services"`
	// StepsAfter is the number of steps that the wave took after the loss, Failed
	// the number of instances that did not return to service.
	StepsAfter int `json:"steps_after"`
	Failed     int `json:"failed"`
}

// LossService holds the forecast and the observed availability of one service, as
// shares of its requests.
type LossService struct {
	Name     fleet.ServiceName `json:"name"`
	Forecast float64           `json:"forecast"`
	Answered float64           `json:"answered"`
}

// Run runs the experiment on a fleet of its own.
func (e Loss) Run(ctx context.Context) (LossResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var text *fleet.Text
	f, err := start(ctx, dev.Config{Entries: e.Entries, Runners: waveRunners, Slots: waveSlots, ProcessingTime: lossProcessingTime},
		func(f *dev.Fleet) *fleet.Text {
			text = Wave{MaxStep: lossMaxStep}.text(f)
			return text
		})
	if err != nil {
		return LossResult{}, err
	}
	defer f.Stop()
	if err := f.Platform.SetWorkerFault(standin.WorkerFault{RebootTime: waveReboot}); err != nil {
		return LossResult{}, err
	}
	stopLoad := startLoad(ctx, f, e.Rate)
	res, err := e.observe(ctx, f, text)
	if err != nil {
		return res, err
	}
	_, err = stopLoad()
	return res, err
}

// observe waits until the entries have measured the demand, starts a wave and
// takes the data centre down. It returns the effect on the services and the wave.
func (e Loss) observe(ctx context.Context, f *dev.Fleet, text *fleet.Text) (LossResult, error) {
	var res LossResult
	client := operatorClient(f, 0)
	if err := loop.Sleep(ctx, usage.LongWindow+settleTime); err != nil {
		return res, err
	}
	order, err := client.SendCommand(ctx, "start wave", "/v1/waves", entry.WaveRequest{})
	if err != nil {
		return res, err
	}
	if err := loop.Sleep(ctx, waveLeadTime); err != nil {
		return res, err
	}
	forecast, err := client.Forecast(ctx, string(lostDataCentre), "")
	if err != nil {
		return res, err
	}
	before, err := client.Status(ctx)
	if err != nil {
		return res, err
	}
	if err := keepDown(ctx, f, text); err != nil {
		return res, err
	}
	after, err := client.Status(ctx)
	if err != nil {
		return res, err
	}
	for i, svc := range forecast.Services {
		answered := float64(after.Services[i].Answered - before.Services[i].Answered)
		failed := float64(after.Services[i].Failed - before.Services[i].Failed)
		res.Services = append(res.Services, LossService{
			Name: svc.Name, Forecast: svc.Availability, Answered: answered / (answered + failed),
		})
	}
	waveBefore, _ := findWave(before, order.Offset)
	waveAfter, _ := findWave(after, order.Offset)
	res.StepsAfter, res.Failed = waveAfter.Steps-waveBefore.Steps, len(waveAfter.Failed)
	return res, nil
}

// keepDown keeps the data centre down for lossWindow. It stops the runners again
// and again, because a reboot by the wave starts a stand-in.
func keepDown(ctx context.Context, f *dev.Fleet, text *fleet.Text) error {
	for end := time.Now().Add(lossWindow); time.Now().Before(end); {
		if err := takeDown(f, text); err != nil {
			return err
		}
		if err := loop.Sleep(ctx, statusPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// takeDown stops all runners of the lost data centre.
func takeDown(f *dev.Fleet, text *fleet.Text) error {
	for i, r := range f.Runners {
		if text.Instances[i].DataCentre != lostDataCentre {
			continue
		}
		if err := r.SetFault(standin.EndpointFault{Down: true}); err != nil {
			return fmt.Errorf("%s: %w", r.ID, err)
		}
	}
	return nil
}
