package reduce_test

import (
	"errors"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/shoenig/test/must"
)

func newStarting() *harness {
	h := &harness{state: reduce.New(reduce.Config{Entry: "entry-1", Seed: 7, MaxRequests: 100}), now: epoch}
	h.do(event.Started{})
	return h
}

// TestStartingEntryServesOnlyAtTheEndOfTheLog gives a starting entry a first
// page that ends before the log does. The rest drains the only instance.
func TestStartingEntryServesOnlyAtTheEndOfTheLog(t *testing.T) {
	h := newStarting()
	out := h.do(event.RecordsRead{Records: []control.Positioned{published(1, 0, 1)}, Next: 2, Oldest: 1, End: 3})
	must.Len(t, 0, only[effect.SetReady](out))
	must.EqOp(t, fleet.ReasonNoText, only[effect.Refuse](h.do(arrived(1)))[0].Reason)
	out = h.do(event.OperatorCommanded{
		ID: 9, Deadline: h.now.Add(time.Minute),
		Record: control.Record{ID: "undrain", Body: control.Undrain{Instance: "runner-1", Base: control.CurrentEpoch}},
	})
	must.Len(t, 0, only[effect.Append](out))

	drain := control.Record{ID: "drain", Body: control.Drain{
		Instance: "runner-1", Reason: control.ReasonOperator, Purpose: control.PurposeHold, Force: true,
	}}
	out = h.do(event.RecordsRead{Records: []control.Positioned{{Offset: 2, Record: drain}}, Next: 3, Oldest: 1, End: 5})
	must.Len(t, 1, only[effect.SetReady](out))
	appends := only[effect.Append](out)
	must.Len(t, 1, appends)
	must.Eq(t, control.Body(control.Undrain{Instance: "runner-1", Base: 2}), appends[0].Record.Body)
	must.Len(t, 0, only[effect.Dispatch](h.do(arrived(2))))
}

func TestHeldCommandIsRefusedInTime(t *testing.T) {
	h := newStarting()
	h.do(event.OperatorCommanded{ID: 9, Deadline: h.now.Add(10 * time.Second), Record: control.Record{ID: "late"}})
	replies := only[effect.Reply](h.after(10*time.Second, event.TimerFired{}))
	must.Len(t, 1, replies)
	must.EqOp(t, control.NotReady, replies[0].Result.Outcome)
	must.Len(t, 0, only[effect.Append](h.do(event.RecordsRead{Next: 1, Oldest: 1, End: 1})))
}

// TestWithoutLogThePeersTellTheEnd starts an entry whose log is down. It waits
// for what the newest peer has.
func TestWithoutLogThePeersTellTheEnd(t *testing.T) {
	h, peer := newStarting(), &sender{id: peerID, incarnation: 1}
	h.do(peer.message(message.Heartbeat{Offset: 2, Version: 2}))
	h.do(peer.message(message.Records{Records: []control.Positioned{published(1, 0, 1)}}))
	must.Len(t, 0, only[effect.SetReady](h.do(event.ReadFailed{Err: errors.New("log is down")})))
	out := h.do(peer.message(message.Records{After: 1, Records: []control.Positioned{published(2, 1, 2)}}))
	must.Len(t, 1, only[effect.SetReady](out))
}
