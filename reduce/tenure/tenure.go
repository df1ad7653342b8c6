// Package tenure decides which entry owns the jobs. The tenure log is a chain:
// each record is appended only if the log ends where its writer read it to end,
// so that a claim and the owner's next heartbeat exclude each other. An owner
// stays owner until it releases its tenure or is silent for a while; the list
// of group members that the store offers is not used, since the store deals
// memberships anew at any time.
package tenure

import (
	"hash/fnv"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

const (
	// HeartbeatInterval is the time between the owner's records: four of them fit into
	// Silence, so that one lost answer and one slow append do not end a tenure.
	HeartbeatInterval = 450 * time.Millisecond
	// OwnerTimeout is how long an owner may be silent, as seen by an entry that reads
	// the log without failures, before others claim its place.
	OwnerTimeout = 1800 * time.Millisecond
	// SuspectedOwnerTimeout takes its place once the owner's address has refused a
	// connection: two heartbeats.
	SuspectedOwnerTimeout = 2 * HeartbeatInterval
	// MaxReadAge is the age of the newest successful read beyond which an entry
	// does not claim: a read takes at most ReadWait, and one may be slow.
	MaxReadAge = time.Second
	// PollWait is how long one read of the log waits for news.
	PollWait = 600 * time.Millisecond
	// HeartbeatValidity is how long after the sending of its last proven heartbeat an
	// owner may extend leases and start tasks. With the leases given at its end
	// it outlasts the store's usual outages of five to six seconds.
	HeartbeatValidity = 4 * time.Second
	// stagger spreads claims of a released tenure, so that most entries see the
	// first one's record before their own turn.
	stagger = 20 * time.Millisecond
	// ranks is the number of different places in the order of claims.
	ranks = 16
	// answerLimit is how long an append's answer is waited for before the entry
	// goes by what it reads.
	answerLimit = 1200 * time.Millisecond
)

// Record is one record of the tenure log.
type Record struct {
	// Epoch grows by one with each claim. It fences the ledger, runners and
	// instances.
	Epoch       int64
	Owner       fleet.EntryID
	Incarnation uint64
	// Address is where the owner takes calls of other entries.
	Address string
	// Beat counts the records of one tenure.
	Beat int64
	// Released means that the owner has given up the tenure.
	Released bool
}

// State is what an entry knows of the tenure.
type State struct {
	self Record
	// newest is the newest record read, and end the log's end after it.
	newest Record
	end    fleet.Offset
	// known is set after the first successful read.
	known bool
	// blind is set from a failed read to the next successful one.
	blind bool
	// since is when newest was first seen in an unbroken series of reads, and
	// readAt the time of the newest read.
	since, readAt time.Time
	// sent holds the sending times of this entry's records that are not proven
	// yet, by beat.
	sent map[int64]time.Time
	// provenAt is when the newest record that is known to be in the log was
	// sent.
	provenAt time.Time
	// waiting is set while an append's answer is waited for.
	waiting   bool
	waitSince time.Time
	lastBeat  time.Time
	stopping  bool
	// handicap delays the claims of an entry that is weaker than an owner should
	// be.
	handicap time.Duration
	// suspected is the epoch of an owner whose address refused a connection.
	suspected int64
	beat      int64
	// formerUntil is when the last owner before this entry's tenure may have
	// given its last lease.
	formerUntil time.Time
	// lost is the highest epoch that is known to be superseded.
	lost int64
}

// New returns the state of an entry that has read nothing. Its claims of a free
// tenure are delayed by a handicap.
func New(entry fleet.EntryID, incarnation uint64, address string, handicap time.Duration) *State {
	return &State{
		self:     Record{Owner: entry, Incarnation: incarnation, Address: address},
		sent:     make(map[int64]time.Time),
		handicap: handicap,
	}
}

// HasRead reports whether the log was read at all.
func (s *State) HasRead() bool { return s.known }

// ReadFailing reports whether the last read of the log failed.
func (s *State) ReadFailing() bool { return s.blind }

// Newest returns the newest record.
func (s *State) Newest() Record { return s.newest }

// Age returns for how long the newest record has been the newest.
func (s *State) Age(now time.Time) time.Duration { return now.Sub(s.since) }

// IsOwner reports whether this entry wrote the newest record and holds the tenure.
func (s *State) IsOwner() bool {
	return s.known && s.own(s.newest) && !s.newest.Released && s.newest.Epoch > s.lost
}

// FormerOwnerActiveUntil returns until when the owner before this one may have given
// leases.
func (s *State) FormerOwnerActiveUntil() time.Time { return s.formerUntil }

// OnSuperseded notes that a higher epoch is in force, though the log has not told
// yet.
func (s *State) OnSuperseded(epoch int64) { s.lost = max(s.lost, epoch) }

func (s *State) own(r Record) bool {
	return r.Owner == s.self.Owner && r.Incarnation == s.self.Incarnation
}

// Valid reports whether the owner may extend leases and start tasks.
func (s *State) Valid(now time.Time) bool {
	return s.IsOwner() && now.Sub(s.provenAt) < HeartbeatValidity
}

// IsSoleOwner reports whether nobody else can have claimed the tenure since it was last
// proven.
func (s *State) IsSoleOwner(now time.Time) bool { return now.Sub(s.provenAt) < SuspectedOwnerTimeout }

// ConfirmedAt returns when the newest proven record of this entry was sent.
func (s *State) ConfirmedAt() time.Time { return s.provenAt }

// Stop makes the entry release its tenure and claim none.
func (s *State) Stop() { s.stopping = true }

// OnRead takes in the newest record of the log.
func (s *State) OnRead(now time.Time, r Record, end fleet.Offset) {
	if s.known && end < s.end {
		return // overtaken by a newer answer
	}
	if !s.known || s.blind || end != s.end {
		s.since = now
	}
	s.known, s.blind, s.readAt = true, false, now
	if end == s.end && s.newest != (Record{}) {
		return
	}
	s.take(r, end)
}

// take makes a record the newest.
func (s *State) take(r Record, end fleet.Offset) {
	s.suspected = 0 // the owner has been heard
	if !s.own(r) {
		s.formerUntil = s.leasesUntil(r)
	}
	s.newest, s.end = r, end
	s.prove(r)
}

// leasesUntil returns until when the writer of a record that was read just now
// may give leases: not after its release or its own restart, else until its
// tenure is not valid any more.
func (s *State) leasesUntil(r Record) time.Time {
	if r.Released || r.Owner == s.self.Owner {
		return s.readAt
	}
	return s.readAt.Add(HeartbeatValidity)
}

// OnReadFailed takes in a read without an answer.
func (s *State) OnReadFailed() { s.blind = true }

// prove notes that a record of this entry is in the log.
func (s *State) prove(r Record) {
	if !s.own(r) {
		return
	}
	at, ok := s.sent[r.Beat]
	if ok && at.After(s.provenAt) {
		s.provenAt = at
	}
	for beat := range s.sent {
		if beat <= r.Beat {
			delete(s.sent, beat)
		}
	}
}

// OnAppended takes in a record of this entry that the log has taken; end is the
// log's end after it.
func (s *State) OnAppended(now time.Time, r Record, end fleet.Offset) {
	s.waiting = false
	if end <= s.end {
		return
	}
	s.since, s.readAt = now, now
	s.take(r, end)
}

// OnAppendUnconfirmed takes in an append that has failed, or whose outcome is not
// known: reading on tells.
func (s *State) OnAppendUnconfirmed() { s.waiting = false }

// Next returns a record to append if one is due, and where the log has to end.
func (s *State) Next(now time.Time) (Record, fleet.Offset, bool) {
	if !s.known || (s.waiting && now.Sub(s.waitSince) < answerLimit) {
		return Record{}, 0, false
	}
	r, due := s.next(now)
	if !due {
		return Record{}, 0, false
	}
	s.waiting, s.waitSince = true, now
	s.lastBeat = now
	s.beat++
	r.Beat = s.beat
	s.sent[r.Beat] = now
	return r, s.end, true
}

func (s *State) next(now time.Time) (Record, bool) {
	r := s.self
	if s.IsOwner() {
		r.Epoch = s.newest.Epoch
		r.Released = s.stopping
		return r, s.stopping || now.Sub(s.lastBeat) >= HeartbeatInterval
	}
	r.Epoch = s.newest.Epoch + 1
	return r, s.mayClaim(now)
}

// mayClaim reports whether the tenure is free: there is none, it was released,
// its owner is an earlier start of this entry, or its owner has been silent.
func (s *State) mayClaim(now time.Time) bool {
	if s.newest.Epoch <= s.lost && s.own(s.newest) {
		return false // the log has yet to tell who is owner
	}
	if s.stopping || s.blind || now.Sub(s.readAt) > MaxReadAge {
		return false
	}
	if s.newest.Owner == s.self.Owner {
		return true
	}
	wait := s.rank() + s.handicap
	if s.newest.Epoch != 0 && !s.newest.Released {
		wait += s.silence()
	}
	return now.Sub(s.since) >= wait
}

// Suspect notes that the address of an epoch's owner refused a connection, as
// that of a process that has ended does.
func (s *State) Suspect(epoch int64) { s.suspected = epoch }

// silence returns how long the owner may be silent.
func (s *State) silence() time.Duration {
	if s.suspected == s.newest.Epoch {
		return SuspectedOwnerTimeout
	}
	return OwnerTimeout
}

// rank spreads the entries' claims, in another order for each epoch.
func (s *State) rank() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.self.Owner)) // never fails
	_, _ = h.Write([]byte{byte(s.newest.Epoch), byte(s.newest.Epoch >> 8)})
	return time.Duration(h.Sum32()%ranks) * stagger
}
