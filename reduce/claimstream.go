package reduce

import (
	"github.com/banyanrail/banyanrail/reduce/claims"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// startClaims reads the claims stream from its beginning. The entry takes no
// non-idempotent request until it has read its own marker back.
func (s *State) startClaims() {
	c := s.claiming
	s.emit(effect.ReadClaims{From: c.fold.Next()})
	c.marker = c.outbox.Add(claims.Marker{})
}

// onClaimEvent folds the events of the claims stream.
func (s *State) onClaimEvent(body event.Body) {
	switch b := body.(type) {
	case event.ClaimsRead:
		s.onClaimsRead(b)
	case event.AnswerFetched:
		s.onAnswerFetched(b)
	}
}

func (s *State) onClaimsRead(ev event.ClaimsRead) {
	c := s.claiming
	c.heard = s.now
	s.timers.Set(&c.watch, s.now.Add(cutOffAfter), claimWatch{})
	c.fold.Advance(s.now, ev.Oldest)
	for _, p := range ev.Groups {
		s.foldGroup(p)
	}
	if len(ev.Groups) == 0 {
		c.fold.NoteEmptyPage(s.now)
	}
	s.showClaims()
}

func (s *State) foldGroup(p claims.Positioned) {
	touched := s.claiming.fold.Apply(s.now, p)
	if b, ok := s.claiming.outbox.Remove(p.Group.ID); ok {
		s.timers.Clear(&b.Retry)
	}
	if p.Group.ID == s.claiming.marker {
		s.claiming.caughtUp = true
	}
	for _, scope := range touched {
		s.revisit(scope)
	}
}

// showClaims reports whether the entry takes non-idempotent requests, when
// that has changed.
func (s *State) showClaims() {
	open := s.canClaim()
	if open == s.claiming.open {
		return
	}
	s.claiming.open = open
	s.emit(effect.SetClaims{Open: open})
	change := effect.ChangeClaimsClosed
	if open {
		change = effect.ChangeClaimsOpen
	}
	s.emit(effect.LogChange{Change: change, Version: s.control.Version})
}

// onClaimsAppended follows the append of a group. Only reading it back settles
// it: the same group is appended again until then.
func (s *State) onClaimsAppended(ev event.AppendFinished) {
	b, ok := s.claiming.outbox.Get(ev.ID)
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
		s.claiming.outbox.Remove(b.Group.ID)
		return
	}
	b.PrepareRetry(s.now)
	s.emit(effect.AppendClaims{Group: b.Group})
}

// flushClaims appends the next group when it is due. It runs after every
// event, so that what one event leads to shares a group.
func (s *State) flushClaims() {
	c := s.claiming
	at := c.outbox.FlushAt()
	switch {
	case at.IsZero():
		s.timers.Clear(&c.flush)
	case at.After(s.now):
		s.timers.SetIfChanged(&c.flush, at, claimFlush{})
	default:
		s.timers.Clear(&c.flush)
		s.emit(effect.AppendClaims{Group: c.outbox.Flush(s.now).Group})
		s.flushClaims()
	}
}

// claimsSettled reports whether the log holds all that this entry has to tell
// about claims. One that never caught up has claimed nothing.
func (s *State) claimsSettled() bool {
	return !s.claiming.caughtUp || s.claiming.outbox.Len() == 0
}

// claimStatus summarises the claims for operators.
func (s *State) claimStatus() effect.ClaimStatus {
	return effect.ClaimStatus{
		Open:   s.claiming.open,
		Offset: s.claiming.fold.Next() - 1,
		Keys:   s.claiming.fold.Len(),
		Held:   len(s.claiming.own),
		Groups: s.claiming.outbox.Len(),
	}
}
