package reduce

import (
	"fmt"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

const (
	// DefaultSnapshotInterval is the time between snapshots of the fold. The
	// log has to keep records for several times as long.
	DefaultSnapshotInterval = time.Hour
	// snapshotStagger keeps the entries' attempts apart, so that one snapshot
	// is usually read back before the next entry's turn.
	snapshotStagger = 10 * time.Second
	// snapshotRetry is the time until another attempt when the log refused a
	// snapshot.
	snapshotRetry = time.Minute
	// snapshotShare is the part of the interval after which an entry whose
	// snapshot did not come back tries again.
	snapshotShare = 8
)

// snapshots schedules this entry's turn to write a snapshot.
type snapshots struct {
	timer timer.Timer
	// kept is the offset of the snapshot that the timer counts from.
	kept fleet.Offset
	// since is when that snapshot was written; zero before the first text.
	since time.Time
	// sent is the last snapshot that this entry appended.
	sent fleet.RecordID
}

// scheduleSnapshot arms the timer when a snapshot came, or the first record.
func (s *State) scheduleSnapshot() {
	if s.control.Text == nil {
		return
	}
	kept := s.control.LastSnapshot
	if !s.snapshots.since.IsZero() && s.snapshots.kept == kept.Offset {
		return
	}
	s.snapshots.kept, s.snapshots.since = kept.Offset, kept.Time
	// A time in the future comes from a clock that is wrong.
	if kept.Time.IsZero() || kept.Time.After(s.now) {
		s.snapshots.since = s.now
	}
	s.timers.Set(&s.snapshots.timer, s.snapshotDue(), &s.snapshots)
}

// snapshotDue is when this entry's turn comes, by its rank among the entries
// alive.
func (s *State) snapshotDue() time.Time {
	rank := s.peers.Rank(fmt.Sprintf("snapshot-%d", s.snapshots.kept))
	return s.snapshots.since.Add(s.cfg.SnapshotInterval + time.Duration(rank)*snapshotStagger)
}

// onSnapshotTimer writes a snapshot if it is still this entry's turn: ranks
// change while entries come and go.
func (s *State) onSnapshotTimer() {
	due := s.snapshotDue()
	if due.After(s.now) {
		s.timers.Set(&s.snapshots.timer, due, &s.snapshots)
		return
	}
	s.timers.Set(&s.snapshots.timer, s.now.Add(s.cfg.SnapshotInterval/snapshotShare), &s.snapshots)
	if s.gap || s.stopping {
		return
	}
	s.snapshots.sent = fleet.RecordID(fmt.Sprintf("snapshot-%s-%d-%d", s.cfg.Entry, s.control.Offset, s.now.UnixMilli()))
	s.emit(effect.Append{
		Record: control.Record{
			ID:     s.snapshots.sent,
			Time:   s.now,
			Author: string(s.cfg.Entry),
			Body:   s.control.Snapshot(),
		},
		Deadline: s.now.Add(s.cfg.SnapshotInterval),
	})
}

// onSnapshotAppended tries again soon when the log refused the snapshot, so
// that the stream has one again shortly after an outage.
func (s *State) onSnapshotAppended(ev event.AppendFinished) {
	if s.snapshots.sent == "" || ev.ID != s.snapshots.sent || ev.Outcome != event.AppendFailed {
		return
	}
	retry := min(snapshotRetry, s.cfg.SnapshotInterval/snapshotShare)
	s.timers.Set(&s.snapshots.timer, s.now.Add(retry), &s.snapshots)
}
