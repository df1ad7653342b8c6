package reduce

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/drains"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/peers"
	"github.com/banyanrail/banyanrail/reduce/placement"
	"github.com/banyanrail/banyanrail/reduce/requests"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

// Config is what an entry knows before its first event.
type Config struct {
	Entry      fleet.EntryID
	DataCentre fleet.DataCentre
	// Seed feeds the state's own random choices.
	Seed uint64
	// MaxRequests bounds the requests held at once.
	MaxRequests int
}

// State is the whole control state of an entry. Only Reduce changes it.
type State struct {
	cfg       Config
	now       time.Time
	control   *control.State
	requests  *requests.Table
	placement *placement.State
	peers     *peers.State
	drains    *drains.State
	proposals proposals
	timers    timer.Heap
	logDown   bool
	ready     bool
	stopping  bool
	stopped   bool
	totals    totals
	// armed is the time of the last SetTimer effect.
	armed time.Time
	out   []effect.Effect
}

// New returns the state of an entry that has seen no event.
func New(cfg Config) *State {
	return &State{
		cfg:       cfg,
		control:   control.New(),
		requests:  requests.New(),
		placement: placement.New(cfg.Seed),
		peers:     peers.New(cfg.Entry),
		drains:    drains.New(),
		proposals: newProposals(),
	}
}

type totals struct {
	answered, refused, retried, late uint64
}

func (s *State) emit(e effect.Effect) { s.out = append(s.out, e) }
