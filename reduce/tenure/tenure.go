// Package tenure decides which entry owns the jobs. Records are appended to the
// tenure log conditionally: an append succeeds only if the log still ends at the
// offset that its writer has read. Of a claim and the owner's next heartbeat,
// therefore, only one succeeds. An owner remains the owner until it releases its
// tenure or appends no record for OwnerTimeout. The group membership that the
// store offers is not used, because the store reassigns memberships at any time.
package tenure

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

const (
	// HeartbeatInterval is the time between two heartbeats of the owner. Four of
	// them fit into OwnerTimeout, so that one lost answer and one slow append do
	// not end a tenure.
	HeartbeatInterval = 450 * time.Millisecond
	// OwnerTimeout is the time without a new record after which other entries
	// claim the tenure. It counts at an entry whose reads of the log succeed.
	OwnerTimeout = 1800 * time.Millisecond
	// SuspectedOwnerTimeout replaces OwnerTimeout once the owner's address has
	// refused a connection.
	SuspectedOwnerTimeout = 2 * HeartbeatInterval
	// MaxReadAge is the age of the last successful read above which an entry does
	// not claim the tenure. A read takes at most PollWait, and one may be slow.
	MaxReadAge = time.Second
	// PollWait is the longest wait of one long poll of the log.
	PollWait = 600 * time.Millisecond
	// HeartbeatValidity is the time after the sending of its last confirmed
	// heartbeat in which an owner may extend leases and start tasks. Together with
	// the leases granted at its end it exceeds the store's usual outages of five
	// to six seconds.
	HeartbeatValidity = 4 * time.Second
	// claimSpacing is the time between two claim slots, in which most entries read
	// the claim of an earlier slot.
	claimSpacing = 20 * time.Millisecond
	// claimSlots is the number of slots over which the entries' claims are spread.
	claimSlots = 16
	// appendTimeout is the time after which an append without an answer no longer
	// prevents the next one.
	appendTimeout = 1200 * time.Millisecond
)

// Record is one record of the tenure log.
type Record struct {
	// Epoch increases by one with each claim. It is the fencing token for the
	// ledger, the runners and the instances.
	Epoch       int64
	Owner       fleet.EntryID
	Incarnation uint64
	// Address is the address at which the owner accepts calls of other entries.
	Address string
	// Beat numbers the records that one incarnation of an entry has sent.
	Beat int64
	// Released is set when the owner has given up the tenure.
	Released bool
	// FormerActive is how long after the sending of the record the owners of earlier
	// epochs may still grant leases. It hands the bound on to entries that have not read
	// the records of those owners. It is nil in records of versions without the field.
	FormerActive *time.Duration
	// Epochs lists how long before the sending of the record the last epochs had begun. It hands
	// their sightings on to entries that have not read the records of those epochs. It is nil
	// if none began lately, and in records of versions without the field.
	Epochs *[]EpochAge `json:",omitempty"`
}

// EpochAge is the time since the first record of an epoch was read.
type EpochAge struct {
	Epoch int64
	Age   time.Duration
}

// State is an entry's view of the tenure.
type State struct {
	self Record
	// newest is the newest record read, and end the end of the log after it.
	newest Record
	end    fleet.Offset
	// hasRead is set after the first successful read.
	hasRead bool
	// readFailing is set from a failed read to the next successful one.
	readFailing bool
	// newestSince is when newest was first read in the current series of
	// successful reads, and readAt the time of the last read.
	newestSince, readAt time.Time
	// sentAt holds the sending times, by beat, of this entry's records that are
	// not confirmed yet.
	sentAt map[int64]time.Time
	// confirmedAt is when this entry sent its newest record that is known to be in
	// the log.
	confirmedAt time.Time
	// appendInFlight is set while the answer to an append is outstanding.
	appendInFlight bool
	appendSentAt   time.Time
	lastHeartbeat  time.Time
	stopping       bool
	// claimDelay is an additional delay before claims, for an entry with fewer
	// resources than an owner needs.
	claimDelay time.Duration
	// suspectedEpoch is the epoch of an owner whose address refused a connection.
	suspectedEpoch int64
	beat           int64
	// ownerActiveUntil is the latest time at which the writer of newest may grant a lease,
	// and formerActiveUntil that for the owners of all earlier epochs.
	ownerActiveUntil, formerActiveUntil time.Time
	// supersededEpoch is the highest epoch that is known to be superseded.
	supersededEpoch int64
	// sightings holds when the first record of each epoch was read, oldest first.
	sightings []sighting
}

// sighting is the time at which the first record of an epoch was read.
type sighting struct {
	epoch int64
	at    time.Time
}

// maxSightings bounds the epochs whose sighting is kept. Leases of earlier ones have
// expired.
const maxSightings = 64

const (
	// maxListedEpochs is the number of epochs whose ages a record lists.
	maxListedEpochs = 8
	// maxListedAge is the age of an epoch above which records do not list it. What an owner has
	// ordered is over by then.
	maxListedAge = 45 * time.Second
)

