package reduce

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/claims"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/requests"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

// DefaultClaimInterval is the minimum time between two groups of claims. With
// it, nine entries together append fewer than 300 groups a second.
const DefaultClaimInterval = time.Second / 30

// claimReadTimeout is the time since the last successful read of the claims
// stream after which an entry refuses non-idempotent requests at once. It is
// longer than a read waits at the log for new records.
const claimReadTimeout = 10 * time.Second

// claimState is the part of the state that prevents non-idempotent requests
// from running twice.
type claimState struct {
	fold   *claims.Fold
	outbox *claims.Outbox
	// own holds this entry's claims without an outcome, by scope.
	own map[claims.Scope]ownClaim
	// waiting holds the requests whose scope is claimed for another request.
	waiting map[claims.Scope][]fleet.RequestID
	// marker is the group that ends the catch-up of a starting entry once it is
	// read back.
	marker   fleet.RecordID
	caughtUp bool
	// lastRead is the time of the last successful read.
	lastRead time.Time
	// reportedOpen is the value of the last SetClaims effect.
	reportedOpen bool
	flushTimer   timer.Timer
	readTimer    timer.Timer
}

// ownClaim is a claim of a request of this entry.
type ownClaim struct {
	request fleet.RequestID
	ref     claims.Ref
}

// Timer owners of claimState.
type (
	claimFlushTimer struct{}
	claimReadTimer  struct{}
)

func newClaimState(cfg Config) *claimState {
	interval := cfg.ClaimInterval
	if interval == 0 {
		interval = DefaultClaimInterval
	}
	return &claimState{
		fold:    claims.NewFold(),
		outbox:  claims.NewOutbox(cfg.Entry, cfg.Incarnation, interval),
		own:     make(map[claims.Scope]ownClaim),
		waiting: make(map[claims.Scope][]fleet.RequestID),
	}
}

func scopeOf(r *requests.Request) claims.Scope {
	return claims.Scope{Service: r.Service.Name, Member: r.Member, Key: r.Key}
}

// checkKey checks the idempotency key of a request, if its service needs one.
func (s *State) checkKey(svc *fleet.Service, key fleet.Key) fleet.Reason {
	if svc.Idempotent {
		return fleet.ReasonNone
	}
	if key == "" {
		return fleet.ReasonKeyMissing
	}
	created, err := key.Time()
	switch {
	case err != nil:
		return fleet.ReasonKeyMalformed
	case created.After(s.now.Add(claims.MaxSkew)):
		return fleet.ReasonKeyFromFuture
	case s.now.Sub(created) > claims.MaxKeyAge:
		return fleet.ReasonKeyExpired
	default:
		return fleet.ReasonNone
	}
}

// startClaim begins a non-idempotent request, which may run only with a claim
// of its key.
func (s *State) startClaim(r *requests.Request) {
	r.Phase = requests.Claiming
	if !s.canClaim() {
		s.refuseRequest(r, fleet.ReasonLogUnavailable)
		return
	}
	s.resolveByLog(r)
}

// canClaim reports whether this entry has caught up with the claims stream and
// still reads it.
func (s *State) canClaim() bool {
	return s.claims.caughtUp && s.now.Sub(s.claims.lastRead) < claimReadTimeout
}

// resolveByLog decides how to proceed with a request without a claim, by the
// state of its key in the log.
func (s *State) resolveByLog(r *requests.Request) {
	r.DuplicateRun = requests.NoDuplicateRun
	created, err := r.Key.Time()
	if err != nil || !s.claims.fold.Covers(created) {
		s.refuseInDoubt(r)
		return
	}
	k := s.claims.fold.Lookup(scopeOf(r))
	switch {
	case k.Status == claims.StatusFree:
		s.addClaim(r)
	case k.BodyHash != r.BodyHash:
		s.refuseRequest(r, fleet.ReasonKeyReused)
	case k.Status == claims.StatusAnswered:
		s.replayAnswer(r, k)
	case k.Status == claims.StatusInDoubt || k.IsLapsed(s.now):
		s.refuseInDoubt(r)
	default:
		s.waitForOutcome(r)
	}
}

