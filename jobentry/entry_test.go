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

// TestMain fails when a goroutine is left after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// desk is one runner whose tasks end at once, in memory.
type desk struct {
	mu      sync.Mutex
	fence   int64
	ends    []fleet.EndedTask
	started map[fleet.TaskID]int
}

func (d *desk) Order(_ context.Context, o effect.OrderTask) event.TaskOrdered {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := event.TaskOrdered{Epoch: o.Epoch, Runner: o.Runner, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt, Outcome: event.OrderDone}
	if o.Epoch < d.fence {
		out.Outcome = event.OrderFenced
		return out
	}
	if o.Kind == effect.OrderStart {
		d.started[o.Task]++
		d.ends = append(d.ends, fleet.EndedTask{Number: int64(len(d.ends) + 1), Task: o.Task, Attempt: o.Attempt, Outcome: fleet.RunDone})
	}
	return out
}

func (d *desk) Poll(ctx context.Context, l effect.PollRunner) event.RunnerPolled {
	if l.Wait > 0 {
		_ = loop.Sleep(ctx, 5*time.Millisecond) // ends with the test
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	out := event.RunnerPolled{Epoch: l.Epoch, Runner: l.Runner, Number: l.Number, Outcome: event.OrderDone, Incarnation: 1}
	if l.Epoch < d.fence {
		out.Outcome = event.OrderFenced
		return out
	}
	d.fence = l.Epoch
	now := time.Now()
	out.Clock = event.Clock{Reading: now.UnixMilli(), Sent: now, Received: now}
	for _, e := range d.ends {
		if e.Number > l.Acknowledged {
			out.Ended = append(out.Ended, e)
		}
	}
	return out
}

// recordCodec reads records of one letter: the queues and a runner.
type recordCodec struct{}

func (recordCodec) Queues(r storage.Record) (*fleet.Queues, bool, error) {
	return fleet.NewQueues(1, []*fleet.Queue{{Name: "q", Host: "host", Prefix: "/q/", Service: "desk", MaxAttempts: 2, Stretch: 2}},
		[]*fleet.JobService{{Name: "desk"}}), r.Key == "config", nil
}

func (recordCodec) Wave(storage.Record) (fleet.MaintenanceWave, bool, error) {
	return fleet.MaintenanceWave{}, false, nil
}

func (recordCodec) Runner(r storage.Record) (fleet.Runner, error) {
	return fleet.Runner{ID: fleet.RunnerID(r.Key), Incarnation: 1, Service: "desk", Address: "desk", Capacity: fleet.Capacity{CPU: 10_000}}, nil
}

func (recordCodec) WaveStatus(int64, bool) storage.Record { return storage.Record{Key: "wave"} }

// started is an entry that runs, with its peers' listener.
type started struct {
	*jobentry.Entry
	end func()
}

func startEntry(t *testing.T, id string, store *standin.Store, d *desk) *started {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	peers, dispatchers := peer.NewJobs(), peer.NewDispatchers(loop.BootClock())
	e := jobentry.New(jobs.Config{Entry: fleet.EntryID(id), Incarnation: 1, Address: ln.Addr().String()}, jobentry.Deps{
		Store: store, RecordCodec: recordCodec{}, Runners: d, Peers: peers, Dispatchers: dispatchers, Clock: loop.BootClock(), Metrics: tally.NoopScope,
		Logger: slog.New(slog.DiscardHandler), Traces: noop.NewTracerProvider(),
	})
	srv := grpc.NewServer()
	peer.RegisterJobs(srv, e.Call, dispatchers)
	go func() { _ = srv.Serve(ln) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { e.Run(ctx); close(done) }()
	var once sync.Once
	s := &started{Entry: e, end: func() {
		once.Do(func() { srv.Stop(); cancel(); <-done; peers.Close() })
	}}
	t.Cleanup(s.end)
	return s
}

// until asks until an answer fits; the context bounds it.
func (s *started) until(ctx context.Context, t *testing.T, c event.ClientCalled, fits func(effect.CallAnswer) bool) {
	t.Helper()
	for {
		a, err := s.Call(ctx, c)
		must.NoError(t, err)
		if fits(a) {
			return
		}
		must.NoError(t, loop.Sleep(ctx, 10*time.Millisecond))
	}
}

func TestJobOverTwoEntries(t *testing.T) {
	store, d := standin.NewStore(), &desk{started: make(map[fleet.TaskID]int)}
	must.NoError(t, store.Append(t.Context(), storage.TopicOperators, []storage.Record{{Key: "config", Value: []byte("x")}}))
	must.NoError(t, store.Append(t.Context(), storage.TopicRunners, []storage.Record{{Key: "r", Value: []byte("x")}}))
	first, second := startEntry(t, "e1", store, d), startEntry(t, "e2", store, d)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()

	spec := &fleet.JobSpec{Text: "t", Steps: []fleet.Step{{Count: 3, Needs: fleet.Capacity{CPU: 1}}, {Count: 2, After: []int{0}}}}
	submit := event.ClientCalled{Kind: effect.CallSubmit, Host: "host", Path: "/q/0123456789abcdef", Spec: spec}
	state := event.ClientCalled{Kind: effect.CallState, Host: "host", Path: "/q/0123456789abcdef"}
	isDone := func(a effect.CallAnswer) bool { return a.Kind == effect.AnswerState && a.State == fleet.JobDone }
	first.until(ctx, t, submit, func(a effect.CallAnswer) bool { return a.Kind == effect.AnswerAccepted })
	second.until(ctx, t, state, isDone)
	must.MapLen(t, 5, d.started)

	// One hands over and ends; the other knows the job all the same.
	must.NoError(t, first.HandOver(ctx))
	first.end()
	second.until(ctx, t, state, isDone)
	for id, n := range d.started {
		must.Eq(t, 1, n, must.Sprint(id))
	}
}
