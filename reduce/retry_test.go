package reduce_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
)

func instancesText(n, slots int) *fleet.Text {
	t := oneInstanceText(slots)
	for _, id := range []fleet.InstanceID{"runner-2", "runner-3", "runner-4", "runner-5", "runner-6", "runner-7", "runner-8"}[:n-1] {
		t.Instances = append(t.Instances, fleet.Instance{ID: id, Address: "127.0.0.1:" + string(id[len(id)-1:]), Pool: "main"})
	}
	return t
}

func ended(d effect.Dispatch, outcome event.AttemptOutcome) event.AttemptFinished {
	return event.AttemptFinished{Attempt: d.Attempt, Instance: d.Instance, Outcome: outcome}
}

func (h *harness) publish(offset, base fleet.Offset, text *fleet.Text) []effect.Effect {
	return h.do(event.RecordsRead{Records: []control.Positioned{{
		Offset: offset,
		Record: control.Record{ID: fleet.RecordID(rune('a' + offset)), Body: control.Publish{Base: base, Text: text}},
	}}, Next: offset + 1, Oldest: 1})
}

// dispatched returns the only dispatch among the effects.
func dispatched(t *testing.T, out []effect.Effect) effect.Dispatch {
	t.Helper()
	found := effectsOf[effect.Dispatch](out)
	must.Len(t, 1, found)
	return found[0]
}

func refused(t *testing.T, out []effect.Effect) effect.Refuse {
	t.Helper()
	found := effectsOf[effect.Refuse](out)
	must.Len(t, 1, found)
	return found[0]
}

func TestRetryTakesAnotherInstance(t *testing.T) {
	h := newHarness(instancesText(3, 4))
	first := dispatched(t, h.do(arrived(1)))
	second := dispatched(t, h.do(ended(first, event.AttemptBroken)))
	third := dispatched(t, h.do(ended(second, event.AttemptBroken)))
	must.NotEq(t, first.Instance, second.Instance)
	must.NotEq(t, first.Instance, third.Instance)
	must.NotEq(t, second.Instance, third.Instance)
	last := refused(t, h.do(ended(third, event.AttemptBroken)))
	must.EqOp(t, fleet.ReasonEndpointFailed, last.Reason)
	must.EqOp(t, fleet.RanUnknown, last.Ran)
	must.EqOp(t, 3, last.Attempts)
}

func TestRequestThatWasNeverSentDidNotRun(t *testing.T) {
	h := newHarness(instancesText(3, 4))
	d := dispatched(t, h.do(arrived(1)))
	for range 2 {
		d = dispatched(t, h.do(ended(d, event.AttemptNotSent)))
	}
	must.EqOp(t, fleet.RanNo, refused(t, h.do(ended(d, event.AttemptNotSent))).Ran)
}

// A refusal by an endpoint without a free slot is not a failure. The request
// waits for a slot until its deadline, however often it is refused.
func TestRefusedRequestWaitsUntilItsDeadline(t *testing.T) {
	h := newHarness(instancesText(3, 4))
	out := h.do(arrived(1))
	attempts := 0
	for len(effectsOf[effect.Refuse](out)) == 0 {
		if found := effectsOf[effect.Dispatch](out); len(found) > 0 {
			attempts++
			out = h.do(ended(found[0], event.AttemptRefused))
			continue
		}
		out = h.after(time.Millisecond, event.TimerFired{})
	}
	must.EqOp(t, time.Second, h.now.Sub(epoch))
	must.EqOp(t, fleet.ReasonDeadline, refused(t, out).Reason)
	must.EqOp(t, fleet.RanNo, refused(t, out).Ran)
	must.Between(t, 4, attempts, 30)
}

