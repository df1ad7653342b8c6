package peer_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/shoenig/test/must"
)

func TestSlotMessagesKeepAllTheirFields(t *testing.T) {
	r := listen(t, "127.0.0.1:0")
	var failed atomic.Int64
	c := newClient(t, &failed)
	slot := message.Slot{Request: 1 << 60, Instance: "runner-1"}
	request := message.SlotRequest{ID: 9, Service: "survey", Member: "lawa", Size: 4, Remaining: time.Minute, Tried: []fleet.InstanceID{"runner-2", "runner-3"}, Requeued: true}
	for i, m := range []message.Message{
		message.SlotRequests{
			Releases:  []message.SlotRelease{{Slot: slot, HeldFor: time.Second, RunTime: time.Millisecond, Verdict: message.VerdictFailed, NotAtFault: "runner-9"}},
			Withdrawn: []fleet.RequestID{5, 6},
			Requests:  []message.SlotRequest{request},
		},
		message.SlotsGranted{Grants: []message.Slot{slot}, Denied: []message.SlotDenial{{Request: 7, Reason: fleet.ReasonQueueFull, RetryAfter: time.Second}}},
		message.SlotsReport{Pool: "main", LastReceived: 1 << 62, Running: []message.HeldSlot{{Request: request, Instance: "runner-1"}}, Waiting: []message.SlotRequest{request}},
		message.ReportRequest{},
		message.ReportAck{Pool: "main", Holding: true},
	} {
		c.Send("entry-2", r.address, uint64(i+1), m)
		must.Eq(t, m, (<-r.got).Message)
	}
}
