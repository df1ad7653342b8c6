package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/admission"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

const (
	// ownerWaitLimit is how long a read waits for an owner. It covers a takeover
	// after a release, which takes a tenth of a second. A takeover after a crash
	// takes longer; the client then has to repeat the read.
	ownerWaitLimit = 900 * time.Millisecond
	// answerTimeout is how long a read waits for its answer, and how long another
	// call does if its client gave no time limit. A client with the usual limit of
	// three seconds has time left for a retry.
	answerTimeout = 1500 * time.Millisecond
	// stopAnswerTimeout is the time after the request to stop by which the calls that came
	// before it are answered. A process serves for longer than that, and
	// for longer than answerTimeout after its last call.
	stopAnswerTimeout = 3 * time.Second
	// forwardTimeout is how long a forwarded call waits for its answer: the owner may
	// have failed.
	forwardTimeout = 1500 * time.Millisecond
	// answerMargin is the part of a client's time limit that is left for the way of
	// the answer.
	answerMargin = 100 * time.Millisecond
	// forwardRetryDelay is the delay before a call is forwarded again.
	forwardRetryDelay = 120 * time.Millisecond
	// retryAfter is the retry delay in refusals. It is about the time that a
	// takeover takes beyond ownerWaitLimit.
	retryAfter = time.Second
	// maxCallsInFlight and maxCallBytes limit the memory for calls in flight.
	maxCallsInFlight = 4000
	maxCallBytes     = 16 << 20
)

// Reasons in answers to clients.
const (
	reasonNoOwner      effect.Reason = "no owner"
	reasonCutOff       effect.Reason = "cut off from the store and the owner"
	reasonStoreDown    effect.Reason = "the store does not answer"
	reasonOverloaded   effect.Reason = "too much in hand"
	reasonOwnerSlow    effect.Reason = "the owner is slow"
	reasonExpired      effect.Reason = "the client's time limit had passed"
	reasonNoAnswer     effect.Reason = "the owner did not answer"
	reasonUnknownQueue effect.Reason = "no such queue"
	reasonInvalidID    effect.Reason = "not a job id"
	reasonInvalidJob   effect.Reason = "not a job"
	reasonTooLarge     effect.Reason = "the job is too large to be stored"
)

type callPhase uint8

const (
	// callPending means that the call waits for an owner or a configuration.
	callPending callPhase = iota + 1
	callForwarded
	// callLocal means that this entry, as the owner, waits for the ledger.
	callLocal
	// callHeld means that this entry, as the owner, waits for the store before it does
	// anything.
	callHeld
)

// call is a client's call in flight.
type call struct {
	event.ClientCalled
	phase   callPhase
	arrived time.Time
	// retryAt is when a pending call may be routed again.
	retryAt time.Time
	// forwardedAt is when the call was last forwarded.
	forwardedAt time.Time
	timer       timer.Timer
	// maybeDone is set once an owner may have carried out the call, so that
	// AnswerRefused would be wrong.
	maybeDone bool
}

func (s *State) onClientCalled(b event.ClientCalled) {
	c := &call{ClientCalled: b, arrived: s.now}
	if !fleet.UsableKey(c.Key) {
		c.Key = "" // decided as a missing one
	}
	if !b.Received.IsZero() {
		c.arrived = b.Received
		s.lag.Observe(s.now, s.now.Sub(b.Received))
	}
	switch {
	case len(s.calls) >= maxCallsInFlight || s.callBytes+c.size() > maxCallBytes:
		s.answerNew(c, c.declined(reasonOverloaded))
		return
	case c.Timeout > 0 && s.now.Sub(c.arrived) >= c.Timeout:
		// Nobody waits for the answer any more.
		s.answerNew(c, c.declined(reasonExpired))
		return
	}
	s.addCall(c)
	s.route(c)
}

// declined returns the answer to a call with which this entry does nothing. An earlier
// try of a submit may be stored, so only the owner can say that the job never runs.
func (c *call) declined(reason effect.Reason) effect.CallAnswer {
	if c.Kind == effect.CallSubmit {
		return effect.CallAnswer{Kind: effect.AnswerUnknown, Reason: reason}
	}
	return effect.CallAnswer{Kind: effect.AnswerRefused, RetryAfter: retryAfter, Reason: reason}
}

// addCall adds a call to those in flight.
func (s *State) addCall(c *call) {
	s.calls[c.Call] = c
	s.callBytes += c.size()
	s.callTimers.Set(&c.timer, s.callDue(c), c)
}

// removeCall removes a call from those in flight.
func (s *State) removeCall(c *call) {
	if s.calls[c.Call] == c {
		delete(s.calls, c.Call)
		s.callBytes -= c.size()
		s.callTimers.Clear(&c.timer)
	}
}

// stepSize is about the memory that a step of a job takes, in bytes.
const stepSize = 200

