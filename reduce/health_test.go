package reduce_test

import (
	"slices"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
)

// blackHole serves requests one after another. The instances in failing fail
// each request that they get, which failedRequests counts.
type blackHole struct {
	*harness
	id             fleet.RequestID
	failing        map[fleet.InstanceID]bool
	failedRequests int
	refused        int
	probes         int
}

func newBlackHole(n int, bad ...fleet.InstanceID) *blackHole {
	b := &blackHole{harness: newHarness(instancesText(n, 8)), failing: map[fleet.InstanceID]bool{}}
	for _, id := range bad {
		b.failing[id] = true
	}
	return b
}

// serve sends n requests at an interval and ends their attempts at once.
func (b *blackHole) serve(n int, interval time.Duration, failure event.AttemptFinished) {
	for range n {
		b.id++
		b.run(b.after(interval, arrived(b.id)), failure)
	}
}

func (b *blackHole) run(out []effect.Effect, failure event.AttemptFinished) {
	b.probes += len(effectsOf[effect.Probe](out))
	b.refused += len(effectsOf[effect.Refuse](out))
	for _, d := range effectsOf[effect.Dispatch](out) {
		ev := ended(d, event.AttemptAnswered)
		ev.Status = 200
		if b.failing[d.Instance] {
			b.failedRequests++
			ev.Outcome, ev.Status, ev.Leaving = failure.Outcome, failure.Status, failure.Leaving
		}
		b.run(b.do(ev), failure)
	}
}

func TestBlackHoleIsEjected(t *testing.T) {
	failures := map[string]event.AttemptFinished{
		"server error": {Outcome: event.AttemptAnswered, Status: 500},
		"broken":       {Outcome: event.AttemptBroken},
		"not sent":     {Outcome: event.AttemptNotSent},
	}
	for name, failure := range failures {
		b := newBlackHole(8, "runner-3")
		b.serve(500, time.Millisecond, failure)
		must.EqOp(t, 5, b.failedRequests, must.Sprint(name))
		must.EqOp(t, 0, b.refused, must.Sprint(name))
	}
}

// The failing instance answers a hundred times faster than the other instances,
// so its slots are always free when one of 64 callers needs one.
func TestFastBlackHoleIsEjectedUnderLoad(t *testing.T) {
	const callers, fast, slow = 64, 100 * time.Microsecond, 10 * time.Millisecond
	type end struct {
		at time.Time
		effect.Dispatch
	}
	h := newHarness(instancesText(8, 8))
	var ends []end
	failedRequests, answers := 0, 0
	take := func(out []effect.Effect) {
		for _, d := range effectsOf[effect.Dispatch](out) {
			took := slow
			if d.Instance == "runner-3" {
				took = fast
				failedRequests++
			}
			ends = append(ends, end{h.now.Add(took), d})
		}
		slices.SortStableFunc(ends, func(a, b end) int { return a.at.Compare(b.at) })
	}
	id := fleet.RequestID(0)
	arrive := func() {
		id++
		take(h.do(arrived(id)))
	}
	for range callers {
		arrive()
	}
	for answers < 2000 {
		e := ends[0]
		ends = ends[1:]
		h.now = e.at
		ev := ended(e.Dispatch, event.AttemptAnswered)
		ev.Status, ev.Elapsed = 200, slow
		if e.Instance == "runner-3" {
			ev.Status, ev.Elapsed = 500, fast
		}
		take(h.do(ev))
		answers++
		arrive()
	}
	must.EqOp(t, 8, failedRequests)
}

func TestBlackHoleThatRefusesIsPaused(t *testing.T) {
	b := newBlackHole(8, "runner-3")
	b.serve(1000, time.Millisecond, event.AttemptFinished{Outcome: event.AttemptRefused})
	must.Between(t, 5, b.failedRequests, 10)
	must.EqOp(t, 0, b.refused)
}

// An endpoint that never answers is ejected when the requests in its slots
// reach their deadlines.
func TestHangingEndpointIsEjected(t *testing.T) {
	h := newHarness(instancesText(2, 8))
	var hung, served []effect.Dispatch
	for id := range fleet.RequestID(16) {
		d := dispatched(t, h.do(arrived(id+1)))
		if d.Instance == "runner-2" {
			hung = append(hung, d)
		} else {
			served = append(served, d)
		}
	}
	must.Len(t, 8, hung)
	for _, d := range served {
		h.do(ended(d, event.AttemptAnswered))
	}
	h.after(time.Second, event.TimerFired{})
	for _, d := range hung {
		ev := ended(d, event.AttemptBroken)
		ev.Elapsed = time.Second
		must.EqOp(t, fleet.RanUnknown, refused(t, h.do(ev)).Ran)
	}
	for id := range fleet.RequestID(100) {
		d := dispatched(t, h.do(arrived(id+17)))
		must.EqOp(t, "runner-1", d.Instance)
		h.do(ended(d, event.AttemptAnswered))
	}
}

