package control

import (
	"fmt"

	"github.com/banyanrail/banyanrail/fleet"
)

// maxRemembered bounds the record ids kept to recognise duplicates.
const maxRemembered = 4096

// State is the fold of the control stream up to Offset.
type State struct {
	// Offset is the offset of the last record folded.
	Offset fleet.Offset
	// Version and Text are the services text in force.
	Version fleet.Version
	Text    *fleet.Text
	Source  string
	// Pools holds the one pool that each instance is in.
	Pools map[fleet.InstanceID]fleet.PoolName
	// Drains holds the maintenance of instances, and Waves the waves.
	Drains Drains
	Waves  Waves
	// Moves counts the moves between pools.
	Moves uint64

	seen     map[fleet.RecordID]struct{}
	seenRing []fleet.RecordID
	seenNext int
}

// New returns the fold of the empty stream.
func New() *State {
	return &State{
		Pools:  make(map[fleet.InstanceID]fleet.PoolName),
		Drains: make(Drains),
		seen:   make(map[fleet.RecordID]struct{}),
	}
}

// Apply folds the record at an offset and says what became of it. Records at
// or below State.Offset were folded before and are passed over as duplicates.
func (s *State) Apply(p Positioned) Result {
	res := Result{Record: p.Record.ID, Offset: p.Offset}
	if p.Offset <= s.Offset {
		res.Outcome = Duplicate
		res.Version = s.Version
		return res
	}
	s.Offset = p.Offset
	if _, dup := s.seen[p.Record.ID]; dup {
		res.Outcome = Duplicate
		res.Version = s.Version
		return res
	}
	s.remember(p.Record.ID)
	res.Outcome, res.Detail = s.apply(p)
	res.Version = s.Version
	return res
}

func (s *State) apply(p Positioned) (Outcome, string) {
	switch body := p.Record.Body.(type) {
	case Publish:
		return s.publish(p.Offset, body)
	case Unreadable:
		return Invalid, fmt.Sprintf("the record could not be read: %v", body.Err)
	default:
		return s.applyMaintenance(p.Offset, body)
	}
}

func (s *State) publish(at fleet.Offset, p Publish) (Outcome, string) {
	if p.Base != s.Version {
		return Conflict, fmt.Sprintf("based on version %d, but version %d is in force", p.Base, s.Version)
	}
	if p.Text == nil {
		return Invalid, "the record holds no text"
	}
	s.place(p.Text)
	s.Version, s.Text, s.Source = at, p.Text, p.Source
	s.pruneWaves()
	return Accepted, ""
}

// place keeps recorded moves for instances whose place in the text is the same
// as before, and follows the text for the others.
func (s *State) place(next *fleet.Text) {
	before := make(map[fleet.InstanceID]fleet.PoolName)
	if s.Text != nil {
		for _, in := range s.Text.Instances {
			before[in.ID] = in.Pool
		}
	}
	pools := make(map[fleet.InstanceID]fleet.PoolName, len(next.Instances))
	for _, in := range next.Instances {
		pools[in.ID] = in.Pool
		current, known := s.Pools[in.ID]
		if known && before[in.ID] == in.Pool {
			pools[in.ID] = current
		}
	}
	s.Pools = pools
}

func (s *State) remember(id fleet.RecordID) {
	s.seen[id] = struct{}{}
	if len(s.seenRing) < maxRemembered {
		s.seenRing = append(s.seenRing, id)
		return
	}
	delete(s.seen, s.seenRing[s.seenNext])
	s.seenRing[s.seenNext] = id
	s.seenNext = (s.seenNext + 1) % maxRemembered
}
