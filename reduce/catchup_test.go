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

func newStartingEntry() *harness {
	h := &harness{state: reduce.New(reduce.Config{Entry: "entry-1", Seed: 7, MaxRequests: 100}), now: epoch}
	h.do(event.Started{})
	return h
}

// TestStartingEntryServesOnlyAtTheEndOfTheLog gives a starting entry a first
// page that ends before the log does. A later record drains the only instance,
// so an entry that served by the first page would use a drained instance.
func TestStartingEntryServesOnlyAtTheEndOfTheLog(t *testing.T) {
	h := newStartingEntry()
	out := h.do(event.RecordsRead{Records: []control.Positioned{publishRecord(1, 0, 1)}, Next: 2, Oldest: 1, End: 3})
	must.Len(t, 0, effectsOf[effect.SetReady](out))
	must.EqOp(t, fleet.ReasonNoText, effectsOf[effect.Refuse](h.do(arrived(1)))[0].Reason)
	out = h.do(event.OperatorCommanded{
		ID: 9, Deadline: h.now.Add(time.Minute),
		Record: control.Record{ID: "undrain", Body: control.Undrain{Instance: "runner-1", Base: control.CurrentEpoch}},
	})
	must.Len(t, 0, effectsOf[effect.Append](out))

	drain := control.Record{ID: "drain", Body: control.Drain{
		Instance: "runner-1", Reason: control.ReasonOperator, Purpose: control.PurposeHold, Force: true,
	}}
	out = h.do(event.RecordsRead{Records: []control.Positioned{{Offset: 2, Record: drain}}, Next: 3, Oldest: 1, End: 5})
	must.Len(t, 1, effectsOf[effect.SetReady](out))
	appends := effectsOf[effect.Append](out)
	must.Len(t, 1, appends)
	must.Eq(t, control.Body(control.Undrain{Instance: "runner-1", Base: 2}), appends[0].Record.Body)
	must.Len(t, 0, effectsOf[effect.Dispatch](h.do(arrived(2))))
}

func TestHeldCommandIsRefusedByItsDeadline(t *testing.T) {
	h := newStartingEntry()
	h.do(event.OperatorCommanded{ID: 9, Deadline: h.now.Add(10 * time.Second), Record: control.Record{ID: "late"}})
	replies := effectsOf[effect.Reply](h.after(10*time.Second, event.TimerFired{}))
	must.Len(t, 1, replies)
	must.EqOp(t, control.NotReady, replies[0].Result.Outcome)
	must.Len(t, 0, effectsOf[effect.Append](h.do(event.RecordsRead{Next: 1, Oldest: 1, End: 1})))
}

// TestStartWithoutLogWaitsForTheNewestPeer starts an entry while the log is
// down. It must not serve before it has the records of the newest peer.
func TestStartWithoutLogWaitsForTheNewestPeer(t *testing.T) {
	h, peer := newStartingEntry(), &peerSender{id: peerID, incarnation: 1}
	h.do(peer.message(message.Heartbeat{Offset: 2, Version: 2}))
	h.do(peer.message(message.Records{Records: []control.Positioned{publishRecord(1, 0, 1)}}))
	must.Len(t, 0, effectsOf[effect.SetReady](h.do(event.ReadFailed{Err: errors.New("log is down")})))
	out := h.do(peer.message(message.Records{After: 1, Records: []control.Positioned{publishRecord(2, 1, 2)}}))
	must.Len(t, 1, effectsOf[effect.SetReady](out))
}