// Two entries share an instance's slots. The entry that finds none free limits
// itself to the slots that it gets, and uses more when the other entry frees
// its slots.
func TestEntryLimitsItselfToTheSlotsItGets(t *testing.T) {
	text := oneInstanceText(8)
	text.Services[0].MaxQueue, text.Services[0].TimeLimit = 1000, time.Minute
	h := newHarness(text)
	running := map[fleet.RequestID]effect.Dispatch{}
	refusals, free := 0, 5
	take := func(out []effect.Effect) {
		for len(out) > 0 {
			var next []effect.Effect
			for _, d := range effectsOf[effect.Dispatch](out) {
				if len(running) < free {
					running[d.Attempt.Request] = d
					continue
				}
				refusals++
				next = append(next, h.do(ended(d, event.AttemptRefused))...)
			}
			out = next
		}
	}
	finishAll := func() {
		for _, id := range slices.Sorted(maps.Keys(running)) {
			d := running[id]
			delete(running, id)
			take(h.after(time.Millisecond, ended(d, event.AttemptAnswered)))
		}
	}
	for id := range fleet.RequestID(90) {
		take(h.do(arrived(id + 1)))
	}
	must.EqOp(t, 1, refusals)
	must.MapLen(t, 5, running)
	for range 6 {
		finishAll()
	}
	must.LessEq(t, 1+6, refusals)
	free = 8
	for range 4 {
		finishAll()
	}
	must.MapLen(t, 8, running)
}

func TestBrokenAttemptBeforeOneNotSentMayHaveRun(t *testing.T) {
	h := newHarness(instancesText(3, 4))
	d := dispatched(t, h.do(arrived(1)))
	d = dispatched(t, h.do(ended(d, event.AttemptBroken)))
	d = dispatched(t, h.do(ended(d, event.AttemptNotSent)))
	must.EqOp(t, fleet.RanUnknown, refused(t, h.do(ended(d, event.AttemptNotSent))).Ran)
}

func TestNonIdempotentIsNotSentTwice(t *testing.T) {
	c := newClaimantOf(newClaimLog(), "entry-1", withPermit(instancesText(3, 4)))
	d := c.run(t, 1, keyAt(epoch, 1))
	d = dispatched(t, c.do(ended(d, event.AttemptNotSent)))
	out := c.do(ended(d, event.AttemptBroken))
	must.Len(t, 0, effectsOf[effect.Dispatch](out))
	must.EqOp(t, fleet.RanUnknown, refused(t, out).Ran)
}

func TestServerErrorIsAnAnswer(t *testing.T) {
	h := newHarness(instancesText(3, 4))
	d := dispatched(t, h.do(arrived(1)))
	ev := ended(d, event.AttemptAnswered)
	ev.Status = 500
	out := h.do(ev)
	must.Len(t, 1, effectsOf[effect.Answer](out))
	must.Len(t, 0, effectsOf[effect.Dispatch](out))
}

func TestExpiredAttemptThatWasNotSentDidNotRun(t *testing.T) {
	h := newHarness(instancesText(3, 4))
	d := dispatched(t, h.do(arrived(1)))
	must.Len(t, 0, effectsOf[effect.Refuse](h.after(time.Second, event.TimerFired{})))
	out := h.do(ended(d, event.AttemptSkipped))
	must.EqOp(t, fleet.RanNo, refused(t, out).Ran)
	must.EqOp(t, fleet.ReasonDeadline, refused(t, out).Reason)
}

func TestRetryKeepsTheDeadline(t *testing.T) {
	h := newHarness(instancesText(3, 4))
	first := dispatched(t, h.do(arrived(1)))
	second := dispatched(t, h.after(400*time.Millisecond, ended(first, event.AttemptBroken)))
	must.EqOp(t, first.Deadline, second.Deadline)
	out := h.after(700*time.Millisecond, ended(second, event.AttemptBroken))
	must.Len(t, 0, effectsOf[effect.Dispatch](out))
	must.EqOp(t, fleet.ReasonDeadline, refused(t, out).Reason)
}

