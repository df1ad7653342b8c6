package reduce_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// harness sends events to one state at virtual times.
type harness struct {
	state *reduce.State
	now   time.Time
}

func newHarness(text *fleet.Text) *harness {
	h := &harness{
		state: reduce.New(reduce.Config{Entry: "entry-1", Seed: 7, MaxRequests: 100}),
		now:   epoch,
	}
	h.do(event.Started{})
	h.do(event.RecordsRead{Records: []control.Positioned{{
		Offset: 1,
		Record: control.Record{ID: "text", Body: control.Publish{Text: text}},
	}}, Next: 2, Oldest: 1})
	return h
}

func (h *harness) do(body event.Body) []effect.Effect {
	out := reduce.Reduce(h.state, event.Event{Now: h.now, Body: body})
	return append([]effect.Effect(nil), out...)
}

func (h *harness) after(d time.Duration, body event.Body) []effect.Effect {
	h.now = h.now.Add(d)
	return h.do(body)
}

// effectsOf returns the effects of one type.
func effectsOf[T effect.Effect](out []effect.Effect) []T {
	var found []T
	for _, e := range out {
		if t, ok := e.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

func oneInstanceText(slots int) *fleet.Text {
	return &fleet.Text{
		Pools:     []fleet.Pool{{Name: "main", Slots: slots, MaxSize: 10}},
		Instances: []fleet.Instance{{ID: "runner-1", Address: "127.0.0.1:1", Pool: "main"}},
		Members:   []fleet.Member{{Name: "lawa", Weight: 1}},
		Services: []fleet.Service{{
			Name: "survey", Pool: "main", Idempotent: true, TimeLimit: time.Second,
			MaxBody: 100, MaxQueue: 10, MaxAttempts: 3,
		}},
	}
}

func arrived(id fleet.RequestID) event.RequestArrived {
	return event.RequestArrived{ID: id, Service: "survey", Member: "lawa"}
}

func answered(a fleet.AttemptID) event.AttemptFinished {
	return event.AttemptFinished{Attempt: a, Instance: "runner-1", Outcome: event.AttemptAnswered, Status: 200}
}

func TestRequestWaitsForASlot(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	first := effectsOf[effect.Dispatch](h.do(arrived(1)))
	must.Len(t, 1, first)
	must.Len(t, 0, effectsOf[effect.Dispatch](h.do(arrived(2))))

	out := h.do(answered(first[0].Attempt))
	must.Len(t, 1, effectsOf[effect.Answer](out))
	second := effectsOf[effect.Dispatch](out)
	must.Len(t, 1, second)
	must.EqOp(t, fleet.RequestID(2), second[0].Attempt.Request)
}

func TestDeadlineInQueueDidNotRun(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	h.do(arrived(1))
	h.do(arrived(2))
	out := h.after(time.Second, event.TimerFired{})
	queued := effectsOf[effect.Refuse](out)
	must.Len(t, 1, queued)
	must.EqOp(t, fleet.RequestID(2), queued[0].Request)
	must.EqOp(t, fleet.RanNo, queued[0].Ran)
	must.Len(t, 1, effectsOf[effect.CancelAttempt](out))
	running := effectsOf[effect.Refuse](h.after(time.Second, event.TimerFired{}))
	must.Len(t, 1, running)
	must.EqOp(t, fleet.RanUnknown, running[0].Ran)
}

func TestAbandonedAttemptKeepsItsSlot(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	first := effectsOf[effect.Dispatch](h.do(arrived(1)))[0]
	must.Len(t, 1, effectsOf[effect.CancelAttempt](h.do(event.RequestCancelled{ID: 1})))
	must.Len(t, 0, effectsOf[effect.Dispatch](h.do(arrived(2))))
	out := h.do(event.AttemptFinished{Attempt: first.Attempt, Instance: "runner-1", Outcome: event.AttemptBroken})
	must.Len(t, 1, effectsOf[effect.Dispatch](out))
}

func TestLateAnswerIsNotPassedOn(t *testing.T) {
	h := newHarness(oneInstanceText(2))
	first := effectsOf[effect.Dispatch](h.do(arrived(1)))[0]
	h.do(event.AttemptFinished{Attempt: first.Attempt, Instance: "runner-1", Outcome: event.AttemptBroken})
	out := h.do(answered(first.Attempt))
	must.Len(t, 0, effectsOf[effect.Answer](out))
}

func TestStaleBaseVersionConflicts(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	out := h.do(event.RecordsRead{Records: []control.Positioned{{
		Offset: 2,
		Record: control.Record{ID: "stale", Body: control.Publish{Base: 0, Text: oneInstanceText(4)}},
	}}, Next: 3, Oldest: 1})
	must.Len(t, 0, effectsOf[effect.LogChange](out))
	h.do(event.OperatorCommanded{ID: 9, Record: control.Record{ID: "late"}, Deadline: h.now.Add(time.Second)})
	out = h.do(event.RecordsRead{Records: []control.Positioned{{
		Offset: 3,
		Record: control.Record{ID: "late", Body: control.Publish{Base: 0, Text: oneInstanceText(4)}},
	}}, Next: 4, Oldest: 1})
	replies := effectsOf[effect.Reply](out)
	must.Len(t, 1, replies)
	must.EqOp(t, control.Conflict, replies[0].Result.Outcome)
}

func TestUnknownServiceGivesNoMetricLabel(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	out := effectsOf[effect.Refuse](h.do(event.RequestArrived{ID: 1, Service: "made-up", Member: "lawa"}))
	must.Len(t, 1, out)
	must.EqOp(t, fleet.ReasonUnknownService, out[0].Reason)
	must.EqOp(t, "", out[0].Service)
}

func TestConnectionsBoundRequestsAndIdleConnections(t *testing.T) {
	for connections, want := range map[int]struct {
		running int
		fresh   bool
	}{0: {4, false}, 64: {4, false}, 5: {4, true}, 2: {2, true}} {
		text := oneInstanceText(4)
		text.Pools[0].Connections = connections
		h := newHarness(text)
		var sent []effect.Dispatch
		for id := range fleet.RequestID(6) {
			sent = append(sent, effectsOf[effect.Dispatch](h.do(arrived(id+1)))...)
		}
		must.Len(t, want.running, sent, must.Sprint(connections))
		must.EqOp(t, want.fresh, sent[0].NewConnection)
	}
}
