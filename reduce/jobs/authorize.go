package jobs

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/access"
	"github.com/banyanrail/banyanrail/reduce/admission"
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
		s.deny(c, effect.CallAnswer{Kind: effect.AnswerUnauthorized, Reason: reasonUnknownKey})
		return false
	case access.Allowed:
		c.Tenant, c.Verified = tenant, true
	case access.Undecided:
	}
	return true
}

// authorizeAtOwner decides about the tenant of a call by the owner's own configuration. If
// that may be out of date, or is older than that of the entry that forwarded the call, the
// forwarding entry's decision stands. It answers a call that may not be served and returns
// false.
func (s *State) authorizeAtOwner(c *call) bool {
	q, ok := s.queues.ByName[c.Queue]
	if !ok {
		// The queue has been removed, or may have been added in a version that this entry
		// has not read yet.
		if s.access.MayDeny(s.now, &s.queues.Tenants) {
			s.deny(c, effect.CallAnswer{Kind: effect.AnswerNoQueue, Reason: reasonUnknownQueue})
			return false
		}
		s.answer(c, c.undecided())
		return false
	}
	tenant, verdict := s.access.Check(s.now, &s.queues.Tenants, q.Public, c.Key)
	if s.queues.Version < c.Version {
		verdict = access.Undecided
	}
	switch {
	case verdict == access.Allowed:
		c.Tenant, c.Verified = tenant, true
	case verdict == access.Denied:
		s.deny(c, effect.CallAnswer{Kind: effect.AnswerUnauthorized, Reason: reasonUnknownKey})
		return false
	case !c.Verified:
		s.answer(c, c.undecided())
		return false
	}
	return true
}

// deny answers a call to an unknown queue or with an unknown key. After an earlier try that
// may be stored, the answer leaves that open: a denial would say that the job never runs.
func (s *State) deny(c *call, a effect.CallAnswer) {
	if c.maybeDone {
		a.Kind = effect.AnswerUnknown
	}
	s.answer(c, a)
}

// undecided returns the answer to a call whose queue or key neither this entry nor the owner
// can decide about. An earlier try of a call that changes something may have been carried out.
func (c *call) undecided() effect.CallAnswer {
	if c.class() != admission.ClassRead {
		return effect.CallAnswer{Kind: effect.AnswerUnknown, Reason: reasonKeysOutdated}
	}
	return effect.CallAnswer{Kind: effect.AnswerRefused, RetryAfter: retryAfter, Reason: reasonKeysOutdated}
}

// logKeys logs the keys of the configuration that are not usable as they are listed. No log
// line holds a key.
func (s *State) logKeys() {
	tenants := &s.queues.Tenants
	if n := tenants.SharedKeys(); n > 0 {
		s.logDecision(effect.Decision{Name: "keys listed for several tenants", Warning: true, Version: s.queues.Version, Count: n})
	}
	if n := tenants.UnusableKeys(); n > 0 {
		s.logDecision(effect.Decision{Name: "keys that no call can carry", Warning: true, Version: s.queues.Version, Count: n})
	}
}

// denialLogInterval is the time between two log lines about calls with unknown keys. Clients
// that go on with a withdrawn key would otherwise use up the entry's log lines.
const denialLogInterval = time.Second

// denials counts the calls with unknown keys since the last log line about them.
type denials struct {
	count    int
	loggedAt time.Time
}

func (d *denials) add(s *State, c *call) {
	d.count++
	if s.now.Sub(d.loggedAt) < denialLogInterval {
		return
	}
	s.logDecision(effect.Decision{
		Name: "calls denied", Queue: c.Queue, Outcome: answerNames[effect.AnswerUnauthorized], Reason: reasonUnknownKey,
		Version: c.Version, Epoch: s.tenure.Newest().Epoch, Count: d.count,
	})
	d.count, d.loggedAt = 0, s.now
}
