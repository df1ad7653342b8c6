package entry

import (
	"context"
	"crypto/tls"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/banyanrail/banyanrail/endpoint"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/infra"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/peer"
	"github.com/banyanrail/banyanrail/reduce"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Defaults of Config.
const (
	DefaultMaxRequests      = 10_000
	DefaultMaxEndpointCalls = 1024
	// DefaultClaimAppendsPerSecond keeps nine entries below 300 appends per second.
	DefaultClaimAppendsPerSecond = 30
	// logWorkers is the number of goroutines that read from and append to the log.
	logWorkers = 16
	// peerWorkers is the number of goroutines that send to peers, one peer each.
	// peerQueue is the number of peers that wait for a goroutine.
	peerWorkers = 32
	peerQueue   = 4096
)

// Config holds the settings of an entry instance.
type Config struct {
	ID         fleet.EntryID
	DataCentre fleet.DataCentre
	// PeerAddress is the address at which other entries reach this one. If it is
	// empty, they use the address in the platform's list.
	PeerAddress string
	// Incarnation is higher at each start of the entry; zero means the start time.
	Incarnation uint64
	// Seed is the seed of random choices; zero means the start time.
	Seed uint64
	// MaxRequests is the limit for requests in the entry, queued or in flight.
	MaxRequests int
	// MaxEndpointCalls is the limit for concurrent endpoint calls.
	MaxEndpointCalls int
	// ClaimAppendsPerSecond is the number of groups of claims that the entry
	// appends to the log per second.
	ClaimAppendsPerSecond int
	// Placement selects who grants slots; empty means reduce.PlacementHolder.
	Placement reduce.Placement
	// SnapshotInterval is the time between snapshots of the control stream;
	// zero means reduce.DefaultSnapshotInterval.
	SnapshotInterval time.Duration
	// OperatorToken is the bearer token of operators. If it is empty, requests to
	// the operators' interface are not authenticated.
	OperatorToken string
	// PeersTLS secures messages to other entries; nil means no TLS.
	PeersTLS *tls.Config
}

// Deps holds the external systems that an entry uses.
type Deps struct {
	Log infra.Log
	// Instances is the platform's list of instances. If it is nil, the entry has
	// no peers.
	Instances infra.InstanceLister
	// InstanceCommander is the platform's instance control. If it is nil, drained
	// instances are not stopped or rebooted.
	InstanceCommander infra.InstanceCommander
	Metrics           tally.Scope
	Logger            *slog.Logger
	Traces            trace.TracerProvider
	// Tap receives every event with its effects and returns the effects to carry
	// out. Tests use it to record runs and to inject faults; nil changes nothing.
	Tap Tap
}

// Tap inspects or replaces the effects of an event. It is called on the control
// goroutine and must not block. The slice of effects is valid only during the
// call.
type Tap func(event.Event, []effect.Effect) []effect.Effect

// Entry is one entry instance.
type Entry struct {
	cfg   Config
	deps  Deps
	loop  *loop.Loop[event.Body, effect.Effect]
	clock func() time.Time
	// name is unique among all entries and across their restarts.
	name           string
	exchanges      *exchanges
	commandResults *loop.Calls[control.Result]
	statuses       *loop.Calls[effect.Status]
	texts          *loop.Calls[effect.ReplyText]
	forecasts      *loop.Calls[effect.Forecast]
	client         *endpoint.Client
	tracer         trace.Tracer
	metrics        *metrics
	trafficPool    *workerPool
	logPool        pond.Pool
	peerPool       pond.Pool
	peers          *peer.Client
	controlReader  *streamReader
	claimsReader   *streamReader
	answerCache    *answerCache
	ready          atomic.Bool
	// claimsOpen is set while non-idempotent requests are accepted.
	claimsOpen atomic.Bool
	// listRequested holds a token if the platform's list has to be read before
	// the end of listInterval.
	listRequested chan struct{}
	stopped       chan struct{}
	stopOnce      sync.Once
	// background is the context of all drivers, cancelled when Run ends.
	background       context.Context
	cancelBackground context.CancelFunc
}

// New returns an entry. It processes requests only while Run is running.
func New(cfg Config, deps Deps) *Entry {
	cfg, deps = withDefaults(cfg, deps)
	background, end := context.WithCancel(context.Background())
	e := &Entry{
		cfg:              cfg,
		deps:             deps,
		clock:            loop.MonotonicClock(),
		name:             string(cfg.ID) + "-" + strconv.FormatUint(cfg.Incarnation, 36),
		exchanges:        newExchanges(),
		answerCache:      newAnswerCache(),
		commandResults:   loop.NewCalls[control.Result](),
		statuses:         loop.NewCalls[effect.Status](),
		texts:            loop.NewCalls[effect.ReplyText](),
		forecasts:        loop.NewCalls[effect.Forecast](),
		client:           endpoint.NewClient(fleet.DefaultConnections),
		tracer:           deps.Traces.Tracer("github.com/banyanrail/banyanrail/entry"),
		metrics:          newMetrics(deps.Metrics),
		trafficPool:      newWorkerPool(cfg.MaxEndpointCalls),
		logPool:          pond.NewPool(logWorkers),
		peerPool:         pond.NewPool(peerWorkers, pond.WithQueueSize(peerQueue), pond.WithNonBlocking(true)),
		stopped:          make(chan struct{}),
		listRequested:    make(chan struct{}, 1),
		background:       background,
		cancelBackground: end,
	}
	e.controlReader = newControlReader(e)
	e.claimsReader = newClaimsReader(e)
	e.peers = e.newPeerClient()
	state := reduce.New(reduce.Config{
		Entry:       cfg.ID,
		DataCentre:  cfg.DataCentre,
		Seed:        cfg.Seed,
		Incarnation: cfg.Incarnation,
		// One group per interval is this entry's share of the log's append rate.
		ClaimInterval:    time.Second / time.Duration(cfg.ClaimAppendsPerSecond),
		MaxRequests:      cfg.MaxRequests,
		Placement:        cfg.Placement,
		SnapshotInterval: cfg.SnapshotInterval,
	})
	e.loop = loop.New(loop.Config[event.Body, effect.Effect]{
		Reduce: func(now time.Time, body event.Body) []effect.Effect {
			ev := event.Event{Now: now, Body: body}
			return deps.Tap(ev, reduce.Reduce(state, ev))
		},
		Act:   e.act,
		Timer: timerOf,
		Wake:  event.TimerFired{},
		Clock: e.clock,
	})
	return e
}

func withDefaults(cfg Config, deps Deps) (Config, Deps) {
	if cfg.MaxRequests == 0 {
		cfg.MaxRequests = DefaultMaxRequests
	}
	if cfg.MaxEndpointCalls == 0 {
		cfg.MaxEndpointCalls = DefaultMaxEndpointCalls
	}
	if cfg.ClaimAppendsPerSecond == 0 {
		cfg.ClaimAppendsPerSecond = DefaultClaimAppendsPerSecond
	}
	if cfg.Placement == "" {
		cfg.Placement = reduce.PlacementHolder
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixNano())
	}
	if cfg.Seed == 0 {
		cfg.Seed = uint64(time.Now().UnixNano())
	}
	if deps.Metrics == nil {
		deps.Metrics = tally.NoopScope
	}
	if deps.Logger == nil {
		deps.Logger = slog.New(slog.DiscardHandler)
	}
	if deps.Tap == nil {
		deps.Tap = func(_ event.Event, out []effect.Effect) []effect.Effect { return out }
	}
	if deps.Traces == nil {
		deps.Traces = noop.NewTracerProvider()
	}
	return cfg, deps
}

