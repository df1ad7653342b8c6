package tenure_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/tenure"
	"github.com/shoenig/test/must"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// other returns a record of another entry.
func other(epoch, beat int64, released bool) tenure.Record {
	return tenure.Record{Epoch: epoch, Owner: "other", Incarnation: 1, Beat: beat, Released: released}
}

// feedReads feeds s the reads of long polls that return the same record for a
// duration, and returns the end of it.
func feedReads(s *tenure.State, from time.Time, d time.Duration, r tenure.Record, end fleet.Offset) time.Time {
	for at := from; !at.After(from.Add(d)); at = at.Add(tenure.PollWait) {
		s.OnRead(at, r, end)
	}
	return from.Add(d)
}

func claims(s *tenure.State, now time.Time) bool {
	_, _, ok := s.Next(now)
	return ok
}

func TestClaims(t *testing.T) {
	const late = tenure.OwnerTimeout + time.Second
	cases := []struct {
		name string
		play func(s *tenure.State) time.Time
		want bool
	}{
		{"before the first read", func(*tenure.State) time.Time { return start.Add(time.Hour) }, false},
		{"empty log", func(s *tenure.State) time.Time {
			return feedReads(s, start, time.Second, tenure.Record{}, 0)
		}, true},
		{"owner timed out", func(s *tenure.State) time.Time {
			return feedReads(s, start, late, other(3, 1, false), 5)
		}, true},
		{"owner's address refuses", func(s *tenure.State) time.Time {
			s.OnRead(start, other(3, 1, false), 5)
			s.Suspect(3)
			return feedReads(s, start, tenure.SuspectedOwnerTimeout+400*time.Millisecond, other(3, 1, false), 5)
		}, true},
		{"heartbeat after the owner's address refused", func(s *tenure.State) time.Time {
			s.OnRead(start, other(3, 1, false), 5)
			s.Suspect(3)
			s.OnRead(start, other(3, 2, false), 6)
			return feedReads(s, start, tenure.SuspectedOwnerTimeout+400*time.Millisecond, other(3, 2, false), 6)
		}, false},
		{"heartbeat within the timeout", func(s *tenure.State) time.Time {
			now := feedReads(s, start, late, other(3, 1, false), 5)
			s.OnRead(now, other(3, 2, false), 6)
			return now
		}, false},
		{"owner released", func(s *tenure.State) time.Time {
			return feedReads(s, start, 500*time.Millisecond, other(3, 1, true), 5)
		}, true},
		{"own earlier incarnation", func(s *tenure.State) time.Time {
			s.OnRead(start, tenure.Record{Epoch: 3, Owner: "me", Incarnation: 1}, 5)
			return start
		}, true},
		{"last read failed", func(s *tenure.State) time.Time {
			now := feedReads(s, start, late, other(3, 1, false), 5)
			s.OnReadFailed()
			return now
		}, false},
		{"first read after an outage", func(s *tenure.State) time.Time {
			now := feedReads(s, start, late, other(3, 1, false), 5)
			s.OnReadFailed()
			return feedReads(s, now.Add(5*time.Second), 0, other(3, 1, false), 5)
		}, false},
		{"last read too old", func(s *tenure.State) time.Time {
			return feedReads(s, start, late, other(3, 1, false), 5).Add(2 * tenure.MaxReadAge)
		}, false},
		{"stopping", func(s *tenure.State) time.Time {
			s.Stop()
			return feedReads(s, start, late, other(3, 1, false), 5)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := tenure.New("me", 2, "address", 0)
			must.Eq(t, c.want, claims(s, c.play(s)))
		})
	}
}

func newOwner(t *testing.T) (*tenure.State, time.Time) {
	t.Helper()
	s := tenure.New("me", 2, "address", 0)
	now := feedReads(s, start, time.Second, tenure.Record{}, 0)
	r, at, ok := s.Next(now)
	must.True(t, ok)
	must.Eq(t, 0, at)
	must.Eq(t, 1, r.Epoch)
	s.OnAppended(now, r, 1)
	must.True(t, s.IsOwner())
	return s, now
}

func TestOwnerSendsHeartbeats(t *testing.T) {
	s, now := newOwner(t)
	must.False(t, claims(s, now.Add(tenure.HeartbeatInterval/2)))
	r, at, ok := s.Next(now.Add(tenure.HeartbeatInterval))
	must.True(t, ok)
	must.Eq(t, 1, at)
	must.Eq(t, 2, r.Beat)
}

