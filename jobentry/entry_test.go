package jobentry_test

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/jobentry"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/peer"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/jobs"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/banyanrail/banyanrail/storage"
	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
)

// TestMain fails if a test leaves a goroutine behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// instantRunner is an in-memory runner whose tasks end as soon as they start.
type instantRunner struct {
	mu      sync.Mutex
	fence   int64
	ends    []fleet.EndedTask
	started map[fleet.TaskID]int
	// untokened counts the calls without a token, or with one that an earlier epoch's exceed.
	untokened int
	epochs    map[int64]int64
}

// checkToken checks that a call has a token above those of all earlier epochs.
func (r *instantRunner) checkToken(epoch, token int64) {
	if r.epochs == nil {
		r.epochs = make(map[int64]int64)
	}
	r.epochs[epoch] = max(r.epochs[epoch], token)
	for other, highest := range r.epochs {
		if token <= 0 || (other < epoch && highest >= token) {
			r.untokened++
		}
	}
}

func (r *instantRunner) Order(_ context.Context, o effect.OrderTask) event.TaskOrdered {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkToken(o.Epoch, o.Token)
	out := event.TaskOrdered{Epoch: o.Epoch, Token: o.Token, Runner: o.Runner, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt, Outcome: event.OrderDone}
	if o.Token < r.fence {
		out.Outcome = event.OrderFenced
		return out
	}
	if o.Kind == effect.OrderStart {
		r.started[o.Task]++
		r.ends = append(r.ends, fleet.EndedTask{Number: int64(len(r.ends) + 1), Task: o.Task, Attempt: o.Attempt, Outcome: fleet.RunDone})
	}
	return out
}

func (r *instantRunner) Poll(ctx context.Context, p effect.PollRunner) event.RunnerPolled {
	if p.Wait > 0 {
		_ = loop.Sleep(ctx, 5*time.Millisecond) // ends with the test
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkToken(p.Epoch, p.Token)
	out := event.RunnerPolled{Epoch: p.Epoch, Runner: p.Runner, Number: p.Number, Outcome: event.OrderDone, Incarnation: 1}
	if p.Token < r.fence {
		out.Outcome = event.OrderFenced
		return out
	}
	r.fence = p.Token
	now := time.Now()
	out.Clock = event.Clock{Reading: now.UnixMilli(), Sent: now, Received: now}
	for _, e := range r.ends {
		if e.Number > p.Acknowledged {
			out.Ended = append(out.Ended, e)
		}
	}
	return out
}

func (r *instantRunner) CloseIdle() {}

// recordCodec decodes any record of the key "config" to a fixed configuration, and
// any runner's report to a fixed runner.
type recordCodec struct{}

func (recordCodec) Queues(r storage.Record) (*fleet.Queues, bool, error) {
	return fleet.NewQueues(1, []*fleet.Queue{{Name: "q", Host: "host", Prefix: "/q/", Service: "service", MaxAttempts: 2, Stretch: 2}},
		[]*fleet.JobService{{Name: "service"}}), r.Key == "config", nil
}

func (recordCodec) Wave(storage.Record) (fleet.MaintenanceWave, bool, error) {
	return fleet.MaintenanceWave{}, false, nil
}

func (recordCodec) Runner(r storage.Record) (fleet.Runner, error) {
	return fleet.Runner{ID: fleet.RunnerID(r.Key), Incarnation: 1, Service: "service", Address: "address", Capacity: fleet.Capacity{CPU: 10_000}}, nil
}

func (recordCodec) WaveStatus(int64, bool) storage.Record { return storage.Record{Key: "wave"} }

// runningEntry is an entry in operation, with its listener for peers.
type runningEntry struct {
	*jobentry.Entry
	end func()
}

func startEntry(t *testing.T, id string, store *standin.Store, runner *instantRunner) *runningEntry {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	peers, dispatchers := peer.NewJobsClient(), peer.NewDispatchers(loop.BootClock())
	e := jobentry.New(jobs.Config{Entry: fleet.EntryID(id), Incarnation: 1, Address: ln.Addr().String()}, jobentry.Deps{
		Store: store, RecordCodec: recordCodec{}, Runners: runner, Peers: peers, Dispatchers: dispatchers, Clock: loop.BootClock(), Metrics: tally.NoopScope,
		Logger: slog.New(slog.DiscardHandler), Traces: noop.NewTracerProvider(),
	})
	srv := grpc.NewServer()
	peer.RegisterJobs(srv, e.Call, dispatchers)
	go func() { _ = srv.Serve(ln) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { e.Run(ctx); close(done) }()
	var once sync.Once
	s := &runningEntry{Entry: e, end: func() {
		once.Do(func() { srv.Stop(); cancel(); <-done; peers.Close() })
	}}
	t.Cleanup(s.end)
	return s
}

// callUntil repeats a call until its answer is accepted or the context ends.
func (s *runningEntry) callUntil(ctx context.Context, t *testing.T, c event.ClientCalled, accept func(effect.CallAnswer) bool) {
	t.Helper()
	for {
		a, err := s.Call(ctx, c)
		must.NoError(t, err)
		if accept(a) {
			return
		}
		must.NoError(t, loop.Sleep(ctx, 10*time.Millisecond))
	}
}

func TestJobSurvivesHandOver(t *testing.T) {
	store, runner := standin.NewStore(), &instantRunner{started: make(map[fleet.TaskID]int)}
	must.NoError(t, store.Append(t.Context(), storage.TopicOperators, []storage.Record{{Key: "config", Value: []byte("x")}}))
	must.NoError(t, store.Append(t.Context(), storage.TopicRunners, []storage.Record{{Key: "r", Value: []byte("x")}}))
	first, second := startEntry(t, "e1", store, runner), startEntry(t, "e2", store, runner)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()

	spec := &fleet.JobSpec{Text: "t", Steps: []fleet.Step{{Count: 3, Needs: fleet.Capacity{CPU: 1}}, {Count: 2, After: []int{0}}}}
	submit := event.ClientCalled{Kind: effect.CallSubmit, Host: "host", Path: "/q/0123456789abcdef", Spec: spec}
	state := event.ClientCalled{Kind: effect.CallState, Host: "host", Path: "/q/0123456789abcdef"}
	isDone := func(a effect.CallAnswer) bool { return a.Kind == effect.AnswerState && a.State == fleet.JobDone }
	first.callUntil(ctx, t, submit, func(a effect.CallAnswer) bool { return a.Kind == effect.AnswerAccepted })
	second.callUntil(ctx, t, state, isDone)
	must.MapLen(t, 5, runner.started)

	// The second entry still knows the job's state after the first has handed over
	// and ended, and no task has run twice.
	must.NoError(t, first.HandOver(ctx))
	first.end()
	second.callUntil(ctx, t, state, isDone)
	for id, n := range runner.started {
		must.Eq(t, 1, n, must.Sprint(id))
	}
	second.end()
	must.Zero(t, runner.untokened)
	must.MapNotEmpty(t, runner.epochs)
}