// refuseInDoubt refuses a request whose key may have run elsewhere.
func (s *State) refuseInDoubt(r *requests.Request) {
	r.DuplicateRun = requests.DuplicateMayHaveRun
	s.refuseRequest(r, fleet.ReasonInDoubt)
}

// waitForOutcome keeps a request until the claim of its scope has an outcome.
func (s *State) waitForOutcome(r *requests.Request) {
	r.DuplicateRun = requests.DuplicateMayHaveRun
	scope := scopeOf(r)
	s.claims.waiting[scope] = append(s.claims.waiting[scope], r.ID)
}

// addClaim claims the scope of a request, unless another request of this entry
// has a claim in flight. A request whose queue is overloaded is refused first,
// so that it costs the log no append.
func (s *State) addClaim(r *requests.Request) {
	scope := scopeOf(r)
	if own, ok := s.claims.own[scope]; ok {
		first, known := s.requests.Get(own.request)
		if known && first.BodyHash != r.BodyHash {
			s.refuseRequest(r, fleet.ReasonKeyReused)
			return
		}
		s.waitForOutcome(r)
		return
	}
	if s.refuseIfOverloaded(r, placementRequest(r)) {
		return
	}
	record := s.claims.outbox.Add(claims.Claim{Scope: scope, BodyHash: r.BodyHash, Deadline: r.Deadline})
	s.countClaim(effect.ClaimsMade, r)
	s.claims.own[scope] = ownClaim{request: r.ID, ref: claims.Ref{Scope: scope, Record: record}}
}

// onScopeChanged handles a change of a scope in the log.
func (s *State) onScopeChanged(scope claims.Scope) {
	if own, ok := s.claims.own[scope]; ok {
		s.resolveOwn(own)
	}
	s.resolveWaiting(scope)
}

func (s *State) resolveWaiting(scope claims.Scope) {
	ids := s.claims.waiting[scope]
	delete(s.claims.waiting, scope)
	for _, id := range ids {
		if r, ok := s.requests.Get(id); ok {
			s.resolveByLog(r)
		}
	}
}

// resolveOwn decides how the request of one of this entry's claims proceeds,
// once the claim has been read back.
func (s *State) resolveOwn(own ownClaim) {
	r, ok := s.requests.Get(own.request)
	if !ok || r.Fence != 0 || s.claims.outbox.IsPending(own.ref.Record) {
		return
	}
	k := s.claims.fold.Lookup(own.ref.Scope)
	if k.Status == claims.StatusClaimed && k.Record == own.ref.Record {
		s.onClaimAccepted(r, k.Offset)
		return
	}
	delete(s.claims.own, own.ref.Scope)
	s.resolveByLog(r)
}

// onClaimAccepted queues a request whose claim is the first of its key. A
// request whose key has exceeded its maximum age since is refused, because an
// earlier claim of the key may have been removed from the fold.
func (s *State) onClaimAccepted(r *requests.Request, at fleet.Offset) {
	r.Fence = at
	created, err := r.Key.Time()
	switch {
	case err != nil || !s.claims.fold.Covers(created):
		s.refuseInDoubt(r)
	case s.now.Sub(created) > claims.MaxKeyAge+claims.MaxSkew:
		s.refuseRequest(r, fleet.ReasonKeyExpired)
	case s.now.Before(r.Deadline):
		s.enqueue(r)
	}
}

// endClaim adds the outcome of the claim of a request that ends.
func (s *State) endClaim(r *requests.Request) {
	if r.Service.Idempotent {
		return
	}
	scope := scopeOf(r)
	s.stopWaiting(scope, r.ID)
	own, ok := s.claims.own[scope]
	if !ok || own.request != r.ID {
		return
	}
	delete(s.claims.own, scope)
	switch {
	case r.MayHaveRun || r.InFlight():
		s.claims.outbox.Add(claims.InDoubt{Ref: own.ref})
		s.countClaim(effect.ClaimsInDoubt, r)
	case s.claims.outbox.Withdraw(own.ref):
		s.resolveWaiting(scope)
	default:
		s.claims.outbox.Add(claims.Released{Ref: own.ref})
		s.countClaim(effect.ClaimsReleased, r)
	}
}

