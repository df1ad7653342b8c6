package dev_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
	loadgen "github.com/banyanrail/banyanrail/load"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/usage"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/shoenig/test/must"
)

const (
	// lossWork is how long a request holds a slot.
	lossWork = 400 * time.Millisecond
	// lossWindow is how long the loss is watched.
	lossWindow = 45 * time.Second
	// lostCentre is the index of the data centre that is lost.
	lostCentre = 1
)

// BenchmarkLossInAWave takes a data centre down in the middle of a wave, and
// compares the forecast of a moment before with what callers got.
func BenchmarkLossInAWave(b *testing.B) {
	if testing.Short() {
		b.Skip("takes minutes")
	}
	for _, rate := range []float64{90, 140} {
		b.Run(fmt.Sprintf("rate=%.0f", rate), func(b *testing.B) {
			for range b.N {
				loseInWave(b, rate)
			}
		})
	}
}

func loseInWave(b *testing.B, rate float64) {
	f, err := dev.Start(dev.Config{Entries: waveEntries, Runners: 50, Slots: 8, Work: lossWork})
	must.NoError(b, err)
	defer f.Stop()
	must.NoError(b, f.Platform.SetWorkerFault(standin.WorkerFault{RebootTime: time.Second}))
	code, _ := publish(b, f.Nodes[0], "0", waveText(f, 4))
	must.EqOp(b, http.StatusOK, code)
	time.Sleep(settleTime)
	ctx, stop := context.WithCancel(b.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = loadgen.Run(ctx, steadyLoad(rate), steadyTarget(f))
	}()
	time.Sleep(usage.LongWindow + settleTime)

	code, _ = order(b, f.Nodes[0], "/v1/waves", entry.WaveRequest{})
	must.EqOp(b, http.StatusOK, code)
	time.Sleep(5 * time.Second)
	said := forecastOf(b, f.Nodes[0], fmt.Sprintf("dc%d", lostCentre+1))
	for i, r := range f.Runners {
		if i%4 == lostCentre {
			must.NoError(b, r.SetFault(standin.RunnerFault{Down: true}))
		}
	}
	before := totalsOf(b, f)
	steps := status(b, f.Nodes[0]).Waves[0].Steps
	time.Sleep(lossWindow)
	after := totalsOf(b, f)
	for i, svc := range said.Services {
		answered := after[i].Answered - before[i].Answered
		failed := after[i].Failed - before[i].Failed
		b.ReportMetric(100*svc.Availability, fmt.Sprintf("forecast-%d-%%", i+1))
		b.ReportMetric(100*float64(answered)/float64(answered+failed), fmt.Sprintf("answered-%d-%%", i+1))
	}
	waves := status(b, f.Nodes[0]).Waves
	b.ReportMetric(float64(waves[0].Steps-steps), "steps-after")
	b.ReportMetric(float64(len(waves[0].Failed)), "failed-to-return")
	stop()
	<-ended
}

func steadyLoad(rate float64) loadgen.Config {
	cfg := loadgen.Config{
		Members: []fleet.MemberName{"lawa"}, Duration: time.Hour, Burst: time.Minute,
		BurstFactor: 1, QuietFactor: 1, MaxInFlight: 4096, Seed: 1,
	}
	for i := range waveServices {
		name := fleet.ServiceName(fmt.Sprintf("service-%d", i+1))
		cfg.Services = append(cfg.Services, loadgen.Service{Name: name, Idempotent: true, Rate: rate})
	}
	return cfg
}

func steadyTarget(f *dev.Fleet) loadgen.Target {
	var target loadgen.Target
	for _, n := range f.Nodes {
		target.Entries = append(target.Entries, n.CallersURL)
	}
	return target
}

func forecastOf(b *testing.B, n *dev.Node, dataCentre string) effect.Forecast {
	resp, err := http.Get(n.OperatorsURL + "/v1/forecast?data_centre=" + dataCentre)
	must.NoError(b, err)
	defer resp.Body.Close()
	var said effect.Forecast
	must.NoError(b, json.NewDecoder(resp.Body).Decode(&said))
	return said
}

func totalsOf(b *testing.B, f *dev.Fleet) []effect.ServiceStatus {
	return status(b, f.Nodes[0]).Services
}
