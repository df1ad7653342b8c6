package jobs

import (
	"github.com/banyanrail/banyanrail/reduce/admission"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

func (s *State) onForwardFinished(b event.ForwardFinished) {
	c, ok := s.calls[b.Call]
	ok = ok && c.phase == callForwarded
	s.updateLimiter(c, ok, &b)
	if !ok {
		return
	}
	if !b.Failed && b.Answer.Kind != effect.AnswerNotOwner {
		s.unreachableEpoch = 0
		s.onForwardAnswered(c, b.Answer)
		return
	}
	c.maybeDone = c.maybeDone || (b.Failed && b.Sent)
	timedOut := b.Failed && b.Sent && s.now.Sub(c.forwardedAt) >= forwardTimeout-answerMargin
	s.unreachableEpoch = s.tenure.Newest().Epoch
	if b.Failed && !b.Sent {
		s.tenure.Suspect(s.tenure.Newest().Epoch)
	}
	s.count("forwards_failed", effect.Reason(b.Reason))
	s.emit(effect.ReadTenure{})
	if timedOut && !c.Verified {
		s.answer(c, c.undecided())
		return
	}
	if timedOut {
		// The owner may have failed, or only this entry may not reach it. In either case
		// the client's retry at another entry is served no later.
		s.answer(c, effect.CallAnswer{Kind: effect.AnswerUnknown, Reason: reasonNoAnswer})
		return
	}
	s.holdCall(c)
}

// updateLimiter records what the end of a forwarded call shows of the owner's delay.
// For a read that is the time until its answer, since nothing else holds it up.
func (s *State) updateLimiter(c *call, waiting bool, b *event.ForwardFinished) {
	switch {
	case b.Failed && b.Sent:
		s.limiter.Answered(s.now, forwardTimeout)
	case b.Failed:
		s.limiter.Failed()
	case waiting && c.class() == admission.ClassRead:
		s.limiter.Answered(s.now, max(b.Answer.Delay, s.now.Sub(c.forwardedAt)))
	default:
		s.limiter.Answered(s.now, b.Answer.Delay)
	}
}

// onForwardAnswered handles the owner's answer. A call that waited at the owner for
// the store in vain is forwarded again while its client waits.
func (s *State) onForwardAnswered(c *call, a effect.CallAnswer) {
	a.Delay = 0
	c.maybeDone = c.maybeDone || a.Kind == effect.AnswerUnknown
	if a.Reason == reasonStoreDown && s.now.Add(forwardRetryDelay).Before(s.answerDeadline(c)) {
		s.holdCall(c)
		return
	}
	if c.maybeDone && a.Kind == effect.AnswerRefused {
		// An earlier owner may have stored the job that this owner refused.
		a.Kind = effect.AnswerUnknown
	}
	if a.Kind == effect.AnswerUnauthorized || a.Kind == effect.AnswerNoQueue {
		s.deny(c, a)
		return
	}
	s.answer(c, a)
}
