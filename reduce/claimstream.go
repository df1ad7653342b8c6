package reduce

import (
	"github.com/banyanrail/banyanrail/reduce/claims"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// startClaims starts to read the claims stream from its beginning. The entry
// accepts no non-idempotent request until it has read its own marker back.
func (s *State) startClaims() {
	c := s.claims
	s.emit(effect.ReadClaims{From: c.fold.Next()})
	c.marker = c.outbox.Add(claims.Marker{})
}

// onClaimEvent handles the events of the claims stream.
func (s *State) onClaimEvent(body event.Body) {
	switch b := body.(type) {
	case event.ClaimsRead:
		s.onClaimsRead(b)
	case event.AnswerFetched:
		s.onAnswerFetched(b)
	}
}

func (s *State) onClaimsRead(ev event.ClaimsRead) {
	c := s.claims
	c.lastRead = s.now
	s.timers.Set(&c.readTimer, s.now.Add(claimReadTimeout), claimReadTimer{})
	c.fold.Advance(s.now, ev.Oldest)
	for _, p := range ev.Groups {
		s.foldGroup(p)
	}
	if len(ev.Groups) == 0 {
		c.fold.NoteEmptyPage(s.now)
	}
	s.updateClaimsOpen()
}

func (s *State) foldGroup(p claims.Positioned) {
	scopes := s.claims.fold.Apply(s.now, p)
	if b, ok := s.claims.outbox.Remove(p.Group.ID); ok {
		s.timers.Clear(&b.Retry)
	}
	if p.Group.ID == s.claims.marker {
		s.claims.caughtUp = true
	}
	for _, scope := range scopes {
		s.onScopeChanged(scope)
	}
}

// updateClaimsOpen reports whether the entry accepts non-idempotent requests,
// if that has changed.
func (s *State) updateClaimsOpen() {
	open := s.canClaim()
	if open == s.claims.reportedOpen {
		return
	}
	s.claims.reportedOpen = open
	s.emit(effect.SetClaims{Open: open})
	change := effect.ChangeClaimsClosed
	if open {
		change = effect.ChangeClaimsOpen
	}
	s.emit(effect.LogChange{Change: change, Version: s.control.Version})
}

// onClaimsAppended handles the result of appending a group. Only reading the
// group back settles it: until then the same group is appended again.
func (s *State) onClaimsAppended(ev event.AppendFinished) {
	b, ok := s.claims.outbox.Get(ev.ID)
	if !ok {
		return
	}
	switch ev.Outcome {
	case event.AppendFailed:
		b.MarkNotAppended()
		s.timers.Set(&b.Retry, s.now.Add(claims.RetryDelay), b)
	case event.AppendUnknown:
		b.MarkUncertain()
		s.timers.Set(&b.Retry, s.now.Add(claims.ReadBackTimeout), b)
	case event.Appended:
	}
}

func (s *State) onClaimRetryDue(b *claims.Batch) {
	if len(b.Group.Items) == 0 {
		s.claims.outbox.Remove(b.Group.ID)
		return
	}
	b.PrepareRetry(s.now)
	s.emit(effect.AppendClaims{Group: b.Group})
}

// flushClaims appends the next group when it is due. It runs after every event,
// so that the claims and outcomes of one event share a group.
func (s *State) flushClaims() {
	c := s.claims
	at := c.outbox.FlushAt()
	switch {
	case at.IsZero():
		s.timers.Clear(&c.flushTimer)
	case at.After(s.now):
		s.timers.SetIfChanged(&c.flushTimer, at, claimFlushTimer{})
	default:
		s.timers.Clear(&c.flushTimer)
		s.emit(effect.AppendClaims{Group: c.outbox.Flush(s.now).Group})
		s.flushClaims()
	}
}

// claimsSettled reports whether the log holds all claims and outcomes of this
// entry. An entry that never caught up has claimed nothing.
func (s *State) claimsSettled() bool {
	return !s.claims.caughtUp || s.claims.outbox.Len() == 0
}

// claimStatus summarises the claims for operators.
func (s *State) claimStatus() effect.ClaimStatus {
	return effect.ClaimStatus{
		Open:   s.claims.reportedOpen,
		Offset: s.claims.fold.Next() - 1,
		Keys:   s.claims.fold.Len(),
		Held:   len(s.claims.own),
		Groups: s.claims.outbox.Len(),
	}
}
