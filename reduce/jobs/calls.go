package jobs

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

const (
	// ownerWaitLimit is how long a call waits for an owner. It covers a takeover
	// after a release, which takes a tenth of a second. A takeover after a crash
	// takes longer; the client then has to retry.
	ownerWaitLimit = 900 * time.Millisecond
	// answerTimeout is how long a call waits for the store or the owner before it
	// is answered with AnswerUnknown. A client with the usual time limit of three
	// seconds has time left for a retry.
	answerTimeout = 1500 * time.Millisecond
	// forwardRetryDelay is the delay before a call is forwarded again.
	forwardRetryDelay = 120 * time.Millisecond
	// retryAfter is the retry delay in refusals. It is about the time that a
	// takeover takes beyond ownerWaitLimit.
	retryAfter = time.Second
	// maxCallsInFlight limits the memory for calls in flight.
	maxCallsInFlight = 4000
)

// Reasons in answers to clients.
const (
	reasonNoConfiguration effect.Reason = "no configuration yet"
	reasonNoOwner         effect.Reason = "no owner"
	reasonStoreDown       effect.Reason = "the store does not answer"
	reasonOverloaded      effect.Reason = "too much in hand"
	reasonNoAnswer        effect.Reason = "the owner did not answer"
	reasonUnknownQueue    effect.Reason = "no such queue"
	reasonInvalidID       effect.Reason = "not a job id"
	reasonInvalidJob      effect.Reason = "not a job"
)

type callPhase uint8

const (
	// callPending means that the call waits for an owner or a configuration.
	callPending callPhase = iota + 1
	callForwarded
	// callLocal means that this entry, as the owner, waits for the ledger.
	callLocal
)

// call is a client's call in flight.
type call struct {
	event.ClientCalled
	phase   callPhase
	arrived time.Time
	// retryAt is when a pending call may be routed again.
	retryAt time.Time
	// maybeDone is set once an owner may have carried out the call, so that
	// AnswerRefused would be wrong.
	maybeDone bool
}

func (s *State) onClientCalled(b event.ClientCalled) {
	c := &call{ClientCalled: b, arrived: s.now}
	if len(s.calls) >= maxCallsInFlight {
		s.answerNew(c, effect.CallAnswer{Kind: effect.AnswerRefused, RetryAfter: retryAfter, Reason: reasonOverloaded})
		return
	}
	s.calls[b.Call] = c
	if !b.Forwarded && !s.resolveTarget(c) {
		return
	}
	s.route(c)
}

// resolveTarget sets the queue and the job of a client's call. It answers a call
// that has none and returns false.
func (s *State) resolveTarget(c *call) bool {
	if s.queues == nil {
		s.answer(c, effect.CallAnswer{Kind: effect.AnswerRefused, RetryAfter: retryAfter, Reason: reasonNoConfiguration})
		return false
	}
	queue, rest := s.queues.Find(c.Host, c.Path)
	if queue == nil {
		s.answer(c, effect.CallAnswer{Kind: effect.AnswerNoQueue, Reason: reasonUnknownQueue})
		return false
	}
	c.Queue, c.Version = queue.Name, s.queues.Version
	if c.Kind == effect.CallState && rest == "" {
		c.Kind = effect.CallWaiting
		return true
	}
	if !isJobID(rest) {
		s.answer(c, effect.CallAnswer{Kind: effect.AnswerInvalid, Reason: reasonInvalidID})
		return false
	}
	if c.Kind == effect.CallSubmit && c.Spec == nil {
		s.answer(c, effect.CallAnswer{Kind: effect.AnswerInvalid, Reason: reasonInvalidJob})
		return false
	}
	c.Job = fleet.JobID(rest)
	return true
}

// jobIDLength is the number of hexadecimal digits of a job's id.
const jobIDLength = 16

func isJobID(id string) bool {
	if len(id) != jobIDLength {
		return false
	}
	for _, r := range id {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') && (r < 'A' || r > 'F') {
			return false
		}
	}
	return true
}

// route serves a call at this entry if it is the owner, forwards the call to the
// owner, or holds it until either is possible.
func (s *State) route(c *call) {
	if s.queues == nil || s.queues.Version < c.Version {
		s.holdCall(c)
		return
	}
	if s.ownership != nil {
		if s.ownership.phase != phaseActive {
			s.holdCall(c)
			return
		}
		c.phase = callLocal
		s.ownership.serve(c)
		return
	}
	if c.Forwarded {
		s.answer(c, effect.CallAnswer{Kind: effect.AnswerNotOwner})
		return
	}
	newest := s.tenure.Newest()
	if newest.Epoch == 0 || newest.Released || newest.Owner == s.cfg.Entry {
		s.holdCall(c)
		return
	}
	c.phase = callForwarded
	s.emit(effect.Forward{
		Call: c.Call, Address: newest.Address, Kind: c.Kind, Queue: c.Queue, Version: c.Version,
		Job: c.Job, Spec: c.Spec, Timeout: s.answerDeadline(c).Sub(s.now),
	})
}

// answerDeadline returns the time by which a call has to be answered.
func (s *State) answerDeadline(c *call) time.Time {
	limit := answerTimeout
	if c.Timeout > 0 {
		limit = min(limit, c.Timeout)
	}
	return c.arrived.Add(limit)
}