// Run processes requests until the context ends. It then aborts requests that
// are still in flight; call Stop first for a graceful shutdown.
func (e *Entry) Run(ctx context.Context) {
	go e.loop.Run(e.background)
	_ = e.loop.Post(event.Started{}) // fails only once the loop has ended
	if e.deps.Instances != nil {
		go e.followList()
	} else {
		alone := event.EntriesListed{Entries: []event.ListedEntry{{ID: e.cfg.ID}}}
		_ = e.loop.Post(alone) // fails only once the loop has ended
	}
	<-ctx.Done()
	e.cancelBackground()
	<-e.loop.Done()
	e.trafficPool.Stop()
	e.logPool.StopAndWait()
	e.peerPool.StopAndWait()
	e.peers.Close()
	e.client.Close()
}

// Stop rejects new requests and returns when those in flight have ended. If the
// context ends first, Stop returns the context's error.
func (e *Entry) Stop(ctx context.Context) error {
	if err := e.loop.Post(event.StopRequested{}); err != nil {
		return err
	}
	select {
	case <-e.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ready reports whether load balancers may send requests to this entry.
func (e *Entry) Ready() bool { return e.ready.Load() }

func timerOf(out effect.Effect) (time.Time, bool) {
	t, ok := out.(effect.SetTimer)
	return t.At, ok
}
