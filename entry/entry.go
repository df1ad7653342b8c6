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
	// DefaultClaimAppendsPerSecond keeps nine entries under 300 appends a second.
	DefaultClaimAppendsPerSecond = 30
	// logWorkers is the number of goroutines that read and append.
	logWorkers = 16
	// peerWorkers is the number of peers that are written to at once, and
	// peerQueue the number that wait for their turn.
	peerWorkers = 32
	peerQueue   = 4096
)

// Config holds the settings of an entry instance.
type Config struct {
	ID         fleet.EntryID
	DataCentre fleet.DataCentre
	// PeerAddress is where other entries reach this one; empty leaves them to
	// the platform's list.
	PeerAddress string
	// Incarnation grows with each start of the entry; zero takes the start time.
	Incarnation uint64
	// Seed feeds random choices; zero takes the start time.
	Seed uint64
	// MaxRequests bounds the requests held at once.
	MaxRequests int
	// MaxEndpointCalls is the number of endpoint calls at once.
	MaxEndpointCalls int
	// ClaimAppendsPerSecond is the number of groups of claims that the entry appends to
	// the log in a second.
	ClaimAppendsPerSecond int
	// Placement says who grants slots; empty means reduce.PlacementHolder.
	Placement reduce.Placement
	// SnapshotInterval is the time between snapshots of the control stream;
	// zero means reduce.DefaultSnapshotInterval.
	SnapshotInterval time.Duration
	// OperatorToken is the bearer token of operators; empty allows anyone who
	// reaches the operators' listener.
	OperatorToken string
	// PeersTLS secures messages to other entries; nil means no TLS.
	PeersTLS *tls.Config
}

// Deps are the outside systems that an entry uses.
type Deps struct {
	Log infra.Log
	// Instances is the platform's list; nil leaves the entry without peers.
	Instances infra.InstanceLister
	// InstanceCommander is the platform's worker control; nil leaves drained instances
	// without their stop or reboot.
	InstanceCommander infra.InstanceCommander
	Metrics           tally.Scope
	Logger            *slog.Logger
	Traces            trace.TracerProvider
	// Tap sees every event with its effects and returns the effects to carry
	// out. Tests record runs and seed faults with it; nil passes effects on.
	Tap Tap
}

// Tap is called on the control goroutine and must not block. The slice is valid
// only during the call.
type Tap func(event.Event, []effect.Effect) []effect.Effect

// Entry is one entry instance.
type Entry struct {
	cfg   Config
	deps  Deps
	loop  *loop.Loop[event.Body, effect.Effect]
	clock func() time.Time
	// name is unique over all entries and their restarts.
	name      string
	exchanges *exchanges
	replies   *loop.Calls[control.Result]
	statuses  *loop.Calls[effect.Status]
	texts     *loop.Calls[effect.ReplyText]
	forecasts *loop.Calls[effect.Forecast]
	client    *endpoint.Client
	tracer    trace.Tracer
	metrics   *metrics
	traffic   *workers
	logPool   pond.Pool
	peerPool  pond.Pool
	peers     *peer.Client
	reader    *reader
	claims    *reader
	answers   *answers
	ready     atomic.Bool
	// claimsOpen tells whether non-idempotent requests are taken.
	claimsOpen atomic.Bool
	// listWanted asks for a look at the platform's list before it is due.
	listWanted chan struct{}
	stopped    chan struct{}
	stopOnce   sync.Once
	// background is cancelled when Run ends.
	background context.Context
	end        context.CancelFunc
}

// New returns an entry that serves nothing until Run.
func New(cfg Config, deps Deps) *Entry {
	cfg, deps = withDefaults(cfg, deps)
	background, end := context.WithCancel(context.Background())
	e := &Entry{
		cfg:        cfg,
		deps:       deps,
		clock:      loop.MonotonicClock(),
		name:       string(cfg.ID) + "-" + strconv.FormatUint(cfg.Incarnation, 36),
		exchanges:  newExchanges(),
		answers:    newAnswers(),
		replies:    loop.NewCalls[control.Result](),
		statuses:   loop.NewCalls[effect.Status](),
		texts:      loop.NewCalls[effect.ReplyText](),
		forecasts:  loop.NewCalls[effect.Forecast](),
		client:     endpoint.NewClient(fleet.DefaultConnections),
		tracer:     deps.Traces.Tracer("github.com/banyanrail/banyanrail/entry"),
		metrics:    newMetrics(deps.Metrics),
		traffic:    newWorkers(cfg.MaxEndpointCalls),
		logPool:    pond.NewPool(logWorkers),
		peerPool:   pond.NewPool(peerWorkers, pond.WithQueueSize(peerQueue), pond.WithNonBlocking(true)),
		stopped:    make(chan struct{}),
		listWanted: make(chan struct{}, 1),
		background: background,
		end:        end,
	}
	e.reader = newControlReader(e)
	e.claims = newClaimsReader(e)
	e.peers = e.newPeerClient()
	state := reduce.New(reduce.Config{
		Entry:       cfg.ID,
		DataCentre:  cfg.DataCentre,
		Seed:        cfg.Seed,
		Incarnation: cfg.Incarnation,
		// One group an interval is the entry's share of the log's appends.
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

// Run serves until the context ends. It cuts off what is still in flight; call
// Stop before for a graceful shutdown.
func (e *Entry) Run(ctx context.Context) {
	go e.loop.Run(e.background)
	_ = e.loop.Post(event.Started{}) // fails only after the end
	if e.deps.Instances != nil {
		go e.followList()
	} else {
		alone := event.EntriesListed{Entries: []event.ListedEntry{{ID: e.cfg.ID}}}
		_ = e.loop.Post(alone) // fails only after the end
	}
	<-ctx.Done()
	e.end()
	<-e.loop.Done()
	e.traffic.Stop()
	e.logPool.StopAndWait()
	e.peerPool.StopAndWait()
	e.peers.Close()
	e.client.Close()
}

// Stop takes no new request, finishes those in flight and returns. It returns
// early with the context's error.
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

// Ready reports whether the balancer may send requests here.
func (e *Entry) Ready() bool { return e.ready.Load() }

func timerOf(out effect.Effect) (time.Time, bool) {
	t, ok := out.(effect.SetTimer)
	return t.At, ok
}