func TestAtMostHalfOfAPoolIsEjected(t *testing.T) {
	b := newBlackHole(4, "runner-1", "runner-2", "runner-3", "runner-4")
	b.serve(100, time.Millisecond, event.AttemptFinished{Outcome: event.AttemptAnswered, Status: 500})
	must.EqOp(t, 0, b.refused)
	must.EqOp(t, 100, b.failedRequests)
}

func TestEjectedEndpointComesBackOnProbation(t *testing.T) {
	b := newBlackHole(2, "runner-2")
	b.serve(100, time.Millisecond, event.AttemptFinished{Outcome: event.AttemptBroken})
	must.EqOp(t, 0, b.probes)
	probes := effectsOf[effect.Probe](b.after(time.Second, event.TimerFired{}))
	must.Len(t, 1, probes)
	must.EqOp(t, "runner-2", probes[0].Instance)
	b.do(event.ProbeFinished{Instance: "runner-2", OK: true})

	// Probation allows one request at a time.
	probation := map[fleet.InstanceID][]effect.Dispatch{}
	for range 9 {
		b.id++
		d := dispatched(t, b.do(arrived(b.id)))
		probation[d.Instance] = append(probation[d.Instance], d)
	}
	must.Len(t, 1, probation["runner-2"])

	// Three successes end it.
	d := probation["runner-2"][0]
	for range 3 {
		ev := ended(d, event.AttemptAnswered)
		ev.Status = 200
		b.do(ev)
		b.id++
		d = dispatched(t, b.do(arrived(b.id)))
		must.EqOp(t, "runner-2", d.Instance)
	}
	b.id++
	must.EqOp(t, "runner-2", dispatched(t, b.do(arrived(b.id))).Instance)
}

func TestFailedProbesBackOff(t *testing.T) {
	b := newBlackHole(2, "runner-2")
	b.serve(100, time.Millisecond, event.AttemptFinished{Outcome: event.AttemptBroken})
	var gaps []time.Duration
	last := b.now
	for range 60_000 {
		out := b.after(10*time.Millisecond, event.TimerFired{})
		for range effectsOf[effect.Probe](out) {
			gaps = append(gaps, b.now.Sub(last).Round(100*time.Millisecond))
			last = b.now
			b.do(event.ProbeFinished{Instance: "runner-2"})
		}
	}
	must.Eq(t, []time.Duration{
		900 * time.Millisecond, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 32 * time.Second,
	}, gaps[:6])
	must.EqOp(t, time.Minute, gaps[len(gaps)-1])
}

func TestLeavingEndpointGetsNoRequestUntilAProbeClearsIt(t *testing.T) {
	b := newBlackHole(2, "runner-2")
	refusal := event.AttemptFinished{Outcome: event.AttemptRefused, Leaving: true}
	b.serve(200, time.Millisecond, refusal)
	must.EqOp(t, 1, b.failedRequests)
	must.Len(t, 1, effectsOf[effect.Probe](b.after(2*time.Second, event.TimerFired{})))
	b.do(event.ProbeFinished{Instance: "runner-2", OK: true, Leaving: true})
	b.serve(200, time.Millisecond, refusal)
	must.EqOp(t, 1, b.failedRequests)
	must.Len(t, 1, effectsOf[effect.Probe](b.after(2*time.Second, event.TimerFired{})))
	b.do(event.ProbeFinished{Instance: "runner-2", OK: true})
	b.serve(200, time.Millisecond, refusal)
	must.EqOp(t, 2, b.failedRequests)
}

func TestNewAddressClearsLeaving(t *testing.T) {
	b := newBlackHole(2, "runner-2")
	refusal := event.AttemptFinished{Outcome: event.AttemptRefused, Leaving: true}
	b.serve(200, time.Millisecond, refusal)
	next := instancesText(2, 8)
	next.Instances[1].Address = "127.0.0.1:99"
	b.publish(2, 1, next)
	b.serve(200, time.Millisecond, refusal)
	must.EqOp(t, 2, b.failedRequests)
}

// A request that breaks every endpoint that it reaches must not eject them.
func TestPoisonRequestEjectsNoInstance(t *testing.T) {
	h := newHarness(instancesText(8, 8))
	ejections := 0
	for id := range fleet.RequestID(20) {
		out := h.do(arrived(id + 1))
		for {
			for _, c := range effectsOf[effect.Count](out) {
				if c.Name == effect.InstancesEjected {
					ejections++
				}
			}
			found := effectsOf[effect.Dispatch](out)
			if len(found) == 0 {
				break
			}
			out = h.do(ended(found[0], event.AttemptBroken))
		}
	}
	must.EqOp(t, 0, ejections)
}

func TestEarlyCancellationsDoNotCountAgainstTheInstance(t *testing.T) {
	h := newHarness(instancesText(2, 8))
	for id := range fleet.RequestID(100) {
		d := dispatched(t, h.do(arrived(id+1)))
		h.do(event.RequestCancelled{ID: id + 1})
		out := h.after(time.Millisecond, ended(d, event.AttemptBroken))
		must.Len(t, 0, effectsOf[effect.LogChange](out))
	}
}
