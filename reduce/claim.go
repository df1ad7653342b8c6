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

// DefaultClaimInterval is the least time between two groups of claims. Nine
// entries then append fewer than 300 groups a second together.
const DefaultClaimInterval = time.Second / 30

// cutOffAfter is how long an entry may hear nothing from the claims stream
// before it refuses non-idempotent requests at once. It is longer than one
// read waits at the log for new records.
const cutOffAfter = 10 * time.Second

// claiming is the part of the state that keeps non-idempotent requests from
// running twice.
type claiming struct {
	fold   *claims.Fold
	outbox *claims.Outbox
	// own holds this entry's claims by scope, until they have an outcome.
	own map[claims.Scope]stake
	// waiting holds requests whose scope is claimed for another request.
	waiting map[claims.Scope][]fleet.RequestID
	// marker is the group that ends the catching up of a starting entry.
	marker   fleet.RecordID
	caughtUp bool
	// heard is the time of the last successful read.
	heard time.Time
	open  bool
	flush timer.Timer
	watch timer.Timer
}

// stake is a claim of a request of this entry.
type stake struct {
	request fleet.RequestID
	ref     claims.Ref
}

// Owners of the timers of claiming.
type (
	claimFlush struct{}
	claimWatch struct{}
)

func newClaiming(cfg Config) *claiming {
	interval := cfg.ClaimInterval
	if interval == 0 {
		interval = DefaultClaimInterval
	}
	return &claiming{
		fold:    claims.NewFold(),
		outbox:  claims.NewOutbox(cfg.Entry, cfg.Incarnation, interval),
		own:     make(map[claims.Scope]stake),
		waiting: make(map[claims.Scope][]fleet.RequestID),
	}
}

func scopeOf(r *requests.Request) claims.Scope {
	return claims.Scope{Service: r.Service.Name, Member: r.Member, Key: r.Key}
}

// checkKey checks the idempotency key of a request for a service that needs
// one.
func (s *State) checkKey(svc *fleet.Service, key fleet.Key) fleet.Reason {
	if svc.Idempotent {
		return fleet.ReasonNone
	}
	if key == "" {
		return fleet.ReasonKeyMissing
	}
	made, err := key.Time()
	switch {
	case err != nil:
		return fleet.ReasonKeyMalformed
	case made.After(s.now.Add(claims.MaxSkew)):
		return fleet.ReasonKeyFromFuture
	case s.now.Sub(made) > claims.MaxKeyAge:
		return fleet.ReasonKeyExpired
	default:
		return fleet.ReasonNone
	}
}

// claim begins a non-idempotent request.
func (s *State) claim(r *requests.Request) {
	r.Phase = requests.Claiming
	if !s.canClaim() {
		s.refuseRequest(r, fleet.ReasonLogUnavailable)
		return
	}
	s.consult(r)
}

// canClaim reports whether this entry follows the claims stream.
func (s *State) canClaim() bool {
	return s.claiming.caughtUp && s.now.Sub(s.claiming.heard) < cutOffAfter
}

// consult decides by the log what becomes of a request without a claim.
func (s *State) consult(r *requests.Request) {
	r.DuplicateRun = requests.NoDuplicateRun
	made, err := r.Key.Time()
	if err != nil || !s.claiming.fold.Covers(made) {
		s.doubt(r)
		return
	}
	k := s.claiming.fold.Lookup(scopeOf(r))
	switch {
	case k.Status == claims.StatusFree:
		s.stake(r)
	case k.BodyHash != r.BodyHash:
		s.refuseRequest(r, fleet.ReasonKeyReused)
	case k.Status == claims.StatusAnswered:
		s.replay(r, k)
	case k.Status == claims.StatusInDoubt || k.IsLapsed(s.now):
		s.doubt(r)
	default:
		s.waitForOutcome(r)
	}
}

// doubt refuses a request whose key may have run elsewhere.
func (s *State) doubt(r *requests.Request) {
	r.DuplicateRun = requests.DuplicateMayHaveRun
	s.refuseRequest(r, fleet.ReasonInDoubt)
}

// waitForOutcome keeps a request until the claim of its scope has an outcome.
func (s *State) waitForOutcome(r *requests.Request) {
	r.DuplicateRun = requests.DuplicateMayHaveRun
	scope := scopeOf(r)
	s.claiming.waiting[scope] = append(s.claiming.waiting[scope], r.ID)
}

// stake claims the scope of a request, unless another request of this entry
// has a claim on its way. An overloaded queue refuses it before it costs the log
// anything.
func (s *State) stake(r *requests.Request) {
	scope := scopeOf(r)
	if st, ok := s.claiming.own[scope]; ok {
		first, known := s.requests.Get(st.request)
		if known && first.BodyHash != r.BodyHash {
			s.refuseRequest(r, fleet.ReasonKeyReused)
			return
		}
		s.waitForOutcome(r)
		return
	}
	if s.refuseIfOverloaded(r, placementAsk(r)) {
		return
	}
	record := s.claiming.outbox.Add(claims.Claim{Scope: scope, BodyHash: r.BodyHash, Deadline: r.Deadline})
	s.countClaim(effect.ClaimsMade, r)
	s.claiming.own[scope] = stake{request: r.ID, ref: claims.Ref{Scope: scope, Record: record}}
}

