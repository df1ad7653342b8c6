// Package jobs makes the decisions about jobs: which entry owns them, in which
// order state is stored and acted on, where tasks run, and when instances are
// moved or maintained. It is a part of the reducer: Step folds one event into the
// state and emits effects.
//
// The entry that holds the tenure owns all jobs. The other entries forward
// clients' calls to the owner. See docs/design/jobs.md.
package jobs

import (
	"math"
	"strconv"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/access"
	"github.com/banyanrail/banyanrail/reduce/admission"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/shares"
	"github.com/banyanrail/banyanrail/reduce/tenure"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

// Config is the configuration of the job side of an entry.
type Config struct {
	Entry       fleet.EntryID
	Incarnation uint64
	// Address is the address at which this entry accepts calls of other entries.
	Address string
	// ClaimDelay delays the entry's claims of the tenure, so that entries with more
	// resources claim it first.
	ClaimDelay time.Duration
	// CanDispatch is set when the entry may carry out another owner's calls to
	// runners.
	CanDispatch bool
	// MaxDirectRunners is the number of runners up to which an owner sends all
	// calls to runners itself, without dispatchers.
	MaxDirectRunners int
	// LearnRunTimes is set when expected run times are learned from runs that have ended,
	// rather than taken from clients' estimates.
	LearnRunTimes bool
	// MaxJobBytes bounds the memory that jobs that have not ended take at an owner, in
	// bytes; zero means no bound.
	MaxJobBytes int64
	Bounds      Bounds
	// Audit, if set, is called after each event. Tests check the state by it.
	Audit func(*State)
}

// Bounds are limits and features of the platform on which decisions depend.
type Bounds struct {
	// InstanceLease is the time after an order about an instance in which the
	// platform rejects orders of another holder.
	InstanceLease time.Duration
	// MaxLease is the longest lease that a runner grants, whatever deadline a call
	// names; at least the lease that owners grant.
	MaxLease time.Duration
	// MaintenanceTime is how long an instance is down for its maintenance.
	MaintenanceTime time.Duration
	// StatusRetention is how long a job's final state has to be available to
	// clients.
	StatusRetention time.Duration
	// RecordBytes and CallBytes are the sizes of the largest record and of the largest
	// append that the store takes, in bytes; zero means no limit.
	RecordBytes, CallBytes int
	// InstanceOrdersPerSecond is the rate limit for orders about instances.
	InstanceOrdersPerSecond float64
	// CanOrderInstances is set when the platform accepts orders about instances.
	CanOrderInstances bool
	// HasAdvice is set when there is an advice service.
	HasAdvice bool
	// Access is what the deployment requires of callers' keys.
	Access access.Config
}

// State is the control state of the job side. Only Step and Tick change it.
type State struct {
	cfg    Config
	now    time.Time
	out    []effect.Effect
	tenure *tenure.State
	queues *fleet.Queues
	access *access.Checker
	// denials bounds the log lines about calls with unknown keys.
	denials denials
	waves   map[int64]*fleet.MaintenanceWave
	// waveSeenAt is when this process first read each wave.
	waveSeenAt map[int64]time.Time
	calls      map[uint64]*call
	// callBytes is the size of the jobs in calls, and callTimers holds the deadlines
	// of the calls.
	callBytes  int
	callTimers timer.Heap
	// limiter limits the calls in flight to the owner, and lag is how long events wait
	// for their turn.
	limiter *admission.Limiter
	lag     admission.Lag
	// pendingCalls holds the calls that wait for an owner or a configuration.
	pendingCalls []*call
	// ownership is set while this entry holds the tenure.
	ownership *ownership
	// tenureUnreadable is set while the tenure log cannot be read. It keeps the
	// failure from being logged for each read.
	tenureUnreadable bool
	stopping         bool
	stopRequestedAt  time.Time
	handedOver       bool
	// lastReady is the readiness last reported to the load balancer.
	lastReady bool
	// dispatchers are the entries that offer to carry out calls to runners.
	dispatchers []dispatcher
	// dispatchOffer is this entry's current offer to carry out the calls of
	// another owner.
	dispatchOffer effect.DispatchFor
	// unreachableEpoch is the epoch of an owner that did not serve the last call
	// forwarded to it; zero when the last call was served.
	unreachableEpoch int64
	// tenantLabels are the names of tenants in counters.
	tenantLabels shares.Labels
	// gauges holds the gauges as they were last set.
	gauges []effect.SetJobGauge
}

// New returns the state of an entry that has seen no event.
func New(cfg Config) *State {
	if cfg.Bounds.RecordBytes == 0 {
		cfg.Bounds.RecordBytes = math.MaxInt
	}
	if cfg.Bounds.CallBytes == 0 {
		cfg.Bounds.CallBytes = math.MaxInt
	}
	cfg.Bounds.MaxLease = max(cfg.Bounds.MaxLease, leaseDuration)
	return &State{
		cfg:        cfg,
		tenure:     tenure.New(cfg.Entry, cfg.Incarnation, cfg.Address, cfg.ClaimDelay),
		waves:      make(map[int64]*fleet.MaintenanceWave),
		waveSeenAt: make(map[int64]time.Time),
		calls:      make(map[uint64]*call),
		limiter:    admission.NewLimiter(),
		access:     access.New(cfg.Bounds.Access),
	}
}

const (
	// ownerTick and followerTick are the intervals between checks of what is due.
	// They are short enough for the owner's retries after 50 ms, and long enough
	// to keep the CPU use of an idle entry negligible. idleTick is the interval at an
	// entry whose claims come last and at which no call waits.
	ownerTick    = 25 * time.Millisecond
	followerTick = 100 * time.Millisecond
	idleTick     = 500 * time.Millisecond
)

// TickInterval returns the time until the next Tick.
func (s *State) TickInterval() time.Duration {
	switch {
	case s.ownership != nil:
		return ownerTick
	case s.cfg.ClaimDelay == 0 || len(s.calls) > 0:
		return followerTick
	default:
		return idleTick
	}
}

// Step folds one event and returns out with the effects added.
func (s *State) Step(now time.Time, body event.Job, out []effect.Effect) []effect.Effect {
	s.now, s.out = now, out
	switch b := body.(type) {
	case event.JobsStarted:
		s.emit(effect.FollowStore{})
	case event.TenureRead:
		s.onTenureRead(b)
	case event.TenureReadFailed:
		s.onTenureReadFailed(b)
	case event.TenureAppended:
		s.onTenureAppended(b)
	case event.QueuesRead:
		s.onQueuesRead(b)
	case event.QueuesConfirmed:
		s.onQueuesConfirmed(b)
	case event.QueuesReadFailed:
		s.emit(effect.Decision{Name: "configuration not readable", Warning: true, Reason: effect.Reason(b.Reason)})
	case event.WavesRead:
		s.onWavesRead(b)
	case event.ClientCalled:
		s.onClientCalled(b)
	case event.ClientGone:
		s.onClientGone(b)
	case event.ForwardFinished:
		s.onForwardFinished(b)
	case event.JobsStopRequested:
		s.onStopRequested()
	case event.DispatcherJoined:
		s.onDispatcherJoined(b)
	case event.DispatcherLeft:
		s.onDispatcherLeft(b)
	default:
		s.stepOwnership(body)
	}
	s.afterEvent()
	return s.out
}

// stepOwnership handles the events that concern only the owner. Events of an
// earlier tenure are dropped.
func (s *State) stepOwnership(body event.Job) {
	o := s.ownership
	if o == nil {
		return
	}
	switch b := body.(type) {
	case event.LedgerFenced:
		o.ifCurrent(b.Epoch, func() { o.onLedgerFenced(b) })
	case event.LedgerLoaded:
		o.ifCurrent(b.Epoch, func() { o.onLedgerLoaded(b) })
	case event.LedgerAppended:
		o.ifCurrent(b.Epoch, func() { o.onLedgerAppended(b) })
	case event.RunnersRead:
		o.ifCurrent(b.Epoch, func() { o.onRunnersRead(b) })
	case event.RunnersReadFailed:
		o.ifCurrent(b.Epoch, func() { o.onRunnersReadFailed(b) })
	case event.TaskOrdered:
		o.ifCurrent(b.Epoch, func() { o.onTaskOrdered(b) })
	case event.RunnerPolled:
		o.ifCurrent(b.Epoch, func() { o.onRunnerPolled(b) })
	case event.InstancesRead:
		o.ifCurrent(b.Epoch, func() { o.onInstancesRead(b) })
	case event.InstanceOrdered:
		o.ifCurrent(b.Epoch, func() { o.onInstanceOrdered(b) })
	case event.AdviceReceived:
		o.ifCurrent(b.Epoch, func() { o.onAdviceReceived(b) })
	case event.StatusWritten:
		o.ifCurrent(b.Epoch, func() { o.onStatusWritten(b) })
	}
}

// Tick carries out what has become due and returns out with the effects added.
func (s *State) Tick(now time.Time, out []effect.Effect) []effect.Effect {
	s.now, s.out = now, out
	s.expireCalls()
	if s.ownership != nil {
		s.ownership.tick()
	}
	s.afterEvent()
	return s.out
}

// afterEvent runs after every event. It appends to the tenure log if a record is
// due, places tasks, stores changes and reports a change of readiness.
func (s *State) afterEvent() {
	s.appendTenureIfDue()
	if s.ownership != nil {
		s.ownership.place()
		s.ownership.flush()
		s.ownership.armTouched()
	}
	s.routePending()
	s.offerDispatch()
	if ready := s.isReady(); ready != s.lastReady {
		s.lastReady = ready
		s.emit(effect.SetReady{Ready: ready})
		s.logDecision(effect.Decision{Name: "readiness", Outcome: strconv.FormatBool(ready), Epoch: s.tenure.Newest().Epoch})
	}
	if s.cfg.Audit != nil {
		s.cfg.Audit(s)
	}
}

func (s *State) emit(e effect.Effect) { s.out = append(s.out, e) }

// logDecision emits a log line.
func (s *State) logDecision(d effect.Decision) { s.emit(d) }

func (s *State) count(name string, reason effect.Reason) {
	s.emit(effect.CountJob{Name: name, Reason: reason, N: 1})
}

func (s *State) onQueuesRead(b event.QueuesRead) {
	if s.queues != nil && b.Queues.Version <= s.queues.Version {
		return
	}
	s.queues = b.Queues
	s.logDecision(effect.Decision{Name: "configuration in force", Version: b.Queues.Version, Count: len(b.Queues.ByName)})
	s.logKeys()
	if s.ownership != nil {
		s.ownership.onQueuesChanged()
	}
}

func (s *State) onWavesRead(b event.WavesRead) {
	for i := range b.Waves {
		w := &b.Waves[i]
		if _, ok := s.waves[w.ID]; ok {
			continue
		}
		s.waves[w.ID] = w
		s.waveSeenAt[w.ID] = s.now
		s.logDecision(effect.Decision{Name: "wave asked for", Version: w.ID, Count: len(w.Instances)})
	}
}

func (s *State) onStopRequested() {
	if s.stopping {
		return
	}
	s.stopping, s.stopRequestedAt = true, s.now
	s.tenure.Stop()
	for _, c := range s.callsByAge() {
		s.callTimers.Set(&c.timer, s.callDue(c), c)
	}
	s.logDecision(effect.Decision{Name: "stopping", Entry: s.cfg.Entry})
}

// isReady reports whether the load balancer may send clients to this entry: it has
// a configuration, and either owns the jobs or can forward calls to the owner. Either it or an
// owner that it reaches can decide about keys.
func (s *State) isReady() bool {
	if s.queues == nil || s.stopping {
		return false
	}
	decides := s.access.MayAllow(s.now, &s.queues.Tenants)
	if s.ownership != nil {
		return s.ownership.phase == phaseActive && s.tenure.Valid(s.now) && decides
	}
	newest := s.tenure.Newest()
	reachable := newest.Owner != s.cfg.Entry && newest.Epoch != s.unreachableEpoch
	return newest.Epoch > 0 && !newest.Released && !s.isCutOff() && (decides || reachable)
}

// isCutOff reports whether this entry cannot tell who owns the jobs: the tenure log is
// not readable, and the owner that it last named does not answer or is an earlier
// incarnation of this entry.
func (s *State) isCutOff() bool {
	newest := s.tenure.Newest()
	return s.ownership == nil && s.tenure.ReadFailing() && (newest.Owner == s.cfg.Entry || newest.Epoch == s.unreachableEpoch)
}