// New returns the state of an entry that has read nothing. Its claims of a free
// tenure are delayed by claimDelay.
func New(entry fleet.EntryID, incarnation uint64, address string, claimDelay time.Duration) *State {
	return &State{
		self:       Record{Owner: entry, Incarnation: incarnation, Address: address},
		sentAt:     make(map[int64]time.Time),
		claimDelay: claimDelay,
	}
}

// HasRead reports whether the log was read at least once.
func (s *State) HasRead() bool { return s.hasRead }

// ReadFailing reports whether the last read of the log failed.
func (s *State) ReadFailing() bool { return s.readFailing }

// Newest returns the newest record read.
func (s *State) Newest() Record { return s.newest }

// Age returns the time since the newest record was first read.
func (s *State) Age(now time.Time) time.Duration { return now.Sub(s.newestSince) }

// IsOwner reports whether this entry wrote the newest record and holds the tenure.
func (s *State) IsOwner() bool {
	return s.hasRead && s.wrote(s.newest) && !s.newest.Released && s.newest.Epoch > s.supersededEpoch
}

// FormerOwnersActiveUntil returns the latest time at which an owner of an epoch before
// that of the newest record may have granted a lease.
func (s *State) FormerOwnersActiveUntil() time.Time { return s.formerActiveUntil }

// ActiveUntil returns the latest time at which the owner of an epoch, or of an earlier
// one, may have granted a lease. The epoch has to be superseded: its owner's last
// heartbeat was sent before the first record of a later epoch was read.
func (s *State) ActiveUntil(epoch int64) time.Time {
	for _, seen := range s.sightings {
		if seen.epoch > epoch {
			return seen.at.Add(HeartbeatValidity)
		}
	}
	return s.readAt.Add(HeartbeatValidity)
}

// OnSuperseded records that an epoch higher than the given one is in force. The
// record of the higher epoch may not have been read yet.
func (s *State) OnSuperseded(epoch int64) { s.supersededEpoch = max(s.supersededEpoch, epoch) }

// wrote reports whether a record is of this entry's current incarnation.
func (s *State) wrote(r Record) bool {
	return r.Owner == s.self.Owner && r.Incarnation == s.self.Incarnation
}

// Valid reports whether the owner may extend leases and start tasks.
func (s *State) Valid(now time.Time) bool {
	return s.IsOwner() && now.Sub(s.confirmedAt) < HeartbeatValidity
}

// IsSoleOwner reports whether no other entry can have claimed the tenure since
// the last confirmed record of this entry.
func (s *State) IsSoleOwner(now time.Time) bool {
	return now.Sub(s.confirmedAt) < SuspectedOwnerTimeout
}

// ConfirmedAt returns when this entry sent its newest confirmed record.
func (s *State) ConfirmedAt() time.Time { return s.confirmedAt }

// Stop makes the entry release its tenure and claim none from now on.
func (s *State) Stop() { s.stopping = true }

