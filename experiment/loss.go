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
	// lossWork is how long a request holds a slot.
	lossWork = 400 * time.Millisecond
	// lossWindow is how long the loss is watched.
	lossWindow = 45 * time.Second
	// waveLead is how long the wave runs before the loss.
	waveLead = 5 * time.Second
	lossStep = 4
	lost     = fleet.DataCentre("dc2")
)

// Loss takes a data centre down in the middle of a wave, and compares the
// forecast of a moment before with what callers got.
type Loss struct {
	Entries int
	// Rate is the demand on each service, in requests a second.
	Rate float64
}

// LossResult is what a loss did.
type LossResult struct {
	Services []LossService `json:"services"`
	// StepsAfter is the number of steps that the wave took after the loss, and
	// Failed that of instances that did not come back.
	StepsAfter int `json:"steps_after"`
	Failed     int `json:"failed"`
}

// LossService is what a loss did to one service, as shares of its requests.
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
	f, err := start(ctx, dev.Config{Entries: e.Entries, Runners: waveRunners, Slots: waveSlots, ProcessingTime: lossWork},
		func(f *dev.Fleet) *fleet.Text {
			text = Wave{MaxStep: lossStep}.text(f)
			return text
		})
	if err != nil {
		return LossResult{}, err
	}
	defer f.Stop()
	if err := f.Platform.SetWorkerFault(standin.WorkerFault{RebootTime: waveReboot}); err != nil {
		return LossResult{}, err
	}
	stop := startLoad(ctx, f, e.Rate)
	res, err := e.lose(ctx, f, text)
	if err != nil {
		return res, err
	}
	_, err = stop()
	return res, err
}

// lose starts a wave once the demand has been observed, takes the data centre
// down and watches.
func (e Loss) lose(ctx context.Context, f *dev.Fleet, text *fleet.Text) (LossResult, error) {
	var res LossResult
	client := operators(f, 0)
	if err := loop.Sleep(ctx, usage.LongWindow+settleTime); err != nil {
		return res, err
	}
	order, err := client.SendCommand(ctx, "start wave", "/v1/waves", entry.WaveRequest{})
	if err != nil {
		return res, err
	}
	if err := loop.Sleep(ctx, waveLead); err != nil {
		return res, err
	}
	forecast, err := client.Forecast(ctx, string(lost), "")
	if err != nil {
		return res, err
	}
	before, err := client.Status(ctx)
	if err != nil {
		return res, err
	}
	if err := holdDown(ctx, f, text); err != nil {
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
	was, _ := waveOf(before, order.Offset)
	is, _ := waveOf(after, order.Offset)
	res.StepsAfter, res.Failed = is.Steps-was.Steps, len(is.Failed)
	return res, nil
}

// holdDown keeps the data centre down for the time of the loss: a reboot by the
// wave would bring a stand-in back.
func holdDown(ctx context.Context, f *dev.Fleet, text *fleet.Text) error {
	for end := time.Now().Add(lossWindow); time.Now().Before(end); {
		if err := takeDown(f, text); err != nil {
			return err
		}
		if err := loop.Sleep(ctx, lookInterval); err != nil {
			return err
		}
	}
	return nil
}

// takeDown stops all runners of the data centre that is lost.
func takeDown(f *dev.Fleet, text *fleet.Text) error {
	for i, r := range f.Runners {
		if text.Instances[i].DataCentre != lost {
			continue
		}
		if err := r.SetFault(standin.EndpointFault{Down: true}); err != nil {
			return fmt.Errorf("%s: %w", r.ID, err)
		}
	}
	return nil
}
