package control

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// Snapshot is a copy of the fold up to Offset. An entry can start from it after
// the log has dropped the records before it.
type Snapshot struct {
	// Offset is the offset of the last record folded into the snapshot.
	Offset  fleet.Offset
	Version fleet.Version
	Text    *fleet.Text
	// Moved holds the pool of each instance that is in another pool than the one
	// given by Text.
	Moved map[fleet.InstanceID]fleet.PoolName
	// Drains, Waves, Moves and Rehearsals are copies of the fields of State.
	Drains Drains
	Waves  Waves
	Moves  uint64

	Rehearsals Rehearsals
	// Seen holds the newest record ids, oldest first.
	Seen []SeenRecord
}

func (Snapshot) isRecord() {}

// SnapshotInfo describes the newest snapshot in the stream.
type SnapshotInfo struct {
	// Offset is the offset of the snapshot's record, and UpTo that of the last
	// record folded into the snapshot.
	Offset fleet.Offset
	UpTo   fleet.Offset
	// Time is when the snapshot was written. Before the first snapshot it is
	// when the first record was written.
	Time time.Time
}

// Snapshot returns a snapshot of the state.
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

// noteSnapshot records that the stream holds a snapshot. The snapshot changes
// nothing else, because the state has folded the same records.
func (s *State) noteSnapshot(p Positioned, snap Snapshot) (Outcome, string) {
	if snap.Offset >= p.Offset {
		return Invalid, "the snapshot contains records that follow it in the log"
	}
	if snap.Offset <= s.LastSnapshot.UpTo {
		return Conflict, fmt.Sprintf("a snapshot up to offset %d was read before", s.LastSnapshot.UpTo)
	}
	s.LastSnapshot = SnapshotInfo{Offset: p.Offset, UpTo: snap.Offset, Time: p.Record.Time}
	return Accepted, ""
}

// InstallSnapshot replaces the state by a snapshot and returns the resulting
// change. It is for an entry that needs records older than oldest, the oldest
// offset that the log still holds. It returns false and changes nothing if the
// record is not a snapshot, the snapshot is older than the state, or records
// between the snapshot and oldest are missing.
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
		next.setText(snap.Version, snap.Text, fleet.Compare(&fleet.Text{}, snap.Text))
	}
	for id, pool := range snap.Moved {
		next.setPool(id, pool)
	}
	maps.Copy(next.Drains, snap.Drains)
	for id, m := range next.Drains {
		if m.Phase != InService {
			next.outOfService = append(next.outOfService, id)
		}
	}
	slices.Sort(next.outOfService)
	next.Waves, next.Moves = snap.Waves.clone(), snap.Moves
	next.Rehearsals = snap.Rehearsals.clone()
	for _, r := range snap.Seen {
		next.seen.add(r.ID, r.Outcome)
	}
	change := next.changeSince(s)
	*s = *next
	return change, true
}
