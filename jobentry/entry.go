// Package jobentry is an entry that manages jobs, as a library: the drivers that
// carry out the effects of package reduce. The daemon banyanrail-entry only reads
// settings and calls it.
//
// One goroutine (package loop) owns all control state. Clients' calls, orders to
// runners, and reads and appends of the store run on other goroutines, most of them
// in pond pools, and report to it by events.
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
	"github.com/banyanrail/banyanrail/reduce/access"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/jobs"
	"github.com/banyanrail/banyanrail/storage"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
)

const (
	// orderWorkers bounds the orders to runners in flight, and storeWorkers the
	// calls to the store.
	orderWorkers = 128
	storeWorkers = 8
	// pollWorkers bounds the long polls in flight, one for each runner.
	pollWorkers = 1024
	// forwardWorkers bounds the forwarded calls in flight.
	forwardWorkers = 256
	// queueLength is the capacity of the event queue.
	queueLength = 16_384
)

// Runners sends calls to runners.
type Runners interface {
	// Order sends an order about a task.
	Order(ctx context.Context, o effect.OrderTask) event.TaskOrdered
	// Poll extends the leases of a runner's tasks and fetches its running and ended
	// tasks by a long poll.
	Poll(ctx context.Context, p effect.PollRunner) event.RunnerPolled
	// CloseIdle closes the connections that no call uses, now and as calls end, until the
	// next call.
	CloseIdle()
}

// Instances lists the platform's instances and sends orders about them.
type Instances interface {
	// List returns all instances that the platform manages.
	List(ctx context.Context) ([]fleet.ManagedInstance, error)
	// Order carries out an order about an instance. The string is the reason of an
	// outcome other than effect.InstanceOrderDone.
	Order(ctx context.Context, o effect.OrderInstance) (effect.InstanceOutcome, string)
}

// Advice is the advice service, which decides on which runners a step may run.
type Advice interface {
	// Tickets returns a ticket for each of the runners that may run a step, and how
	// long the tickets are valid.
	Tickets(ctx context.Context, step string, runners []fleet.RunnerID) (map[fleet.RunnerID]string, time.Duration, error)
}

// Peers sends calls to other entries.
type Peers interface {
	// Forward forwards a client's call to the owner. The result sent is true if the
	// owner may have received the call.
	Forward(ctx context.Context, f effect.Forward) (answer effect.CallAnswer, sent bool, err error)
	// Dispatch offers this entry as a dispatcher to an owner and passes the owner's
	// calls to runners to execute. It returns when the stream breaks, or when the
	// context has ended and all calls are answered.
	Dispatch(ctx context.Context, address string, self fleet.EntryID, clock loop.Clock, execute func(call effect.Effect, reply func(event.Body))) error
}

// Dispatchers are other entries that carry out calls to runners for this entry.
type Dispatchers interface {
	// Subscribe sets the function that receives the results of calls, and the
	// dispatchers that join and leave.
	Subscribe(post func(event.Body))
	// Order and Poll pass a call to its dispatcher. They return nil, or the outcome
	// of a call that could not be passed on.
	Order(o effect.OrderTask) event.Body
	Poll(p effect.PollRunner) event.Body
}

// RecordCodec decodes the records of operators and runners, and encodes those that
// operators read.
type RecordCodec interface {
	// Queues decodes the configuration of queues; ok is false for other records.
	Queues(r storage.Record) (q *fleet.Queues, ok bool, err error)
	// Wave decodes a maintenance wave; ok is false for other records.
	Wave(r storage.Record) (w fleet.MaintenanceWave, ok bool, err error)
	// Runner decodes a runner's report.
	Runner(r storage.Record) (fleet.Runner, error)
	// WaveStatus encodes the status of a maintenance wave.
	WaveStatus(wave int64, done bool) storage.Record
}

// Deps are the outside systems that an entry uses.
type Deps struct {
	Store       storage.Store
	RecordCodec RecordCodec
	Runners     Runners
	// Instances and Advice are nil where the platform lacks the service.
	Instances Instances
	Advice    Advice
	Peers     Peers
	// Dispatchers take over calls to runners when there are many runners.
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
	polls    pond.Pool
	store    pond.Pool
	forwards pond.Pool
	self     fleet.EntryID
	// access is what the deployment requires of callers' keys.
	access         access.Config
	ready          atomic.Bool
	handedOver     chan struct{}
	handedOverOnce sync.Once
	// tenureInterval is the time between two reads of the tenure log while the owner
	// sends heartbeats, and tenureWake ends the wait for the next one.
	tenureInterval time.Duration
	tenureWake     chan struct{}
	// runnersFollower reads the list of runners during this entry's tenure.
	// dispatchOffer offers this entry as a dispatcher to the current owner.
	runnersFollower, dispatchOffer backgroundWork

	// background is the context of all work; cancel ends it.
	background context.Context
	cancel     context.CancelFunc
}

// New returns an entry that does nothing until Run.
func New(cfg jobs.Config, deps Deps) *Entry {
	background, cancel := context.WithCancel(context.Background())
	e := &Entry{
		deps:       deps,
		calls:      loop.NewCalls[effect.CallAnswer](),
		metrics:    newMetrics(deps.Metrics),
		tracer:     deps.Traces.Tracer("github.com/banyanrail/banyanrail/jobentry"),
		orders:     pond.NewPool(orderWorkers),
		polls:      pond.NewPool(pollWorkers),
		store:      pond.NewPool(storeWorkers),
		forwards:   pond.NewPool(forwardWorkers),
		handedOver: make(chan struct{}),
		self:       cfg.Entry,
		access:     cfg.Bounds.Access,
		tenureWake: make(chan struct{}, 1),
		background: background,
		cancel:     cancel,
	}
	if cfg.ClaimDelay > 0 {
		e.tenureInterval = tenureReadInterval
	}
	state := reduce.New(reduce.Config{Entry: cfg.Entry, Jobs: &cfg})
	e.loop = loop.New(loop.Config[event.Body, effect.Effect]{
		QueueSize: queueLength,
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

// Run runs the entry until the context ends. Call HandOver first for a graceful
// stop.
func (e *Entry) Run(ctx context.Context) {
	go e.loop.Run(e.background)
	e.post(event.JobsStarted{})
	<-ctx.Done()
	e.cancel()
	<-e.loop.Done()
	for _, p := range []pond.Pool{e.orders, e.polls, e.store, e.forwards} {
		p.StopAndWait()
	}
}

// HandOver releases the ownership of the jobs to another entry. It returns when the
// release is stored, or with the context's error.
func (e *Entry) HandOver(ctx context.Context) error {
	e.post(event.JobsStopRequested{})
	select {
	case <-e.handedOver:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ready reports whether the load balancer may send clients to this entry.
func (e *Entry) Ready() bool { return e.ready.Load() }

// Call carries out a client's call, or a call that another entry forwarded.
func (e *Entry) Call(ctx context.Context, c event.ClientCalled) (effect.CallAnswer, error) {
	ctx, span := e.tracer.Start(ctx, "call")
	defer span.End()
	a, err := e.calls.Do(ctx, func(id uint64) error {
		c.Call, c.Received = id, e.deps.Clock()
		return e.loop.Post(c)
	})
	if err != nil {
		e.post(event.ClientGone{Call: c.Call})
	}
	return a, err
}

// post queues an event. It fails only after the loop has ended; the event is not
// needed then.
func (e *Entry) post(b event.Body) { _ = e.loop.Post(b) }
