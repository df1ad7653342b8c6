// Package jobentry is an entry that manages jobs, as a library: the drivers that
// carry out what package reduce decides. The daemon banyanrail-entry only reads
// settings and calls it.
//
// One goroutine (package loop) owns all control state. Clients' calls, orders to
// runners, and reads and appends of the store run on other goroutines, in pond
// pools, and talk to it by events.
package jobentry

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/reduce"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/jobs"
	"github.com/banyanrail/banyanrail/storage"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
)

const (
	// orderWorkers bounds the orders to runners under way at once, and
	// storeWorkers the calls to the store.
	orderWorkers = 128
	storeWorkers = 8
	// lookWorkers bounds the looks under way, one for each runner.
	lookWorkers = 1024
	// forwardWorkers bounds the forwarded calls under way.
	forwardWorkers = 256
	// queueLength bounds the events that wait.
	queueLength = 16_384
)

// Runners carries out orders at runners.
type Runners interface {
	Order(ctx context.Context, o effect.OrderTask) event.TaskOrdered
	Poll(ctx context.Context, l effect.PollRunner) event.RunnerPolled
}

// Instances orders the platform's instances about.
type Instances interface {
	List(ctx context.Context) ([]fleet.ManagedInstance, error)
	// Order returns how it went, and a reason if not well.
	Order(ctx context.Context, o effect.OrderInstance) (effect.InstanceOutcome, string)
}

// Advice knows on which runners a step may run.
type Advice interface {
	Tickets(ctx context.Context, step string, runners []fleet.RunnerID) (map[fleet.RunnerID]string, time.Duration, error)
}

// Peers forwards calls to other entries.
type Peers interface {
	Forward(ctx context.Context, f effect.Forward) (answer effect.CallAnswer, sent bool, err error)
	// Dispatch offers the entry to an owner and has its calls to runners carried
	// out until the offer breaks, or the context ends and all is answered.
	Dispatch(ctx context.Context, address string, self fleet.EntryID, clock loop.Clock, carry func(call effect.Effect, reply func(event.Body))) error
}

// Dispatchers carry out calls to runners for this entry. They report the results
// and who they are.
type Dispatchers interface {
	Subscribe(post func(event.Body))
	// Order and Poll return the outcome of what cannot be handed on, else nil.
	Order(o effect.OrderTask) event.Body
	Poll(l effect.PollRunner) event.Body
}

// RecordCodec reads the records of others, and writes those that others read.
type RecordCodec interface {
	// Queues returns the configuration; ok is false for other records.
	Queues(r storage.Record) (q *fleet.Queues, ok bool, err error)
	// Wave returns a maintenance wave; ok is false for other records.
	Wave(r storage.Record) (w fleet.MaintenanceWave, ok bool, err error)
	Runner(r storage.Record) (fleet.Runner, error)
	WaveStatus(wave int64, done bool) storage.Record
}

// Deps are the outside systems that an entry uses.
type Deps struct {
	Store       storage.Store
	RecordCodec RecordCodec
	Runners     Runners
	// Instances and Advice are nil where the platform has none.
	Instances Instances
	Advice    Advice
	Peers     Peers
	// Dispatchers share the calls to many runners.
	Dispatchers Dispatchers
	Clock       loop.Clock
	Metrics     tally.Scope
	Logger      *slog.Logger
	Traces      trace.TracerProvider
}

// Entry is one entry instance.
type Entry struct {
	deps     Deps
	loop     *loop.Loop[event.Body, effect.Effect]
	calls    *loop.Calls[effect.CallAnswer]
	metrics  *metrics
	tracer   trace.Tracer
	orders   pond.Pool
	looks    pond.Pool
	store    pond.Pool
	forwards pond.Pool
	self     fleet.EntryID
	ready    atomic.Bool
	handed   chan struct{}
	handOnce sync.Once
	// runners is the following of the runners for the present tenure, offer the
	// offer to the present owner.
	runners, offer replaceable

	background context.Context
	end        context.CancelFunc
}

// New returns an entry that does nothing until Run.
func New(cfg jobs.Config, deps Deps) *Entry {
	background, end := context.WithCancel(context.Background())
	e := &Entry{
		deps:       deps,
		calls:      loop.NewCalls[effect.CallAnswer](),
		metrics:    newMetrics(deps.Metrics),
		tracer:     deps.Traces.Tracer("github.com/banyanrail/banyanrail/jobentry"),
		orders:     pond.NewPool(orderWorkers),
		looks:      pond.NewPool(lookWorkers),
		store:      pond.NewPool(storeWorkers),
		forwards:   pond.NewPool(forwardWorkers),
		handed:     make(chan struct{}),
		self:       cfg.Entry,
		background: background,
		end:        end,
	}
	state := reduce.New(reduce.Config{Entry: cfg.Entry, Jobs: &cfg})
	e.loop = loop.New(loop.Config[event.Body, effect.Effect]{
		Queue: queueLength,
		Reduce: func(now time.Time, body event.Body) []effect.Effect {
			return reduce.Reduce(state, event.Event{Now: now, Body: body})
		},
		Act:   e.act,
		Timer: timerOf,
		Wake:  event.TimerFired{},
		Clock: deps.Clock,
	})
	deps.Dispatchers.Subscribe(e.post)
	return e
}

func timerOf(out effect.Effect) (time.Time, bool) {
	t, ok := out.(effect.SetTimer)
	return t.At, ok
}

// Run works until the context ends. Call HandOver before for a graceful end.
func (e *Entry) Run(ctx context.Context) {
	go e.loop.Run(e.background)
	e.post(event.JobsStarted{})
	<-ctx.Done()
	e.end()
	<-e.loop.Done()
	for _, p := range []pond.Pool{e.orders, e.looks, e.store, e.forwards} {
		p.StopAndWait()
	}
}

// HandOver gives up the jobs to another entry and returns when that is stored,
// or with the context's error.
func (e *Entry) HandOver(ctx context.Context) error {
	e.post(event.JobsStopRequested{})
	select {
	case <-e.handed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ready reports whether the balancer may send clients here.
func (e *Entry) Ready() bool { return e.ready.Load() }

// Call carries out a client's call.
func (e *Entry) Call(ctx context.Context, c event.ClientCalled) (effect.CallAnswer, error) {
	ctx, span := e.tracer.Start(ctx, "call")
	defer span.End()
	a, err := e.calls.Do(ctx, func(id uint64) error {
		c.Call = id
		return e.loop.Post(c)
	})
	if err != nil {
		e.post(event.ClientGone{Call: c.Call})
	}
	return a, err
}

// post queues an event. It fails only after the end, when nobody needs it.
func (e *Entry) post(b event.Body) { _ = e.loop.Post(b) }