// size returns about the memory of what the client sent, in bytes.
func (c *call) size() int {
	n := len(c.Path) + len(c.Key)
	if c.Spec != nil {
		n += len(c.Spec.Text) + stepSize*len(c.Spec.Steps)
	}
	return n
}

// class returns the class of the call for the limit of calls to the owner.
func (c *call) class() admission.Class {
	switch c.Kind {
	case effect.CallCancel:
		return admission.ClassCancel
	case effect.CallSubmit:
		return admission.ClassSubmit
	default:
		return admission.ClassRead
	}
}

// resolveTarget sets the queue and the job of a client's call, and the tenant by its key. It
// answers a call that has none and returns false. What this entry cannot decide, since its
// configuration is missing or may be out of date, stays open; c.Verified is not set then.
func (s *State) resolveTarget(c *call) bool {
	if s.queues == nil {
		return true
	}
	queue, rest := s.queues.Find(c.Host, c.Path)
	c.Queue, c.Version = "", s.queues.Version
	if queue == nil {
		if s.access.MayDeny(s.now, &s.queues.Tenants) {
			s.deny(c, effect.CallAnswer{Kind: effect.AnswerNoQueue, Reason: reasonUnknownQueue})
			return false
		}
		return true
	}
	c.Queue = queue.Name
	return s.authorize(c, queue) && s.resolveJob(c, rest)
}

// resolveJob sets the job of a call by the part of its path after the queue's. It answers a
// call that has none and returns false.
func (s *State) resolveJob(c *call, rest string) bool {
	if rest == "" && (c.Kind == effect.CallState || c.Kind == effect.CallWaiting) {
		c.Kind = effect.CallWaiting
		return true
	}
	if !isJobID(rest) {
		s.answer(c, effect.CallAnswer{Kind: effect.AnswerInvalid, Reason: reasonInvalidID})
		return false
	}
	if c.Kind == effect.CallSubmit && c.Spec == nil {
		s.answer(c, effect.CallAnswer{Kind: effect.AnswerInvalid, Reason: cmp.Or(effect.Reason(c.Fault), reasonInvalidJob)})
		return false
	}
	c.Job = fleet.JobID(rest)
	if c.Kind == effect.CallSubmit && !s.storable(c) {
		s.answer(c, effect.CallAnswer{Kind: effect.AnswerInvalid, Reason: reasonTooLarge})
		return false
	}
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
	if !c.Forwarded && !c.Verified && !s.resolveTarget(c) {
		return
	}
	if s.ownership != nil {
		s.routeAtOwner(c)
		return
	}
	if c.Forwarded {
		kind := effect.AnswerNotOwner
		if c.maybeDone {
			kind = effect.AnswerUnknown // the ledger may hold it
		}
		s.answer(c, effect.CallAnswer{Kind: kind, Reason: reasonNoOwner})
		return
	}
	if s.isCutOff() {
		if !c.Verified {
			s.answer(c, c.undecided())
			return
		}
		// Another entry serves the client's next try. An earlier try may be stored, so this
		// is no refusal.
		s.answer(c, effect.CallAnswer{Kind: effect.AnswerUnknown, Reason: reasonCutOff})
		return
	}
	newest := s.tenure.Newest()
	if newest.Epoch == 0 || newest.Released || newest.Owner == s.cfg.Entry {
		s.holdCall(c)
		return
	}
	if !c.maybeDone && !s.limiter.Allows(c.class()) {
		s.answer(c, effect.CallAnswer{
			Kind: effect.AnswerRefused, RetryAfter: admission.RetryAfter(s.limiter.Delay(), string(c.Job)), Reason: reasonOwnerSlow,
		})
		return
	}
	s.forward(c, newest.Address)
}

// forward forwards a call to the owner.
func (s *State) forward(c *call, address string) {
	c.phase, c.forwardedAt = callForwarded, s.now
	s.limiter.Sent()
	f := effect.Forward{
		Call: c.Call, Address: address, Kind: c.Kind, Queue: c.Queue, Version: c.Version,
		Job: c.Job, Spec: c.Spec, Key: c.Key, Verified: c.Verified, Tenant: c.Tenant, Timeout: min(forwardTimeout, s.answerDeadline(c).Sub(s.now)),
	}
	if c.Queue == "" {
		f.Host, f.Path = c.Host, c.Path
	}
	if !c.Verified {
		s.count("calls_undecided", reasonKeysOutdated)
	}
	s.emit(f)
}

// routeAtOwner serves a call at this entry, the owner, or holds it until that is possible.
func (s *State) routeAtOwner(c *call) {
	switch {
	case s.ownership.phase != phaseActive || s.queues == nil:
		s.holdCall(c)
	case s.queues.Version < c.Version && s.access.MayDeny(s.now, &s.queues.Tenants):
		s.holdCall(c) // until the version is read
	case c.Queue == "" && !s.resolveTarget(c):
		// already answered
	case s.authorizeAtOwner(c):
		c.phase = callLocal
		s.ownership.serve(c)
	}
}