// revisit follows a change of a scope in the log.
func (s *State) revisit(scope claims.Scope) {
	if st, ok := s.claiming.own[scope]; ok {
		s.revisitOwn(st)
	}
	s.revisitWaiting(scope)
}

func (s *State) revisitWaiting(scope claims.Scope) {
	ids := s.claiming.waiting[scope]
	delete(s.claiming.waiting, scope)
	for _, id := range ids {
		if r, ok := s.requests.Get(id); ok {
			s.consult(r)
		}
	}
}

// revisitOwn decides a claim of this entry once it has been read back.
func (s *State) revisitOwn(st stake) {
	r, ok := s.requests.Get(st.request)
	if !ok || r.Fence != 0 || s.claiming.outbox.IsPending(st.ref.Record) {
		return
	}
	k := s.claiming.fold.Lookup(st.ref.Scope)
	if k.Status == claims.StatusClaimed && k.Record == st.ref.Record {
		s.claimed(r, k.Offset)
		return
	}
	delete(s.claiming.own, st.ref.Scope)
	s.consult(r)
}

// claimed queues a request whose claim is the first of its key. A key that
// came near the end of its retention meanwhile is not run: an earlier claim of
// it may have been forgotten.
func (s *State) claimed(r *requests.Request, at fleet.Offset) {
	r.Fence = at
	made, err := r.Key.Time()
	switch {
	case err != nil || !s.claiming.fold.Covers(made):
		s.doubt(r)
	case s.now.Sub(made) > claims.MaxKeyAge+claims.MaxSkew:
		s.refuseRequest(r, fleet.ReasonKeyExpired)
	case s.now.Before(r.Deadline):
		s.enqueue(r)
	}
}

// leaveClaim gives the claim of a request that ends its outcome.
func (s *State) leaveClaim(r *requests.Request) {
	if r.Service.Idempotent {
		return
	}
	scope := scopeOf(r)
	s.stopWaiting(scope, r.ID)
	st, ok := s.claiming.own[scope]
	if !ok || st.request != r.ID {
		return
	}
	delete(s.claiming.own, scope)
	switch {
	case r.MayHaveRun || r.InFlight():
		s.claiming.outbox.Add(claims.InDoubt{Ref: st.ref})
		s.countClaim(effect.ClaimsInDoubt, r)
	case s.claiming.outbox.Withdraw(st.ref):
		s.revisitWaiting(scope)
	default:
		s.claiming.outbox.Add(claims.Released{Ref: st.ref})
		s.countClaim(effect.ClaimsReleased, r)
	}
}

func (s *State) countClaim(name effect.Counter, r *requests.Request) {
	s.emit(effect.Count{Name: name, Service: r.Service.Name, N: 1})
}

func (s *State) stopWaiting(scope claims.Scope, id fleet.RequestID) {
	ids, ok := s.claiming.waiting[scope]
	if !ok {
		return
	}
	ids = slices.DeleteFunc(ids, func(other fleet.RequestID) bool { return other == id })
	if len(ids) == 0 {
		delete(s.claiming.waiting, scope)
		return
	}
	s.claiming.waiting[scope] = ids
}

// claimReason says why a request ended at its deadline.
func (s *State) claimReason(r *requests.Request) fleet.Reason {
	switch {
	case r.Phase != requests.Claiming || r.Fence != 0 || r.DuplicateRun == requests.DuplicateRan:
		return fleet.ReasonDeadline
	case r.DuplicateRun == requests.DuplicateMayHaveRun:
		return fleet.ReasonInDoubt
	default:
		return fleet.ReasonLogUnavailable
	}
}

// claimAnswered records the answer of a claimed request, and gives it to the
// requests of this entry that wait for it.
func (s *State) claimAnswered(r *requests.Request, ev event.AttemptFinished) {
	if !s.recordAnswer(r, ev) {
		return
	}
	scope := scopeOf(r)
	ids := s.claiming.waiting[scope]
	delete(s.claiming.waiting, scope)
	for _, id := range ids {
		other, ok := s.requests.Get(id)
		if !ok {
			continue
		}
		s.answer(other, ev)
	}
}

// claimAbandoned records how the attempt of a request ended whose caller was
// told before.
func (s *State) claimAbandoned(r *requests.Request, ev event.AttemptFinished) {
	if ev.Outcome == event.AttemptAnswered {
		s.recordAnswer(r, ev)
	}
}

// recordAnswer reports whether the request had a claim without an outcome.
func (s *State) recordAnswer(r *requests.Request, ev event.AttemptFinished) bool {
	if r.Service.Idempotent {
		return false
	}
	st, ok := s.claiming.own[scopeOf(r)]
	if !ok || st.request != r.ID {
		return false
	}
	delete(s.claiming.own, st.ref.Scope)
	s.emit(effect.KeepAnswer{Attempt: ev.Attempt, Claim: st.ref})
	s.claiming.outbox.Add(claims.Answered{Ref: st.ref, Kept: true})
	return true
}

// replay gives a request the answer that its key got before.
func (s *State) replay(r *requests.Request, k claims.KeyState) {
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
