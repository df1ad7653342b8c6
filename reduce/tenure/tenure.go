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
	// claimSpacing spreads claims of a released tenure, so that most entries see the
	// first one's record before their own turn.
	claimSpacing = 20 * time.Millisecond
	// claimSlots is the number of different places in the order of claims.
	claimSlots = 16
	// appendTimeout is how long an append's answer is waited for before the entry
	// goes by what it reads.
	appendTimeout = 1200 * time.Millisecond
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
	// hasRead is set after the first successful read.
	hasRead bool
	// readFailing is set from a failed read to the next successful one.
	readFailing bool
	// newestSince is when newest was first seen in an unbroken series of reads, and
	// readAt the time of the newest read.
	newestSince, readAt time.Time
	// sentAt holds the sending times of this entry's records that are not proven
	// yet, by beat.
	sentAt map[int64]time.Time
	// confirmedAt is when the newest record that is known to be in the log was
	// sent.
	confirmedAt time.Time
	// appendInFlight is set while an append's answer is waited for.
	appendInFlight bool
	appendSentAt   time.Time
	lastHeartbeat  time.Time
	stopping       bool
	// claimDelay delays the claims of an entry that is weaker than an owner should
	// be.
	claimDelay time.Duration
	// suspectedEpoch is the epoch of an owner whose address refused a connection.
	suspectedEpoch int64
	beat           int64
	// formerActiveUntil is when the last owner before this entry's tenure may have
	// given its last lease.
	formerActiveUntil time.Time
	// supersededEpoch is the highest epoch that is known to be superseded.
	supersededEpoch int64
}

// New returns the state of an entry that has read nothing. Its claims of a free
// tenure are delayed by a handicap.
func New(entry fleet.EntryID, incarnation uint64, address string, claimDelay time.Duration) *State {
	return &State{
		self:       Record{Owner: entry, Incarnation: incarnation, Address: address},
		sentAt:     make(map[int64]time.Time),
		claimDelay: claimDelay,
	}
}

// HasRead reports whether the log was read at all.
func (s *State) HasRead() bool { return s.hasRead }

// ReadFailing reports whether the last read of the log failed.
func (s *State) ReadFailing() bool { return s.readFailing }

// Newest returns the newest record.
func (s *State) Newest() Record { return s.newest }

// Age returns for how long the newest record has been the newest.
func (s *State) Age(now time.Time) time.Duration { return now.Sub(s.newestSince) }

// IsOwner reports whether this entry wrote the newest record and holds the tenure.
func (s *State) IsOwner() bool {
	return s.hasRead && s.wrote(s.newest) && !s.newest.Released && s.newest.Epoch > s.supersededEpoch
}

// FormerOwnerActiveUntil returns until when the owner before this one may have given
// leases.
func (s *State) FormerOwnerActiveUntil() time.Time { return s.formerActiveUntil }

// OnSuperseded notes that a higher epoch is in force, though the log has not told
// yet.
func (s *State) OnSuperseded(epoch int64) { s.supersededEpoch = max(s.supersededEpoch, epoch) }

func (s *State) wrote(r Record) bool {
	return r.Owner == s.self.Owner && r.Incarnation == s.self.Incarnation
}

// Valid reports whether the owner may extend leases and start tasks.
func (s *State) Valid(now time.Time) bool {
	return s.IsOwner() && now.Sub(s.confirmedAt) < HeartbeatValidity
}

// IsSoleOwner reports whether nobody else can have claimed the tenure since it was last
// proven.
func (s *State) IsSoleOwner(now time.Time) bool {
	return now.Sub(s.confirmedAt) < SuspectedOwnerTimeout
}

// ConfirmedAt returns when the newest proven record of this entry was sent.
func (s *State) ConfirmedAt() time.Time { return s.confirmedAt }

// Stop makes the entry release its tenure and claim none.
func (s *State) Stop() { s.stopping = true }

// OnRead takes in the newest record of the log.
func (s *State) OnRead(now time.Time, r Record, end fleet.Offset) {
	if s.hasRead && end < s.end {
		return // overtaken by a newer answer
	}
	if !s.hasRead || s.readFailing || end != s.end {
		s.newestSince = now
	}
	s.hasRead, s.readFailing, s.readAt = true, false, now
	if end == s.end && s.newest != (Record{}) {
		return
	}
	s.setNewest(r, end)
}

