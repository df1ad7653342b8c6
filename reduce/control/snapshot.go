package control

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// Snapshot is a copy of the fold up to Offset. It lets an entry start after
// the records before it have expired.
type Snapshot struct {
	// Offset is that of the last record folded into the snapshot.
	Offset  fleet.Offset
	Version fleet.Version
	Text    *fleet.Text
	// Moved holds the instances that are in another pool than Text says.
	Moved map[fleet.InstanceID]fleet.PoolName
	// Drains, Waves and Moves are those of the state.
	Drains Drains
	Waves  Waves
	Moves  uint64
	// Rehearsals are those of the state.
	Rehearsals Rehearsals
	// Seen holds the newest record ids, oldest first.
	Seen []SeenRecord
}

func (Snapshot) isRecord() {}

// SnapshotInfo tells of the newest snapshot in the stream.
type SnapshotInfo struct {
	// Offset is that of the snapshot's record, and Folded that up to which it
	// folds.
	Offset fleet.Offset
	UpTo   fleet.Offset
	// Time is when the snapshot was written. Before the first snapshot it is
	// when the first record was.
	Time time.Time
}

// Snapshot returns a copy of the state.
func (s *State) Snapshot() Snapshot {
	snap := Snapshot{
		Offset:  s.Offset,
		Version: s.Version,
		Text:    s.Text,
		Moved:   make(map[fleet.InstanceID]fleet.PoolName),
		Drains:  maps.Clone(s.Drains),
		Waves:   s.Waves.clone(),
		Moves:   s.Moves,

		Rehearsals: s.Rehearsals.clone(),

		Seen: s.seen.list(),
	}
	if s.Text == nil {
		return snap
	}
	for i := range s.Text.Instances {
		in := &s.Text.Instances[i]
		if pool := s.Pools[in.ID]; pool != in.Pool {
			snap.Moved[in.ID] = pool
		}
	}
	return snap
}

// keep notes a snapshot that was read in its turn; the state holds what it
// says already.
func (s *State) keep(p Positioned, snap Snapshot) (Outcome, string) {
	if snap.Offset >= p.Offset {
		return Invalid, "the snapshot folds records that come after it"
	}
	if snap.Offset <= s.LastSnapshot.UpTo {
		return Conflict, fmt.Sprintf("a snapshot up to %d came before", s.LastSnapshot.UpTo)
	}
	s.LastSnapshot = SnapshotInfo{Offset: p.Offset, UpTo: snap.Offset, Time: p.Record.Time}
	return Accepted, ""
}

// InstallSnapshot replaces the state by a snapshot, when records between State.Offset
// and the oldest that the log keeps are gone, and returns what that changed. It
// returns false, and changes nothing, when the record is no snapshot, is older than the state, or needs
// records that are gone as well.
func (s *State) InstallSnapshot(p Positioned, oldest fleet.Offset) (*fleet.Delta, bool) {
	snap, ok := p.Record.Body.(Snapshot)
	if !ok || snap.Offset <= s.Offset || snap.Version < s.Version {
		return nil, false
	}
	if snap.Offset+1 < oldest || snap.Offset >= p.Offset {
		return nil, false
	}
	next := New()
	next.Offset = snap.Offset
	if snap.Text != nil {
		next.put(snap.Version, snap.Text, fleet.Compare(&fleet.Text{}, snap.Text))
	}
	for id, pool := range snap.Moved {
		next.setPool(id, pool)
	}
	maps.Copy(next.Drains, snap.Drains)
	for id, m := range next.Drains {
		if m.Phase != InService {
			next.under = append(next.under, id)
		}
	}
	slices.Sort(next.under)
	next.Waves, next.Moves = snap.Waves.clone(), snap.Moves
	next.Rehearsals = snap.Rehearsals.clone()
	for _, r := range snap.Seen {
		next.seen.add(r.ID, r.Outcome)
	}
	change := next.since(s)
	*s = *next
	return change, true
}