// OnRead handles a successful read: the newest record of the log, and the log's
// end.
func (s *State) OnRead(now time.Time, r Record, end fleet.Offset) {
	if s.hasRead && end < s.end {
		return // the answer arrived after a newer one
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

// setNewest makes a record the newest one.
func (s *State) setNewest(r Record, end fleet.Offset) {
	s.suspectedEpoch = 0 // a new record shows that the owner is alive
	s.noteSightings(r)
	s.boundFormerOwners(r)
	s.ownerActiveUntil = s.activeUntil(r)
	s.newest, s.end = r, end
	s.confirm(r)
}

// noteSightings notes the sighting of a record's epoch, and those of the epochs that it lists. They were
// earlier than its age before its sending, and so before its reading.
func (s *State) noteSightings(r Record) {
	if n := len(s.sightings); n > 0 && s.sightings[n-1].epoch >= r.Epoch {
		return
	}
	if r.Epochs != nil {
		for _, listed := range *r.Epochs {
			if listed.Epoch <= r.Epoch {
				s.noteSighting(sighting{epoch: listed.Epoch, at: s.readAt.Add(-max(0, listed.Age))})
			}
		}
	}
	s.noteSighting(sighting{epoch: r.Epoch, at: s.readAt})
	s.sightings = s.sightings[max(0, len(s.sightings)-maxSightings):]
}

// noteSighting notes a sighting unless an earlier one of the same epoch is known.
func (s *State) noteSighting(seen sighting) {
	i, known := slices.BinarySearchFunc(s.sightings, seen, func(a, b sighting) int { return cmp.Compare(a.epoch, b.epoch) })
	switch {
	case !known:
		s.sightings = slices.Insert(s.sightings, i, seen)
	case seen.at.Before(s.sightings[i].at):
		s.sightings[i].at = seen.at
	}
}

// epochAges returns the ages of the last epochs up to one, oldest first; nil if there are none.
func (s *State) epochAges(now time.Time, upTo int64) *[]EpochAge {
	var out []EpochAge
	for _, seen := range s.sightings {
		if age := now.Sub(seen.at); seen.epoch > 0 && seen.epoch <= upTo && age <= maxListedAge {
			out = append(out, EpochAge{Epoch: seen.epoch, Age: max(0, age)})
		}
	}
	if len(out) == 0 {
		return nil
	}
	out = out[max(0, len(out)-maxListedEpochs):]
	return &out
}

// boundFormerOwners updates formerActiveUntil for a record that was just read. The bound
// that a record carries holds for all earlier epochs, whichever of their records this entry
// has read: each writer claims right after the record that it has read last, whose bound it
// passes on.
func (s *State) boundFormerOwners(r Record) {
	switch {
	case r.Epoch == s.newest.Epoch && s.wrote(r):
	case r.Epoch == s.newest.Epoch:
		if at := s.readAt.Add(r.formerActive()); at.Before(s.formerActiveUntil) {
			s.formerActiveUntil = at
		}
	case s.wrote(r): // the claim follows the newest record
		s.formerActiveUntil = s.allActiveUntil()
	case r.Epoch == 0:
		s.formerActiveUntil = time.Time{}
	default:
		s.formerActiveUntil = s.readAt.Add(r.formerActive())
	}
}

// formerActive returns how long owners of earlier epochs may be active after the reading of
// a record.
func (r *Record) formerActive() time.Duration {
	if r.FormerActive == nil {
		return HeartbeatValidity
	}
	return *r.FormerActive
}

// allActiveUntil returns the latest time at which the writer of the newest record or the
// owner of an earlier epoch may grant a lease.
func (s *State) allActiveUntil() time.Time {
	if s.ownerActiveUntil.After(s.formerActiveUntil) {
		return s.ownerActiveUntil
	}
	return s.formerActiveUntil
}

// activeUntil returns until when the writer of a record that was just read may
// grant leases. After a release, or for an earlier incarnation of this entry, that
// is the time of the read; otherwise the heartbeat may still be valid. It is zero for
// a log without records, which has had no owner.
func (s *State) activeUntil(r Record) time.Time {
	switch {
	case r.Epoch == 0:
		return time.Time{}
	case r.Released || (r.Owner == s.self.Owner && !s.wrote(r)):
		return s.readAt
	default:
		return s.readAt.Add(HeartbeatValidity)
	}
}

// OnReadFailed handles a read that was not answered.
func (s *State) OnReadFailed() { s.readFailing = true }

// confirm records that a record, if it is this entry's, is in the log.
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

// OnAppended handles a successful append of a record of this entry. The end of the
// log after it is end.
func (s *State) OnAppended(now time.Time, r Record, end fleet.Offset) {
	s.appendInFlight = false
	if end <= s.end {
		return
	}
	s.newestSince, s.readAt = now, now
	s.setNewest(r, end)
}

// OnAppendUnconfirmed handles an append that failed, or whose outcome is unknown.
// Later reads show whether the record was appended.
func (s *State) OnAppendUnconfirmed() { s.appendInFlight = false }

// Next returns the record that is due, if any, and the offset at which the log has
// to end for the append to succeed.
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
	active := max(0, s.formerAt(r.Epoch).Sub(now))
	r.FormerActive, r.Epochs = &active, s.epochAges(now, r.Epoch)
	s.sentAt[r.Beat] = now
	return r, s.end, true
}

// formerAt returns the latest time at which an owner of an epoch before a record of this
// entry that is due may grant a lease.
func (s *State) formerAt(epoch int64) time.Time {
	if epoch == s.newest.Epoch {
		return s.formerActiveUntil
	}
	return s.allActiveUntil()
}

// nextRecord returns the next heartbeat, release or claim, and whether it is due.
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

// mayClaim reports whether this entry may claim the tenure: there is none, it was
// released, its owner is an earlier incarnation of this entry, or its owner has
// timed out.
func (s *State) mayClaim(now time.Time) bool {
	if s.newest.Epoch <= s.supersededEpoch && s.wrote(s.newest) {
		return false // the record of the current owner has not been read yet
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

// Suspect records that the address of an epoch's owner refused a connection, which
// is typical of a process that has ended. It shortens the time-out of that owner.
func (s *State) Suspect(epoch int64) { s.suspectedEpoch = epoch }

// ownerTimeout returns the time without a new record after which the present owner
// counts as failed. An entry whose claims come last does not act on its suspicion: the
// entries that should claim before it may have had no call refused.
func (s *State) ownerTimeout() time.Duration {
	if s.suspectedEpoch == s.newest.Epoch && s.claimDelay == 0 {
		return SuspectedOwnerTimeout
	}
	return OwnerTimeout
}

// claimOffset returns the start of this entry's claim slot. The order of the
// entries' slots differs between epochs.
func (s *State) claimOffset() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.self.Owner)) // never fails
	_, _ = h.Write([]byte{byte(s.newest.Epoch), byte(s.newest.Epoch >> 8)})
	return time.Duration(h.Sum32()%claimSlots) * claimSpacing
}