// setNewest makes a record the newest.
func (s *State) setNewest(r Record, end fleet.Offset) {
	s.suspectedEpoch = 0 // the owner has been heard
	if !s.wrote(r) {
		s.formerActiveUntil = s.activeUntil(r)
	}
	s.newest, s.end = r, end
	s.confirm(r)
}

// activeUntil returns until when the writer of a record that was read just now
// may give leases: not after its release or its own restart, else until its
// tenure is not valid any more.
func (s *State) activeUntil(r Record) time.Time {
	if r.Released || r.Owner == s.self.Owner {
		return s.readAt
	}
	return s.readAt.Add(HeartbeatValidity)
}

// OnReadFailed takes in a read without an answer.
func (s *State) OnReadFailed() { s.readFailing = true }

// confirm notes that a record of this entry is in the log.
func (s *State) confirm(r Record) {
	if !s.wrote(r) {
		return
	}
	at, ok := s.sentAt[r.Beat]
	if ok && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
	for beat := range s.sentAt {
		if beat <= r.Beat {
			delete(s.sentAt, beat)
		}
	}
}

// OnAppended takes in a record of this entry that the log has taken; end is the
// log's end after it.
func (s *State) OnAppended(now time.Time, r Record, end fleet.Offset) {
	s.appendInFlight = false
	if end <= s.end {
		return
	}
	s.newestSince, s.readAt = now, now
	s.setNewest(r, end)
}

// OnAppendUnconfirmed takes in an append that has failed, or whose outcome is not
// known: reading on tells.
func (s *State) OnAppendUnconfirmed() { s.appendInFlight = false }

// Next returns a record to append if one is due, and where the log has to end.
func (s *State) Next(now time.Time) (Record, fleet.Offset, bool) {
	if !s.hasRead || (s.appendInFlight && now.Sub(s.appendSentAt) < appendTimeout) {
		return Record{}, 0, false
	}
	r, due := s.nextRecord(now)
	if !due {
		return Record{}, 0, false
	}
	s.appendInFlight, s.appendSentAt = true, now
	s.lastHeartbeat = now
	s.beat++
	r.Beat = s.beat
	s.sentAt[r.Beat] = now
	return r, s.end, true
}

func (s *State) nextRecord(now time.Time) (Record, bool) {
	r := s.self
	if s.IsOwner() {
		r.Epoch = s.newest.Epoch
		r.Released = s.stopping
		return r, s.stopping || now.Sub(s.lastHeartbeat) >= HeartbeatInterval
	}
	r.Epoch = s.newest.Epoch + 1
	return r, s.mayClaim(now)
}

// mayClaim reports whether the tenure is free: there is none, it was released,
// its owner is an earlier start of this entry, or its owner has been silent.
func (s *State) mayClaim(now time.Time) bool {
	if s.newest.Epoch <= s.supersededEpoch && s.wrote(s.newest) {
		return false // the log has yet to tell who is owner
	}
	if s.stopping || s.readFailing || now.Sub(s.readAt) > MaxReadAge {
		return false
	}
	if s.newest.Owner == s.self.Owner {
		return true
	}
	wait := s.claimOffset() + s.claimDelay
	if s.newest.Epoch != 0 && !s.newest.Released {
		wait += s.ownerTimeout()
	}
	return now.Sub(s.newestSince) >= wait
}

// Suspect notes that the address of an epoch's owner refused a connection, as
// that of a process that has ended does.
func (s *State) Suspect(epoch int64) { s.suspectedEpoch = epoch }

// ownerTimeout returns how long the owner may be silent.
func (s *State) ownerTimeout() time.Duration {
	if s.suspectedEpoch == s.newest.Epoch {
		return SuspectedOwnerTimeout
	}
	return OwnerTimeout
}

// claimOffset spreads the entries' claims, in another order for each epoch.
func (s *State) claimOffset() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.self.Owner)) // never fails
	_, _ = h.Write([]byte{byte(s.newest.Epoch), byte(s.newest.Epoch >> 8)})
	return time.Duration(h.Sum32()%claimSlots) * claimSpacing
}
