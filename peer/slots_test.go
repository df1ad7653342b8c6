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
	ask := message.Ask{Request: 9, Service: "survey", Member: "lawa", Size: 4, Left: time.Minute, Tried: []fleet.InstanceID{"runner-2", "runner-3"}, Again: true}
	for i, m := range []message.Message{
		message.SlotsAsked{
			Finished:  []message.Finished{{Slot: slot, Held: time.Second, Ran: time.Millisecond, Verdict: message.VerdictFailed, Forgiven: "runner-9"}},
			Withdrawn: []fleet.RequestID{5, 6},
			Asks:      []message.Ask{ask},
		},
		message.SlotsGranted{Grants: []message.Slot{slot}, Denied: []message.Denied{{Request: 7, Reason: fleet.ReasonQueueFull, RetryAfter: time.Second}}},
		message.SlotsReport{Pool: "main", Seen: 1 << 62, Running: []message.Held{{Ask: ask, Instance: "runner-1"}}, Asks: []message.Ask{ask}},
		message.ReportWanted{},
		message.ReportTaken{Pool: "main", Holding: true},
	} {
		c.Send("entry-2", r.address, uint64(i+1), m)
		must.Eq(t, m, (<-r.got).Message)
	}
}