// holdCall makes a call wait until it can be routed.
func (s *State) holdCall(c *call) {
	c.phase = callPending
	c.retryAt = s.now.Add(forwardRetryDelay)
	s.pendingCalls = append(s.pendingCalls, c)
}

// routePending routes the pending calls again, once their retry delay has passed.
func (s *State) routePending() {
	if len(s.pendingCalls) == 0 {
		return
	}
	due := s.pendingCalls
	s.pendingCalls = nil
	for _, c := range due {
		switch {
		case s.calls[c.Call] != c || c.phase != callPending:
			// already answered
		case s.now.Before(c.retryAt):
			s.pendingCalls = append(s.pendingCalls, c)
		default:
			s.route(c)
		}
	}
}

func (s *State) onForwardFinished(b event.ForwardFinished) {
	c, ok := s.calls[b.Call]
	if !ok || c.phase != callForwarded {
		return
	}
	if !b.Failed && b.Answer.Kind != effect.AnswerNotOwner {
		s.unreachableEpoch = 0
		if c.maybeDone && b.Answer.Kind == effect.AnswerRefused {
			// An earlier owner may have stored the job that this owner refused.
			b.Answer.Kind = effect.AnswerUnknown
		}
		s.answer(c, b.Answer)
		return
	}
	c.maybeDone = c.maybeDone || (b.Failed && b.Sent)
	s.unreachableEpoch = s.tenure.Newest().Epoch
	if b.Failed && !b.Sent {
		s.tenure.Suspect(s.tenure.Newest().Epoch)
	}
	s.count("forwards_failed", effect.Reason(b.Reason))
	s.emit(effect.ReadTenure{})
	s.holdCall(c)
}

func (s *State) onClientGone(b event.ClientGone) {
	if c, ok := s.calls[b.Call]; ok {
		delete(s.calls, b.Call)
		s.logDecision(effect.Decision{Name: "client gone", Job: c.Job, Queue: c.Queue, Age: s.now.Sub(c.arrived)})
	}
}

// expireCalls answers the calls that have waited too long.
func (s *State) expireCalls() {
	for _, c := range s.callsByAge() {
		if c.phase == callPending && s.now.Sub(c.arrived) >= ownerWaitLimit || !s.now.Before(s.answerDeadline(c)) {
			s.timeOut(c)
		}
	}
}

// timeOut answers a call that has waited too long. The answer is a refusal only if
// no owner can have carried out the call.
func (s *State) timeOut(c *call) {
	reason := reasonNoOwner
	switch c.phase {
	case callLocal:
		reason = reasonStoreDown
	case callForwarded:
		reason, c.maybeDone = reasonNoAnswer, true
	case callPending:
	}
	if c.maybeDone || c.phase == callLocal {
		s.answer(c, effect.CallAnswer{Kind: effect.AnswerUnknown, Reason: reason})
		return
	}
	s.answer(c, effect.CallAnswer{Kind: effect.AnswerRefused, RetryAfter: retryAfter, Reason: reason})
}

// callsByAge returns the calls in flight, oldest first.
func (s *State) callsByAge() []*call {
	calls := make([]*call, 0, len(s.calls))
	for _, c := range s.calls {
		calls = append(calls, c)
	}
	slices.SortFunc(calls, func(a, b *call) int { return int(int64(a.Call) - int64(b.Call)) })
	return calls
}

var callNames = map[effect.CallKind]string{
	effect.CallSubmit: "submit", effect.CallState: "state", effect.CallCancel: "cancel", effect.CallWaiting: "waiting",
}

var answerNames = map[effect.AnswerKind]string{
	effect.AnswerAccepted: "accepted", effect.AnswerState: "state", effect.AnswerCancelled: "cancelled",
	effect.AnswerWaiting: "waiting", effect.AnswerNoQueue: "no queue", effect.AnswerNoJob: "no job",
	effect.AnswerRefused: "refused", effect.AnswerUnknown: "unknown", effect.AnswerInvalid: "invalid",
	effect.AnswerNotOwner: "not owner",
}

// answerNew answers a call that is not registered yet.
func (s *State) answerNew(c *call, a effect.CallAnswer) {
	s.calls[c.Call] = c
	s.answer(c, a)
}

// answer answers a call and removes it. Successful reads of a job's state and of
// the number of waiting jobs are counted but not logged, because they are frequent
// and involve no decision.
func (s *State) answer(c *call, a effect.CallAnswer) {
	delete(s.calls, c.Call)
	s.emit(effect.ReplyCall{Call: c.Call, Answer: a})
	if c.Forwarded {
		return
	}
	s.count("calls_"+callNames[c.Kind], effect.Reason(answerNames[a.Kind]))
	s.emit(effect.Observe{Name: "call_" + callNames[c.Kind], Duration: s.now.Sub(c.arrived)})
	if a.Kind == effect.AnswerState || a.Kind == effect.AnswerWaiting {
		return
	}
	s.logDecision(effect.Decision{
		Name: callNames[c.Kind], Job: c.Job, Queue: c.Queue, Outcome: answerNames[a.Kind], Reason: a.Reason,
		Version: c.Version, Epoch: s.tenure.Newest().Epoch, Age: s.now.Sub(c.arrived),
	})
}
