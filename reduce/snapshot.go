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
	// snapshotStagger separates the attempts of the entries, so that a snapshot
	// is usually read back before the next entry's attempt is due.
	snapshotStagger = 10 * time.Second
	// snapshotRetryDelay is the delay before another attempt when the log
	// refused a snapshot.
	snapshotRetryDelay = time.Minute
	// snapshotRetryDivisor is the divisor of the snapshot interval that gives
	// the delay until an entry repeats a snapshot that was not read back.
	snapshotRetryDivisor = 8
)

// snapshotSchedule tracks when this entry has to write a snapshot.
type snapshotSchedule struct {
	timer timer.Timer
	// lastOffset is the offset of the snapshot that the timer counts from.
	lastOffset fleet.Offset
	// lastTime is when that snapshot was written, or when the first text was
	// read if there is no snapshot. It is zero before the first text.
	lastTime time.Time
	// appended is the record id of the last snapshot that this entry appended.
	appended fleet.RecordID
}

// scheduleSnapshot sets the timer after a snapshot or the first text was read.
func (s *State) scheduleSnapshot() {
	if s.control.Text == nil {
		return
	}
	kept := s.control.LastSnapshot
	if !s.snapshotSchedule.lastTime.IsZero() && s.snapshotSchedule.lastOffset == kept.Offset {
		return
	}
	s.snapshotSchedule.lastOffset, s.snapshotSchedule.lastTime = kept.Offset, kept.Time
	// A time in the future comes from a wrong clock.
	if kept.Time.IsZero() || kept.Time.After(s.now) {
		s.snapshotSchedule.lastTime = s.now
	}
	s.timers.Set(&s.snapshotSchedule.timer, s.snapshotDue(), &s.snapshotSchedule)
}

// snapshotDue returns when this entry has to write a snapshot, by its rank
// among the live entries.
func (s *State) snapshotDue() time.Time {
	rank := s.peers.Rank(fmt.Sprintf("snapshot-%d", s.snapshotSchedule.lastOffset))
	return s.snapshotSchedule.lastTime.Add(s.cfg.SnapshotInterval + time.Duration(rank)*snapshotStagger)
}

// onSnapshotTimer writes a snapshot if this entry still has to: ranks change
// while entries join and leave.
func (s *State) onSnapshotTimer() {
	due := s.snapshotDue()
	if due.After(s.now) {
		s.timers.Set(&s.snapshotSchedule.timer, due, &s.snapshotSchedule)
		return
	}
	s.timers.Set(&s.snapshotSchedule.timer, s.now.Add(s.cfg.SnapshotInterval/snapshotRetryDivisor), &s.snapshotSchedule)
	if s.gap || s.stopping {
		return
	}
	s.snapshotSchedule.appended = fleet.RecordID(fmt.Sprintf("snapshot-%s-%d-%d", s.cfg.Entry, s.control.Offset, s.now.UnixMilli()))
	s.emit(effect.Append{
		Record: control.Record{
			ID:     s.snapshotSchedule.appended,
			Time:   s.now,
			Author: string(s.cfg.Entry),
			Body:   s.control.Snapshot(),
		},
		Deadline: s.now.Add(s.cfg.SnapshotInterval),
	})
}

// onSnapshotAppended retries soon when the log refused the snapshot, so that
// the stream has a recent snapshot shortly after an outage.
func (s *State) onSnapshotAppended(ev event.AppendFinished) {
	if s.snapshotSchedule.appended == "" || ev.ID != s.snapshotSchedule.appended || ev.Outcome != event.AppendFailed {
		return
	}
	retry := min(snapshotRetryDelay, s.cfg.SnapshotInterval/snapshotRetryDivisor)
	s.timers.Set(&s.snapshotSchedule.timer, s.now.Add(retry), &s.snapshotSchedule)
}