// answerDeadline returns the time by which a call has to be answered. While the entry stops,
// no call waits for longer than the process lasts.
func (s *State) answerDeadline(c *call) time.Time {
	due := s.usualDeadline(c)
	if !s.stopping {
		return due
	}
	last := latest(c.arrived.Add(answerTimeout), s.stopRequestedAt.Add(stopAnswerTimeout))
	if last.Before(due) {
		return last
	}
	return due
}

// usualDeadline returns the time by which a call has to be answered if the entry does not
// stop. A call that changes something may wait as long as its client does: this entry
// forwards it again as often as the client would send it.
func (s *State) usualDeadline(c *call) time.Time {
	switch {
	case c.Timeout == 0:
		return c.arrived.Add(answerTimeout)
	case c.class() == admission.ClassRead:
		return c.arrived.Add(min(answerTimeout, c.Timeout))
	default:
		return c.arrived.Add(max(c.Timeout-answerMargin, c.Timeout/2))
	}
}

// callDue returns the time at which a call has waited too long in its phase.
func (s *State) callDue(c *call) time.Time {
	due := s.answerDeadline(c)
	if limit := c.arrived.Add(ownerWaitLimit); c.phase == callPending && c.class() == admission.ClassRead && limit.Before(due) {
		return limit
	}
	return due
}

// holdCall makes a call wait until it can be routed.
func (s *State) holdCall(c *call) {
	c.phase = callPending
	c.retryAt = s.now.Add(forwardRetryDelay)
	s.pendingCalls = append(s.pendingCalls, c)
	s.callTimers.Set(&c.timer, s.callDue(c), c)
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

func (s *State) onClientGone(b event.ClientGone) {
	if c, ok := s.calls[b.Call]; ok {
		s.removeCall(c)
		s.logDecision(effect.Decision{Name: "client gone", Job: c.Job, Queue: c.Queue, Age: s.now.Sub(c.arrived)})
	}
}

// expireCalls answers the calls that have waited too long.
func (s *State) expireCalls() {
	for {
		owner, ok := s.callTimers.Pop(s.now)
		if !ok {
			return
		}
		c, isCall := owner.(*call)
		if !isCall {
			continue // the heap holds calls only
		}
		if due := s.callDue(c); s.now.Before(due) {
			s.callTimers.Set(&c.timer, due, c)
			continue
		}
		s.timeOut(c)
	}
}

// timeOut answers a call that has waited too long. The answer is a refusal only if
// no owner can have carried out the call.
func (s *State) timeOut(c *call) {
	reason := reasonNoOwner
	switch c.phase {
	case callLocal, callHeld:
		reason = reasonStoreDown
	case callForwarded:
		reason, c.maybeDone = reasonNoAnswer, true
	case callPending:
	}
	switch {
	case !c.Forwarded && !c.Verified:
		s.answer(c, c.undecided())
	case c.maybeDone || c.phase == callLocal:
		s.answer(c, effect.CallAnswer{Kind: effect.AnswerUnknown, Reason: reason})
	case c.phase == callHeld:
		s.answer(c, effect.CallAnswer{Kind: effect.AnswerRefused, RetryAfter: retryAfter, Reason: reason})
	default:
		s.answer(c, c.declined(reason))
	}
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
	effect.AnswerNotOwner: "not owner", effect.AnswerUnauthorized: "denied",
}

// answerNew answers a call that is not registered yet.
func (s *State) answerNew(c *call, a effect.CallAnswer) {
	s.addCall(c)
	s.answer(c, a)
}

// answer answers a call and removes it. Successful reads of a job's state and of
// the number of waiting jobs are counted but not logged, because they are frequent
// and involve no decision.
func (s *State) answer(c *call, a effect.CallAnswer) {
	s.removeCall(c)
	if c.Forwarded {
		a.Delay = s.lag.At(s.now)
		s.emit(effect.ReplyCall{Call: c.Call, Answer: a})
		return
	}
	s.emit(effect.ReplyCall{Call: c.Call, Answer: a})
	s.count("calls_"+callNames[c.Kind], effect.Reason(answerNames[a.Kind]))
	s.emit(effect.Observe{Name: "call_" + callNames[c.Kind], Duration: s.now.Sub(c.arrived)})
	switch a.Kind {
	case effect.AnswerState, effect.AnswerWaiting:
		return
	case effect.AnswerUnauthorized:
		s.denials.add(s, c)
		return
	default:
	}
	s.logDecision(effect.Decision{
		Name: callNames[c.Kind], Job: c.Job, Queue: c.Queue, Outcome: answerNames[a.Kind], Reason: a.Reason,
		Version: c.Version, Epoch: s.tenure.Newest().Epoch, Age: s.now.Sub(c.arrived),
	})
}