func (s *State) countClaim(name effect.Counter, r *requests.Request) {
	s.emit(effect.Count{Name: name, Service: r.Service.Name, N: 1})
}

func (s *State) stopWaiting(scope claims.Scope, id fleet.RequestID) {
	ids, ok := s.claims.waiting[scope]
	if !ok {
		return
	}
	ids = slices.DeleteFunc(ids, func(other fleet.RequestID) bool { return other == id })
	if len(ids) == 0 {
		delete(s.claims.waiting, scope)
		return
	}
	s.claims.waiting[scope] = ids
}

// deadlineReason returns the reason for refusing a request at its deadline
// while it has no attempt in flight.
func (s *State) deadlineReason(r *requests.Request) fleet.Reason {
	switch {
	case r.Phase != requests.Claiming || r.Fence != 0 || r.DuplicateRun == requests.DuplicateRan:
		return fleet.ReasonDeadline
	case r.DuplicateRun == requests.DuplicateMayHaveRun:
		return fleet.ReasonInDoubt
	default:
		return fleet.ReasonLogUnavailable
	}
}

// recordAndShareAnswer records the answer of a claimed request, and gives it to
// the requests of this entry that wait for it.
func (s *State) recordAndShareAnswer(r *requests.Request, ev event.AttemptFinished) {
	if !s.recordAnswer(r, ev) {
		return
	}
	scope := scopeOf(r)
	ids := s.claims.waiting[scope]
	delete(s.claims.waiting, scope)
	for _, id := range ids {
		other, ok := s.requests.Get(id)
		if !ok {
			continue
		}
		s.answer(other, ev)
	}
}

// recordAbandonedAnswer records the answer to a request that was refused before
// its attempt ended.
func (s *State) recordAbandonedAnswer(r *requests.Request, ev event.AttemptFinished) {
	if ev.Outcome == event.AttemptAnswered {
		s.recordAnswer(r, ev)
	}
}

// recordAnswer records the answer of a claimed request. It reports whether the
// request had a claim without an outcome.
func (s *State) recordAnswer(r *requests.Request, ev event.AttemptFinished) bool {
	if r.Service.Idempotent {
		return false
	}
	own, ok := s.claims.own[scopeOf(r)]
	if !ok || own.request != r.ID {
		return false
	}
	delete(s.claims.own, own.ref.Scope)
	s.emit(effect.KeepAnswer{Attempt: ev.Attempt, Claim: own.ref})
	s.claims.outbox.Add(claims.Answered{Ref: own.ref, Kept: true})
	return true
}

// replayAnswer fetches the recorded answer to an earlier request with the same
// key.
func (s *State) replayAnswer(r *requests.Request, k claims.KeyState) {
	r.DuplicateRun = requests.DuplicateRan
	if k.Outcome == 0 {
		s.refuseRequest(r, fleet.ReasonAnswerNotKept)
		return
	}
	s.emit(effect.FetchAnswer{Request: r.ID, Claim: k.Ref(scopeOf(r)), Offset: k.Outcome, Deadline: r.Deadline})
}

func (s *State) onAnswerFetched(ev event.AnswerFetched) {
	r, ok := s.requests.Get(ev.Request)
	switch {
	case !ok || r.Phase != requests.Claiming:
		return
	case ev.Err != nil:
		s.refuseRequest(r, fleet.ReasonLogUnavailable)
	case !ev.Found:
		s.refuseRequest(r, fleet.ReasonAnswerNotKept)
	default:
		s.countClaim(effect.AnswersReplayed, r)
		s.answer(r, event.AttemptFinished{Attempt: r.Attempt()})
	}
}
