package load_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/load"
	"github.com/banyanrail/banyanrail/services"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func config() load.Config {
	return load.Config{
		Services: []load.Service{{Name: "survey", Idempotent: true, Rate: 100}, {Name: "permits", Rate: 100}},
		Members:  []fleet.MemberName{"a", "b"},
		Entries:  3, Duration: 20 * time.Second, BurstDuration: 2 * time.Second,
		BurstFactor: 5, QuietFactor: 0.05, MaxInFlight: 100, Seed: 9,
	}
}

// simulate runs the reducer in virtual time. It answers each call with answer,
// and CountRuns with runs.
func simulate(cfg load.Config, answer func(load.Call) load.CallFinished, runs map[fleet.Key]int) (load.Summary, []load.Call) {
	state := load.New(cfg)
	now := epoch
	queue := []load.Event{load.Started{}}
	var timer time.Time
	var calls []load.Call
	for {
		if len(queue) == 0 {
			now = timer
			queue = append(queue, load.TimerFired{})
		}
		out := state.Reduce(now, queue[0])
		queue = queue[1:]
		for _, e := range out {
			switch e := e.(type) {
			case load.Call:
				calls = append(calls, e)
				done := answer(e)
				done.ID = e.ID
				queue = append(queue, done)
			case load.SetTimer:
				timer = e.At
			case load.CountRuns:
				queue = append(queue, load.RunsCounted{ByKey: runs})
			case load.Finished:
				return e.Summary, calls
			}
		}
	}
}

func complete(load.Call) load.CallFinished {
	return load.CallFinished{Answer: load.AnswerComplete, Status: http.StatusOK, Ran: fleet.RanYes, BodyMatches: true, Elapsed: time.Millisecond}
}

func TestServicesBurstInTurn(t *testing.T) {
	cfg := config()
	sum, calls := simulate(cfg, complete, nil)
	// Each of the two services gets 500 requests/s for half of the 20 s and
	// 5 requests/s for the other half.
	for _, svc := range cfg.Services {
		must.Between(t, 4500, sum.Services[svc.Name].Requests, 5600)
	}
	must.EqOp(t, sum.Requests, sum.Answered)
	must.Nil(t, sum.Doubled)
	entries := make(map[int]int)
	for _, c := range calls {
		entries[c.Entry]++
		id, err := uuid.Parse(string(c.Key))
		must.NoError(t, err)
		must.EqOp(t, 7, id.Version())
	}
	must.MapLen(t, cfg.Entries, entries)
}

func TestSameSeedGivesTheSameCalls(t *testing.T) {
	_, one := simulate(config(), complete, nil)
	_, two := simulate(config(), complete, nil)
	must.Eq(t, one, two)
}

func TestEachOutcomeIsCountedOnce(t *testing.T) {
	outcomes := []load.CallFinished{
		complete(load.Call{}),
		{Answer: load.AnswerComplete, Status: http.StatusOK, Ran: fleet.RanYes},
		{Answer: load.AnswerComplete, Status: http.StatusTooManyRequests, Ran: fleet.RanNo},
		{Answer: load.AnswerComplete, Status: http.StatusBadGateway, Ran: fleet.RanUnknown},
		{Answer: load.AnswerComplete, Status: http.StatusInternalServerError, Ran: fleet.RanYes},
		{Answer: load.AnswerConnectionLost},
		{Answer: load.AnswerTimedOut},
		{Answer: load.AnswerUnreachable},
	}
	n := 0
	sum, calls := simulate(config(), func(load.Call) load.CallFinished {
		n++
		return outcomes[n%len(outcomes)]
	}, nil)
	each := len(calls) / len(outcomes)
	for _, got := range []int{
		sum.Answered, sum.Crossed, sum.RefusedNotRun, sum.Unknown, sum.Failed, sum.CutOff, sum.Lost, sum.Unreachable,
	} {
		must.Between(t, each, got, each+1)
	}
	must.EqOp(t, len(calls), sum.Requests)
}

