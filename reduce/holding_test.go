package reduce_test

import (
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

func TestSlotsAreLimitsOverAllEntries(t *testing.T) {
	c := newEntryGroup(t, 3, longText(2))
	for _, id := range c.ids() {
		c.arrive(id, 1, 5)
	}
	must.EqOp(t, 2, c.total())
	c.finishAll()
	must.EqOp(t, 2, c.maxRunning)
	must.EqOp(t, 15, c.answered)
	c.checkOnce(t)
}

func TestHolderFailureInterruptsNoRequest(t *testing.T) {
	c := newEntryGroup(t, 4, longText(2))
	dead := c.holder(t)
	for _, id := range c.ids() {
		if id != dead {
			c.arrive(id, 1, 4)
		}
	}
	must.EqOp(t, 2, c.total())
	c.kill(dead)
	must.EqOp(t, 2, c.total())
	c.advance(4 * time.Second)
	c.finishAll()
	must.EqOp(t, 12, c.answered)
	c.checkOnce(t)
}

func TestNewHolderCountsRunningRequests(t *testing.T) {
	c := newEntryGroup(t, 3, longText(2))
	old := c.holder(t)
	c.arrive(c.other(t), 1, 6)
	must.EqOp(t, 2, c.total())
	c.do(old, event.StopRequested{})
	c.advance(time.Second)
	must.NotEqOp(t, old, c.holder(t))
	must.EqOp(t, 2, c.maxRunning)
	c.finishAll()
	must.EqOp(t, 2, c.maxRunning)
	must.EqOp(t, 6, c.answered)
	c.checkOnce(t)
}

func TestEntriesUseTheirShareWhenTheHolderIsSilent(t *testing.T) {
	c := newEntryGroup(t, 3, longText(8))
	holder := c.holder(t)
	c.lose = func(from fleet.EntryID, e effect.SendPeer) bool { return from == holder || e.To == holder }
	for _, id := range c.ids() {
		if id != holder {
			c.arrive(id, 1, 20)
		}
	}
	must.EqOp(t, 0, c.total())
	c.advance(1300 * time.Millisecond)
	// Two entries with a third of eight slots each.
	must.EqOp(t, 4, c.total())
	must.Greater(t, 0, c.counters[effect.HolderFallbacks])

	c.lose = nil
	c.advance(5 * time.Second)
	c.finishAll()
	must.EqOp(t, 40, c.answered)
	c.checkOnce(t)
}

func TestShareShrinksWhenMoreEntriesJoin(t *testing.T) {
	c := newEntryGroup(t, 2, longText(8))
	holder, id := c.holder(t), c.other(t)
	c.lose = func(from fleet.EntryID, e effect.SendPeer) bool { return from == holder || e.To == holder }
	c.arrive(id, 1, 20)
	c.do(id, event.PeerUnreachable{Peer: holder})
	must.EqOp(t, 4, c.total())
	c.start("entry-3")
	c.sendEntryList()
	c.advance(time.Second)
	for range 4 {
		c.finish()
	}
	must.EqOp(t, 2, c.total())
}

// losing returns a function that loses the first message of one type.
func losing[T message.Message]() func(fleet.EntryID, effect.SendPeer) bool {
	lost := false
	return func(_ fleet.EntryID, e effect.SendPeer) bool {
		if _, ok := e.Message.(T); !ok || lost {
			return false
		}
		lost = true
		return true
	}
}

func TestLostGrantIsReclaimed(t *testing.T) {
	c := newEntryGroup(t, 2, longText(1))
	c.lose = losing[message.SlotsGranted]()
	c.arrive(c.other(t), 1, 2)
	must.EqOp(t, 0, c.total())
	c.advance(time.Second)
	must.EqOp(t, 1, c.total())
	must.EqOp(t, 1, c.counters[effect.LeasesReclaimed])
	c.finishAll()
	must.EqOp(t, 2, c.answered)
	c.checkOnce(t)
}

func TestLostSlotRequestIsRepeated(t *testing.T) {
	c := newEntryGroup(t, 2, longText(1))
	c.lose = losing[message.SlotRequests]()
	c.arrive(c.other(t), 1, 1)
	must.EqOp(t, 0, c.total())
	c.advance(time.Second)
	must.EqOp(t, 1, c.total())
}

func TestLostReleaseIsReconciled(t *testing.T) {
	c := newEntryGroup(t, 2, longText(1))
	id := c.other(t)
	c.arrive(id, 1, 1)
	c.lose = losing[message.SlotRequests]()
	c.finish()
	c.advance(time.Second)
	c.arrive(id, 2, 1)
	must.EqOp(t, 1, c.total())
}

func TestGrantForACancelledRequestIsReturned(t *testing.T) {
	c := newEntryGroup(t, 2, longText(1))
	id := c.other(t)
	c.do(id, arrived(1))
	c.do(id, event.RequestCancelled{ID: 1}) // its request for a slot is in transit
	c.deliver()
	must.EqOp(t, 0, c.total())
	c.arrive(id, 2, 1)
	must.EqOp(t, 1, c.total())
}

func TestDeadEntryFreesItsSlots(t *testing.T) {
	c := newEntryGroup(t, 3, longText(1))
	holder, dead := c.holder(t), c.other(t)
	c.arrive(dead, 1, 3)
	c.arrive(holder, 1, 1)
	c.kill(dead)
	c.advance(2 * time.Second)
	must.EqOp(t, 0, c.total())
	c.advance(4 * time.Second)
	must.EqOp(t, 1, c.total())
}

func TestRestartedEntryFreesTheSlotsOfItsEarlierIncarnation(t *testing.T) {
	c := newEntryGroup(t, 3, longText(1))
	holder, restarted := c.holder(t), c.other(t)
	c.arrive(restarted, 1, 3)
	c.arrive(holder, 1, 1)
	c.kill(restarted)
	c.start(restarted)
	c.publish(restarted, publishRecord(1, 0, 0), longText(1))
	c.sendEntryList()
	c.advance(time.Second)
	must.EqOp(t, 1, c.total())
	must.Len(t, 1, c.running[holder])
}

func TestRestartedHolderCollectsReportsBeforeItGrants(t *testing.T) {
	c := newEntryGroup(t, 3, longText(2))
	holder, id := c.holder(t), c.other(t)
	c.arrive(id, 1, 6)
	c.kill(holder)
	c.start(holder)
	c.publish(holder, publishRecord(1, 0, 0), longText(2))
	c.sendEntryList()
	c.advance(3 * time.Second)
	must.EqOp(t, holder, c.holder(t))
	must.EqOp(t, 2, c.maxRunning)
	c.finishAll()
	must.EqOp(t, 6, c.answered)
	c.checkOnce(t)
}

func TestGrantOnARemovedInstanceIsReturned(t *testing.T) {
	c := newEntryGroup(t, 2, longText(1))
	id := c.other(t)
	moved := longText(1)
	moved.Instances[0].ID = "runner-2"
	c.publish(id, publishRecord(2, 1, 0), moved)
	c.arrive(id, 1, 1) // the holder still grants runner-1
	must.EqOp(t, 0, c.total())
	must.EqOp(t, 1, c.counters[effect.GrantsReturned])
	c.publish(c.holder(t), publishRecord(2, 1, 0), moved)
	c.advance(time.Second)
	must.EqOp(t, 1, c.total())
	must.EqOp(t, fleet.InstanceID("runner-2"), c.running[id][0].Instance)
}

func TestEntriesWithDifferentViewsRunEachRequestOnce(t *testing.T) {
	c := newEntryGroup(t, 3, longText(1))
	holder, id := c.holder(t), c.other(t)
	// Messages from the holder to one entry are lost; all others arrive.
	c.lose = func(from fleet.EntryID, e effect.SendPeer) bool { return from == holder && e.To == id }
	c.arrive(id, 1, 5)
	for range 12 {
		c.advance(time.Second)
		c.finish()
	}
	must.EqOp(t, 5, c.answered)
	// The entry's own share of one slot adds to the holder's grant.
	must.LessEq(t, 2, c.maxRunning)
	c.checkOnce(t)
}

func TestStartingEntryWaitsForTheOthersBeforeItGrants(t *testing.T) {
	h := &harness{
		state: reduce.New(reduce.Config{Entry: "entry-1", Seed: 7, MaxRequests: 100, Placement: reduce.PlacementHolder}),
		now:   epoch,
	}
	h.do(event.Started{})
	first := publishRecord(1, 0, 1)
	h.do(event.RecordsRead{Records: []control.Positioned{first}, Next: 2, Oldest: 1})
	must.Len(t, 0, effectsOf[effect.Dispatch](h.do(arrived(1))))
	must.Len(t, 1, effectsOf[effect.Dispatch](h.after(500*time.Millisecond, event.TimerFired{})))
}

func TestRequestsOfOtherEntriesAreRefusedWhenTheirPoolIsRemoved(t *testing.T) {
	c := newEntryGroup(t, 2, longText(1))
	holder, id := c.holder(t), c.other(t)
	c.arrive(id, 1, 3)
	without := longText(1)
	without.Pools, without.Services, without.Instances = nil, nil, nil
	c.publish(holder, publishRecord(2, 1, 0), without)
	c.deliver()
	must.EqOp(t, 2, c.refused)
	must.EqOp(t, 1, c.total())
}

// A request that was granted a slot before is queued again, even if the
// holder's queue has become full since.
func TestRetryIsNotRefusedByAFullQueueOfTheHolder(t *testing.T) {
	for _, end := range []event.AttemptOutcome{event.AttemptBroken, event.AttemptRefused} {
		text := longText(2)
		text.Services[0].MaxQueue = 1
		c := newEntryGroup(t, 2, text)
		holder, other := c.holder(t), c.other(t)
		c.arrive(other, 1, 1)
		c.arrive(other, 2, 1)
		must.EqOp(t, 2, c.total())
		c.arrive(holder, 1, 1)
		failed := c.running[other][0]
		c.running[other] = c.running[other][1:]
		// A failure halves the instance's slots, and a refusal limits them to
		// those in use, so that no request leaves the queue.
		c.do(other, ended(failed, end))
		c.advance(time.Second)
		must.EqOp(t, 0, c.refused)
		c.finishAll()
		must.EqOp(t, 3, c.answered)
	}
}

func TestUnreachableHolderCausesFallbackAtOnce(t *testing.T) {
	c := newEntryGroup(t, 3, longText(8))
	holder, id := c.holder(t), c.other(t)
	c.lose = func(_ fleet.EntryID, e effect.SendPeer) bool { return e.To == holder }
	c.arrive(id, 1, 5)
	must.EqOp(t, 0, c.total())
	c.do(id, event.PeerUnreachable{Peer: holder})
	must.EqOp(t, 2, c.total())

	c.lose = nil
	c.advance(time.Second)
	must.EqOp(t, 5, c.total())
	c.finishAll()
	must.EqOp(t, 5, c.answered)
	c.checkOnce(t)
}

func TestGrantInFlightIsNotReclaimed(t *testing.T) {
	c := newEntryGroup(t, 2, longText(1))
	holder, id := c.holder(t), c.other(t)
	beats := losing[message.Heartbeat]()
	c.lose = func(from fleet.EntryID, e effect.SendPeer) bool { return from == id && beats(from, e) }
	c.advance(500 * time.Millisecond)
	// The holder detects the gap, asks for a report, and grants a slot before
	// the report arrives.
	c.arrive(id, 1, 2)
	must.EqOp(t, 1, c.maxRunning)
	must.EqOp(t, 0, c.counters[effect.LeasesReclaimed])
	must.EqOp(t, 0, c.counters[effect.GrantsReturned])
	must.EqOp(t, 0, c.status(holder).Running)
	c.finishAll()
	must.EqOp(t, 2, c.answered)
	must.EqOp(t, 1, c.maxRunning)
}
