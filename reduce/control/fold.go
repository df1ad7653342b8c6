package control

import (
	"fmt"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// State is the fold of the control stream up to Offset.
type State struct {
	// Offset is the offset of the last record folded.
	Offset fleet.Offset
	// Version and Text are the version in force and its services text.
	Version fleet.Version
	Text    *fleet.Text
	// Pools holds the pool of each instance.
	Pools map[fleet.InstanceID]fleet.PoolName

	// Drains holds the maintenance state of instances.
	Drains Drains
	Waves  Waves
	// Rehearsals holds the rehearsal under way and the last ones that ended.
	Rehearsals Rehearsals
	// Moves counts the moves between pools since the first record.
	Moves uint64

	// LastSnapshot is the newest snapshot in the stream.
	LastSnapshot SnapshotInfo

	seen history
	// outOfService holds the instances that are not in service, in order.
	outOfService []fleet.InstanceID
	// itemsDigest is the part of the digest that is updated incrementally: the
	// sum of the hashes of the text's items and of the instances' pools.
	itemsDigest uint64
	// changed is the change made by the record being folded.
	changed *fleet.Delta
	// time is the time of the record being folded, by its author's clock.
	time time.Time
}

// New returns the fold of the empty stream.
func New() *State {
	return &State{
		Pools:  make(map[fleet.InstanceID]fleet.PoolName),
		Drains: make(Drains),
		seen:   newHistory(),
	}
}

// Apply folds the record at an offset and returns its result. Records at or
// below State.Offset were folded before and are ignored as duplicates. Records
// after a gap are not folded.
func (s *State) Apply(p Positioned) Result {
	res := Result{Record: p.Record.ID, Offset: p.Offset}
	s.changed = nil
	res.Outcome, res.Detail = s.fold(p)
	res.Change = s.changed
	res.Version = s.Version
	return res
}

func (s *State) fold(p Positioned) (Outcome, string) {
	switch {
	case p.Offset <= s.Offset:
		return Duplicate, ""
	case p.Offset > s.Offset+1:
		return Gap, fmt.Sprintf("the record at offset %d is missing", s.Offset+1)
	}
	s.Offset, s.time = p.Offset, p.Record.Time
	if s.LastSnapshot.Time.IsZero() {
		s.LastSnapshot.Time = p.Record.Time
	}
	if earlier, dup := s.seen.get(p.Record.ID); dup {
		return earlier, ""
	}
	s.seen.add(p.Record.ID, Duplicate)
	return s.apply(p)
}

func (s *State) apply(p Positioned) (Outcome, string) {
	switch body := p.Record.Body.(type) {
	case Publish:
		return s.publish(p.Offset, body)
	case Void:
		return s.void(body)
	case Snapshot:
		return s.noteSnapshot(p, body)
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
	switch {
	case p.Delta != nil && s.Text != nil:
		s.setText(at, s.Text.With(p.Delta), p.Delta)
	case p.Text != nil:
		s.setText(at, p.Text, fleet.Compare(s.textOrEmpty(), p.Text))
	default:
		return Invalid, "the record holds no text"
	}
	return Accepted, ""
}

// textOrEmpty returns the text in force; an empty one before the first.
func (s *State) textOrEmpty() *fleet.Text {
	if s.Text == nil {
		return &fleet.Text{}
	}
	return s.Text
}

// setText brings a text into force. An instance whose pool in the text is
// unchanged stays in the pool that a recorded move put it into; the others are
// placed as the text says.
func (s *State) setText(at fleet.Offset, next *fleet.Text, d *fleet.Delta) {
	replaced := s.textOrEmpty().Replaced(d)
	s.itemsDigest += digestItems(changedItems(d)) - digestItems(replaced)
	before := make(map[fleet.InstanceID]fleet.PoolName, len(replaced.Instances))
	for i := range replaced.Instances {
		before[replaced.Instances[i].ID] = replaced.Instances[i].Pool
	}
	for _, id := range d.RemovedInstances {
		s.removePool(id)
	}
	for i := range d.Instances {
		in := &d.Instances[i]
		if pool, known := before[in.ID]; !known || pool != in.Pool {
			s.setPool(in.ID, in.Pool)
		}
	}
	s.Version, s.Text = at, next
	s.changed = s.withPresentPools(d)
	s.pruneWaves()
	s.pruneRehearsal(at)
}

// void cancels a record that has not been folded yet.
func (s *State) void(v Void) (Outcome, string) {
	if _, known := s.seen.get(v.Record); known {
		return Conflict, "the record was folded before its void"
	}
	s.seen.add(v.Record, Voided)
	return Accepted, ""
}
