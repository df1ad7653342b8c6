package reduce

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/drains"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/health"
	"github.com/banyanrail/banyanrail/reduce/holder"
	"github.com/banyanrail/banyanrail/reduce/jobs"
	"github.com/banyanrail/banyanrail/reduce/measure"
	"github.com/banyanrail/banyanrail/reduce/peers"
	"github.com/banyanrail/banyanrail/reduce/placement"
	"github.com/banyanrail/banyanrail/reduce/rehearsal"
	"github.com/banyanrail/banyanrail/reduce/relay"
	"github.com/banyanrail/banyanrail/reduce/requests"
	"github.com/banyanrail/banyanrail/reduce/timer"
	"github.com/banyanrail/banyanrail/reduce/usage"
)

// Config holds the settings of an entry.
type Config struct {
	Entry      fleet.EntryID
	DataCentre fleet.DataCentre
	// Seed seeds the pseudo-random choices of the state.
	Seed uint64
	// Incarnation distinguishes the starts of an entry and makes its record ids
	// unique.
	Incarnation uint64
	// ClaimInterval is the minimum time between two groups of claims; zero
	// means DefaultClaimInterval.
	ClaimInterval time.Duration
	// MaxRequests limits the requests that the entry holds at once.
	MaxRequests int
	// Placement selects which entry grants slots; empty means PlacementLocal.
	Placement Placement
	// SnapshotInterval is the time between snapshots of the control stream;
	// zero means DefaultSnapshotInterval.
	SnapshotInterval time.Duration
	// Jobs makes the entry manage jobs instead of serving requests.
	Jobs *jobs.Config
}

// State is the whole control state of an entry. Only Reduce changes it.
type State struct {
	cfg           Config
	now           time.Time
	control       *control.State
	requests      *requests.Table
	placement     *placement.State
	health        *health.State
	retryBudgets  *requests.RetryBudgets
	usage         *usage.State
	usageSchedule usageSchedule
	rehearsal     rehearsal.Watch
	planning      planning
	measures      measure.State
	peers         *peers.State
	claims        *claimState
	drains        *drains.State
	isolation     isolation
	proposals     proposals
	catchUp       catchUp
	relay         relay.State
	holders       *holder.State
	outbox        outbox
	// requestAgain holds the requests whose grants could not be used. They ask
	// for a slot again at the next heartbeat.
	requestAgain []fleet.RequestID
	// scratchPools is a buffer that is kept between events to avoid
	// allocations.
	scratchPools []fleet.PoolName
	// digestValue is the digest of the fold up to digestOffset.
	digestOffset     fleet.Offset
	digestValue      uint64
	timers           timer.Heap
	snapshotSchedule snapshotSchedule
	logDown          bool
	// gap is set while records that the fold needs have expired.
	gap      bool
	ready    bool
	stopping bool
	stopped  bool
	totals   totals
	// wakeAt is the time of the last SetTimer effect, and zero once that timer
	// has fired.
	wakeAt time.Time
	// jobs is set in an entry that manages jobs.
	jobs    *jobManager
	effects []effect.Effect
}

// New returns the state of an entry that has seen no event.
func New(cfg Config) *State {
	if cfg.SnapshotInterval == 0 {
		cfg.SnapshotInterval = DefaultSnapshotInterval
	}
	s := &State{
		cfg:          cfg,
		control:      control.New(),
		requests:     requests.New(),
		placement:    placement.New(cfg.Seed),
		health:       health.New(),
		retryBudgets: requests.NewRetryBudgets(),
		usage:        usage.New(),
		peers:        peers.New(cfg.Entry),
		claims:       newClaimState(cfg),
		drains:       drains.New(),
		planning:     newPlanning(),
		proposals:    newProposals(),
		holders:      holder.New(),
	}
	if cfg.Jobs != nil {
		s.jobs = &jobManager{state: jobs.New(*cfg.Jobs)}
	}
	return s
}

type totals struct {
	answered, refused, retried, late uint64
}

func (s *State) emit(e effect.Effect) { s.effects = append(s.effects, e) }