func TestDoubledAndFalselyRefusedAreCounted(t *testing.T) {
	runs := make(map[fleet.Key]int)
	refuse := func(c load.Call) load.CallFinished {
		runs[c.Key] = 2
		return load.CallFinished{Answer: load.AnswerComplete, Status: http.StatusTooManyRequests, Ran: fleet.RanNo}
	}
	sum, _ := simulate(config(), refuse, runs)
	must.EqOp(t, sum.Requests, *sum.RanThoughRefused)
	must.EqOp(t, sum.Services["permits"].Requests, *sum.Doubled)
	must.EqOp(t, 0, *sum.Services["survey"].Doubled)
}

func TestArrivalsBeyondTheLimitAreNotSent(t *testing.T) {
	cfg := config()
	cfg.MaxInFlight = 3
	state := load.New(cfg)
	sent := 0
	now := epoch
	var ev load.Event = load.Started{}
	for now.Before(epoch.Add(cfg.Duration)) {
		for _, e := range state.Reduce(now, ev) {
			switch e := e.(type) {
			case load.Call:
				sent++
			case load.SetTimer:
				now = e.At
			}
		}
		ev = load.TimerFired{}
	}
	must.EqOp(t, 3, sent)
}

func TestRunAgainstAFleet(t *testing.T) {
	f, err := dev.Start(dev.Config{Entries: 2, Runners: 4, Slots: 8, ProcessingTime: time.Millisecond})
	must.NoError(t, err)
	t.Cleanup(f.Stop)
	cfg := config()
	cfg.Duration, cfg.BurstDuration = 400*time.Millisecond, 100*time.Millisecond
	layout := dev.Layout{
		Services: []dev.LayoutService{{Name: "survey", Idempotent: true}, {Name: "permits"}},
		Members:  cfg.Members,
		Slots:    8,
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, f.Entries[0].OperatorsURL+"/v1/text?base=0", bytes.NewReader(services.Print(f.LayoutText(layout))))
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.EqOp(t, http.StatusOK, resp.StatusCode)
	for _, n := range f.Entries {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(n.Entry.Ready), wait.Timeout(30*time.Second)))
	}
	must.NoError(t, f.Runners[0].SetFault(standin.EndpointFault{Swap: 1, Truncate: 1, Break: 1}))

	target := load.Target{Runs: f.Runs, TimeLimit: 10 * time.Second, BodySize: 256}
	for _, n := range f.Entries {
		target.Entries = append(target.Entries, n.CallersURL)
	}
	sum, err := load.Run(t.Context(), cfg, target)
	must.NoError(t, err)
	must.Positive(t, sum.Answered)
	must.EqOp(t, sum.Requests, sum.Answered+sum.RefusedNotRun+sum.Unknown+sum.Failed+sum.NotSent)
	must.EqOp(t, 0, sum.Crossed+sum.Lost+sum.CutOff+sum.Unreachable)
	must.EqOp(t, 0, *sum.RanThoughRefused)
	must.EqOp(t, 0, *sum.Doubled)
}

func TestUnreachableEntryIsCounted(t *testing.T) {
	cfg := config()
	cfg.Duration = 100 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	sum, err := load.Run(ctx, cfg, load.Target{Entries: []string{"http://127.0.0.1:1"}})
	must.NoError(t, err)
	must.EqOp(t, sum.Requests, sum.Unreachable+sum.NotSent)
}

func TestRequestIsNotRetriedAfterItsConnectionBreaks(t *testing.T) {
	var received atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if received.Add(1)%2 == 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Banyanrail-Ran", "no")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(srv.Close)
	cfg := config()
	cfg.Duration, cfg.MaxInFlight = 200*time.Millisecond, 1
	sum, err := load.Run(t.Context(), cfg, load.Target{Entries: []string{srv.URL}})
	must.NoError(t, err)
	must.Positive(t, sum.CutOff)
	must.EqOp(t, received.Load(), int64(sum.Requests-sum.NotSent))
	must.EqOp(t, sum.Requests, sum.CutOff+sum.RefusedNotRun+sum.NotSent)
}