func TestOwnerIsValidForATimeAfterItsLastConfirmedHeartbeat(t *testing.T) {
	s, now := newOwner(t)
	must.True(t, s.Valid(now.Add(tenure.HeartbeatValidity-time.Millisecond)))
	must.False(t, s.Valid(now.Add(tenure.HeartbeatValidity)))
	// A heartbeat without an answer confirms nothing until it is read.
	r, _, ok := s.Next(now.Add(time.Second))
	must.True(t, ok)
	s.OnAppendUnconfirmed()
	must.False(t, s.Valid(now.Add(tenure.HeartbeatValidity)))
	s.OnRead(now.Add(3*time.Second), r, 2)
	must.True(t, s.Valid(now.Add(tenure.HeartbeatValidity)))
	must.False(t, s.Valid(now.Add(tenure.HeartbeatValidity+time.Second)), must.Sprint("validity counts from the sending of the heartbeat"))
}

func TestOwnerReleasesWhenStopped(t *testing.T) {
	s, now := newOwner(t)
	s.Stop()
	r, _, ok := s.Next(now)
	must.True(t, ok)
	must.True(t, r.Released)
	s.OnAppended(now, r, 2)
	must.False(t, s.IsOwner())
	must.False(t, claims(s, now.Add(time.Minute)))
}

func TestSupersededOwnerDoesNotResumeItsTenure(t *testing.T) {
	s, now := newOwner(t)
	s.OnSuperseded(1)
	must.False(t, s.IsOwner())
	must.False(t, claims(s, now.Add(time.Minute)), must.Sprint("the record of the current owner has not been read yet"))
	s.OnRead(now.Add(time.Minute), other(2, 1, false), 2)
	must.False(t, s.IsOwner())
}

// TestFormerOwnersActiveUntil has an entry claim after a record. The bound on former owners
// is the latest over the record's writer and those before it. A release, or the end of the
// entry's own former process, bounds its own writer alone (review/6).
func TestFormerOwnersActiveUntil(t *testing.T) {
	const formerActive = 1700 * time.Millisecond
	mine := tenure.Record{Epoch: 3, Owner: "me", Incarnation: 1}
	for _, c := range []struct {
		name   string
		record tenure.Record
		former time.Duration
		want   time.Duration
	}{
		{"crashed", other(3, 1, false), 0, tenure.HeartbeatValidity},
		{"released", other(3, 1, true), 0, 0},
		{"own earlier incarnation", mine, 0, 0},
		{"crashed after another owner", other(3, 1, false), formerActive, tenure.HeartbeatValidity},
		{"released after another owner", other(3, 1, true), formerActive, formerActive},
		{"own earlier incarnation after another owner", mine, formerActive, formerActive},
		{"released by a version that does not tell", other(3, 1, true), -1, tenure.HeartbeatValidity},
		{"empty log", tenure.Record{}, -1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.former >= 0 {
				c.record.FormerActive = &c.former
			}
			s := tenure.New("me", 2, "address", 0)
			now := feedReads(s, start, 3*time.Second, c.record, 5)
			read := start
			if c.record == (tenure.Record{}) {
				read = time.Time{} // there was no owner
			}
			claim, at, ok := s.Next(now)
			must.True(t, ok)
			must.Eq(t, 5, at)
			must.Eq(t, max(0, read.Add(c.want).Sub(now)), *claim.FormerActive)
			s.OnAppended(now.Add(10*time.Millisecond), claim, 6)
			must.Eq(t, read.Add(c.want), s.FormerOwnersActiveUntil())
		})
	}
}

// TestBoundOfFormerOwnersPassesThroughOwnersThatWereNotRead replaces owners faster than an
// entry reads the log, or before it has read anything. It has to learn of the first one.
func TestBoundOfFormerOwnersPassesThroughOwnersThatWereNotRead(t *testing.T) {
	a, b := tenure.New("a", 1, "address", 0), tenure.New("b", 1, "address", 0)
	now := feedReads(a, start, time.Second, tenure.Record{}, 0)
	first, _, ok := a.Next(now)
	must.True(t, ok)
	a.OnAppended(now, first, 1)
	claimed := now
	now = feedReads(b, now, tenure.OwnerTimeout+time.Second, first, 1)
	second, _, ok := b.Next(now)
	must.True(t, ok)
	b.OnAppended(now, second, 2)
	b.Stop()
	now = now.Add(100 * time.Millisecond)
	release, at, ok := b.Next(now)
	must.True(t, ok)
	must.Eq(t, 2, at)
	must.True(t, release.Released)

	c := tenure.New("c", 1, "address", 0)
	now = feedReads(c, now, 400*time.Millisecond, release, 3)
	third, _, ok := c.Next(now)
	must.True(t, ok)
	c.OnAppended(now, third, 4)
	// The heartbeat of a is known from b's first read, and the bound from c's first one.
	must.Eq(t, claimed.Add(tenure.HeartbeatValidity), c.FormerOwnersActiveUntil())
	must.Eq(t, claimed.Add(tenure.HeartbeatValidity), a.ConfirmedAt().Add(tenure.HeartbeatValidity))
}