func TestSecondOutcomeOfAnAttemptIsLate(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	first := dispatched(t, h.do(arrived(1)))
	h.do(arrived(2))
	out := h.do(ended(first, event.AttemptBroken))
	retried := dispatched(t, out)
	must.Len(t, 0, effectsOf[effect.Answer](h.do(answered(first.Attempt))))
	h.do(arrived(3))
	must.Len(t, 0, effectsOf[effect.Dispatch](h.do(ended(first, event.AttemptBroken))))
	must.Len(t, 1, effectsOf[effect.Answer](h.do(answered(retried.Attempt))))
}

// A pool in which every attempt breaks gets no more attempts than its requests
// and the retry budget.
func TestRetryBudgetBoundsTheLoad(t *testing.T) {
	const requests = 300
	h := newHarness(instancesText(8, 100))
	attempts := 0
	for id := range fleet.RequestID(requests) {
		out := h.do(arrived(id + 1))
		for {
			found := effectsOf[effect.Dispatch](out)
			if len(found) == 0 {
				break
			}
			attempts++
			out = h.do(ended(found[0], event.AttemptBroken))
		}
	}
	must.LessEq(t, requests+requests/10+20, attempts)
	must.Greater(t, requests+requests/10, attempts)
}

func TestPlannedStopStillRetries(t *testing.T) {
	h := newHarness(instancesText(3, 4))
	d := dispatched(t, h.do(arrived(1)))
	h.do(event.StopRequested{})
	dispatched(t, h.do(ended(d, event.AttemptBroken)))
}

func TestFullQueueRefusesEarly(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	for id := range fleet.RequestID(11) {
		must.Len(t, 0, effectsOf[effect.Refuse](h.do(arrived(id+1))))
	}
	r := refused(t, h.do(arrived(12)))
	must.EqOp(t, fleet.ReasonQueueFull, r.Reason)
	must.EqOp(t, fleet.RanNo, r.Ran)
	must.Greater(t, 0, r.RetryAfter)
}

func TestMemberOverItsQuotaGetsTheQuotaReason(t *testing.T) {
	text := oneInstanceText(8)
	text.Members[0].Quota = 1
	text.Services[0].MaxQueue = 1
	h := newHarness(text)
	dispatched(t, h.do(arrived(1)))
	must.Len(t, 0, effectsOf[effect.Refuse](h.do(arrived(2))))
	r := refused(t, h.do(arrived(3)))
	must.EqOp(t, fleet.ReasonQuota, r.Reason)
	must.Greater(t, 0, r.RetryAfter)
}

func TestUnreachableDeadlineIsRefusedEarly(t *testing.T) {
	text := oneInstanceText(1)
	h := newHarness(text)
	d := dispatched(t, h.do(arrived(1)))
	ev := answered(d.Attempt)
	ev.Elapsed = 400 * time.Millisecond
	h.after(ev.Elapsed, ev)
	for id := range fleet.RequestID(4) {
		must.Len(t, 0, effectsOf[effect.Refuse](h.do(arrived(id+2))))
	}
	r := refused(t, h.do(arrived(9)))
	must.EqOp(t, fleet.ReasonQueueFull, r.Reason)
	must.EqOp(t, 200*time.Millisecond, r.RetryAfter)
}

func TestRequestForARemovedPoolDidNotRun(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	dispatched(t, h.do(arrived(1)))
	h.do(arrived(2))
	next := oneInstanceText(1)
	next.Pools[0].Name, next.Services[0].Pool, next.Instances[0].Pool = "new", "new", "new"
	r := refused(t, h.publish(2, 1, next))
	must.EqOp(t, fleet.RequestID(2), r.Request)
	must.EqOp(t, fleet.RanNo, r.Ran)
	must.EqOp(t, fleet.ReasonNoCapacity, r.Reason)
}

func TestPausedInstanceDoesNotCloseItsQueue(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	first := effectsOf[effect.Dispatch](h.do(arrived(1)))[0]
	h.do(ended(first, event.AttemptRefused)) // nothing runs there, so the instance is paused
	must.Len(t, 0, effectsOf[effect.Refuse](h.do(arrived(2))))
	must.Len(t, 1, effectsOf[effect.Dispatch](h.after(10*time.Millisecond, event.TimerFired{})))
}
