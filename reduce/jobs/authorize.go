package jobs

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/access"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// Reasons in answers to calls that were not authorized.
const (
	reasonUnknownKey   effect.Reason = "not the key of a tenant"
	reasonKeysOutdated effect.Reason = "the keys may be out of date"
)

func (s *State) onQueuesConfirmed(b event.QueuesConfirmed) { s.access.Confirm(b.At) }

// authorize determines the tenant of a client's call at the entry that received it. It
// answers a call with an unknown key and returns false. If the configuration may be out of
// date, it leaves the decision to the owner.
func (s *State) authorize(c *call, q *fleet.Queue) bool {
	tenant, verdict := s.access.Check(s.now, &s.queues.Tenants, q.Public, c.Key)
	switch verdict {
	case access.Denied:
		s.answer(c, effect.CallAnswer{Kind: effect.AnswerUnauthorized, Reason: reasonUnknownKey})
		return false
	case access.Allowed:
		c.Tenant, c.Verified = tenant, true
	case access.Undecided:
		s.count("calls_undecided", reasonKeysOutdated)
	}
	return true
}

// authorizeAtOwner decides about the tenant of a call by the owner's own configuration,
// which is at least as new as that of the entry that forwarded the call. If it may be out
// of date, the forwarding entry's decision stands. It answers a call that may not be
// served and returns false.
func (s *State) authorizeAtOwner(c *call) bool {
	q, ok := s.queues.ByName[c.Queue]
	if !ok {
		return true // answered as a call to an unknown queue
	}
	tenant, verdict := s.access.Check(s.now, &s.queues.Tenants, q.Public, c.Key)
	switch {
	case verdict == access.Allowed:
		c.Tenant, c.Verified = tenant, true
	case verdict == access.Denied && c.maybeDone:
		// An earlier try may be stored, and a denial would say that the job never runs.
		s.answer(c, effect.CallAnswer{Kind: effect.AnswerUnknown, Reason: reasonUnknownKey})
		return false
	case verdict == access.Denied:
		s.answer(c, effect.CallAnswer{Kind: effect.AnswerUnauthorized, Reason: reasonUnknownKey})
		return false
	case !c.Verified:
		s.answer(c, c.declined(reasonKeysOutdated))
		return false
	}
	return true
}