func TestStaleReadsAreDropped(t *testing.T) {
	s := tenure.New("me", 2, "address", 0)
	s.OnRead(start, other(4, 1, false), 9)
	s.OnRead(start, other(3, 1, false), 8)
	must.Eq(t, 4, s.Newest().Epoch)
}

// TestWeakEntryLetsOthersClaimFirst guards against an entry whose claims come last that
// claims early, since it alone had a call refused by the owner's address: it then owned
// the jobs of 349 runners with a fifth of a core (trouble-3 on tlj-charter-grown).
func TestWeakEntryLetsOthersClaimFirst(t *testing.T) {
	s := tenure.New("me", 2, "address", 200*time.Millisecond)
	s.OnRead(start, other(3, 1, false), 5)
	s.Suspect(3)
	now := feedReads(s, start, tenure.OwnerTimeout-100*time.Millisecond, other(3, 1, false), 5)
	_, _, claims := s.Next(now)
	must.False(t, claims)
	now = feedReads(s, now, time.Second, other(3, 1, false), 5)
	_, _, claims = s.Next(now)
	must.True(t, claims)
}

// TestSightingsPassThroughProcessesThatHaveNotReadThem: the entry that owns the tenure is replaced by a new process again and again. What the first
// owner did is over as long after its end as for an entry that has read all records.
func TestSightingsPassThroughProcessesThatHaveNotReadThem(t *testing.T) {
	const turn = 10 * time.Second
	watcher := tenure.New("watcher", 1, "address", 0)
	record, now, end := tenure.Record{}, start, fleet.Offset(0)
	var me *tenure.State
	for n := range 5 {
		me = tenure.New("me", uint64(n+1), "address", 0)
		for until := now.Add(turn); now.Before(until); now = now.Add(100 * time.Millisecond) {
			me.OnRead(now, record, end)
			watcher.OnRead(now, record, end)
			if r, _, ok := me.Next(now); ok {
				record, end = r, end+1
				me.OnAppended(now, r, end)
			}
		}
	}
	must.Eq(t, 5, record.Epoch)
	for epoch := int64(1); epoch < 5; epoch++ {
		late := me.ActiveUntil(epoch).Sub(watcher.ActiveUntil(epoch))
		must.Between(t, -100*time.Millisecond, late, 4*tenure.HeartbeatInterval, must.Sprint("epoch ", epoch))
		must.False(t, me.ActiveUntil(epoch).Before(start.Add(time.Duration(epoch)*turn)), must.Sprint("epoch ", epoch))
	}
}

// TestSightingsThatARecordTells: what a record tells of later epochs than its own, or of times to come, moves no bound ahead of what was read.
func TestSightingsThatARecordTells(t *testing.T) {
	r := other(7, 1, false)
	r.Epochs = &[]tenure.EpochAge{{Epoch: 5, Age: 30 * time.Second}, {Epoch: 6, Age: -time.Hour}, {Epoch: 9, Age: time.Hour}}
	s := tenure.New("me", 2, "address", 0)
	s.OnRead(start, r, 5)
	must.Eq(t, start.Add(tenure.HeartbeatValidity-30*time.Second), s.ActiveUntil(4))
	must.Eq(t, start.Add(tenure.HeartbeatValidity), s.ActiveUntil(5))
	must.Eq(t, start.Add(tenure.HeartbeatValidity), s.ActiveUntil(6))
	must.Eq(t, start.Add(tenure.HeartbeatValidity), s.ActiveUntil(7))
}

// TestRecordsTellOfFewEpochs bounds the size of the records.
func TestRecordsTellOfFewEpochs(t *testing.T) {
	s, now := tenure.New("me", 2, "address", 0), start
	for epoch := range int64(40) {
		now = now.Add(time.Second)
		s.OnRead(now, other(epoch+1, epoch+1, true), fleet.Offset(epoch+1))
	}
	now = feedReads(s, now, time.Second, other(40, 40, true), 40)
	r, _, ok := s.Next(now)
	must.True(t, ok)
	must.SliceLen(t, 8, *r.Epochs)
	must.Eq(t, 40, (*r.Epochs)[7].Epoch)
}
