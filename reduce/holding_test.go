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
	c := newEntries(t, 3, longText(2))
	for _, id := range c.ids() {
		c.arrive(id, 1, 5)
	}
	must.EqOp(t, 2, c.total())
	c.finishAll()
	must.EqOp(t, 2, c.most)
	must.EqOp(t, 15, c.answered)
	c.checkOnce(t)
}

func TestDeathOfTheHolderCutsNothingOff(t *testing.T) {
	c := newEntries(t, 4, longText(2))
	dead := c.holder(t)
	for _, id := range c.ids() {
		if id != dead {
			c.arrive(id, 1, 4)
		}
	}
	must.EqOp(t, 2, c.total())
	c.kill(dead)
	must.EqOp(t, 2, c.total())
	c.pass(4 * time.Second)
	c.finishAll()
	must.EqOp(t, 12, c.answered)
	c.checkOnce(t)
}

func TestNewHolderCountsWhatRunsAlready(t *testing.T) {
	c := newEntries(t, 3, longText(2))
	old := c.holder(t)
	c.arrive(c.other(t), 1, 6)
	must.EqOp(t, 2, c.total())
	c.do(old, event.StopRequested{})
	c.pass(time.Second)
	must.NotEqOp(t, old, c.holder(t))
	must.EqOp(t, 2, c.most)
	c.finishAll()
	must.EqOp(t, 2, c.most)
	must.EqOp(t, 6, c.answered)
	c.checkOnce(t)
}

func TestSilentHolderLeavesEntriesTheirShare(t *testing.T) {
	c := newEntries(t, 3, longText(8))
	held := c.holder(t)
	c.lose = func(from fleet.EntryID, e effect.SendPeer) bool { return from == held || e.To == held }
	for _, id := range c.ids() {
		if id != held {
			c.arrive(id, 1, 20)
		}
	}
	must.EqOp(t, 0, c.total())
	c.pass(1300 * time.Millisecond)
	// Two entries with a third of eight slots each.
	must.EqOp(t, 4, c.total())
	must.Greater(t, 0, c.counted[effect.HolderFallbacks])

	c.lose = nil
	c.pass(5 * time.Second)
	c.finishAll()
	must.EqOp(t, 40, c.answered)
	c.checkOnce(t)
}

func TestShareShrinksWhenMoreEntriesCome(t *testing.T) {
	c := newEntries(t, 2, longText(8))
	held, id := c.holder(t), c.other(t)
	c.lose = func(from fleet.EntryID, e effect.SendPeer) bool { return from == held || e.To == held }
	c.arrive(id, 1, 20)
	c.do(id, event.PeerUnreachable{Peer: held})
	must.EqOp(t, 4, c.total())
	c.start("entry-3")
	c.list()
	c.pass(time.Second)
	for range 4 {
		c.finish()
	}
	must.EqOp(t, 2, c.total())
}

// losing loses the first message of one type.
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

func TestLostGrantIsTakenBack(t *testing.T) {
	c := newEntries(t, 2, longText(1))
	c.lose = losing[message.SlotsGranted]()
	c.arrive(c.other(t), 1, 2)
	must.EqOp(t, 0, c.total())
	c.pass(time.Second)
	must.EqOp(t, 1, c.total())
	must.EqOp(t, 1, c.counted[effect.LeasesReclaimed])
	c.finishAll()
	must.EqOp(t, 2, c.answered)
	c.checkOnce(t)
}

func TestLostAskIsMadeUpFor(t *testing.T) {
	c := newEntries(t, 2, longText(1))
	c.lose = losing[message.SlotRequests]()
	c.arrive(c.other(t), 1, 1)
	must.EqOp(t, 0, c.total())
	c.pass(time.Second)
	must.EqOp(t, 1, c.total())
}

func TestLostReleaseIsMadeUpFor(t *testing.T) {
	c := newEntries(t, 2, longText(1))
	id := c.other(t)
	c.arrive(id, 1, 1)
	c.lose = losing[message.SlotRequests]()
	c.finish()
	c.pass(time.Second)
	c.arrive(id, 2, 1)
	must.EqOp(t, 1, c.total())
}

func TestGrantForACancelledRequestIsReturned(t *testing.T) {
	c := newEntries(t, 2, longText(1))
	id := c.other(t)
	c.do(id, arrived(1))
	c.do(id, event.RequestCancelled{ID: 1}) // the ask is on its way
	c.deliver()
	must.EqOp(t, 0, c.total())
	c.arrive(id, 2, 1)
	must.EqOp(t, 1, c.total())
}

func TestDeadEntryFreesItsSlots(t *testing.T) {
	c := newEntries(t, 3, longText(1))
	held, dead := c.holder(t), c.other(t)
	c.arrive(dead, 1, 3)
	c.arrive(held, 1, 1)
	c.kill(dead)
	c.pass(2 * time.Second)
	must.EqOp(t, 0, c.total())
	c.pass(4 * time.Second)
	must.EqOp(t, 1, c.total())
}

func TestRestartedEntryFreesTheSlotsOfItsEarlierIncarnation(t *testing.T) {
	c := newEntries(t, 3, longText(1))
	held, again := c.holder(t), c.other(t)
	c.arrive(again, 1, 3)
	c.arrive(held, 1, 1)
	c.kill(again)
	c.start(again)
	c.publish(again, publishRecord(1, 0, 0), longText(1))
	c.list()
	c.pass(time.Second)
	must.EqOp(t, 1, c.total())
	must.Len(t, 1, c.running[held])
}

func TestRestartedHolderCollectsReportsBeforeItGrants(t *testing.T) {
	c := newEntries(t, 3, longText(2))
	held, id := c.holder(t), c.other(t)
	c.arrive(id, 1, 6)
	c.kill(held)
	c.start(held)
	c.publish(held, publishRecord(1, 0, 0), longText(2))
	c.list()
	c.pass(3 * time.Second)
	must.EqOp(t, held, c.holder(t))
	must.EqOp(t, 2, c.most)
	c.finishAll()
	must.EqOp(t, 6, c.answered)
	c.checkOnce(t)
}

func TestGrantOnAnInstanceThatHasGoneIsReturned(t *testing.T) {
	c := newEntries(t, 2, longText(1))
	id := c.other(t)
	moved := longText(1)
	moved.Instances[0].ID = "runner-2"
	c.publish(id, publishRecord(2, 1, 0), moved)
	c.arrive(id, 1, 1) // the holder still grants runner-1
	must.EqOp(t, 0, c.total())
	must.EqOp(t, 1, c.counted[effect.GrantsReturned])
	c.publish(c.holder(t), publishRecord(2, 1, 0), moved)
	c.pass(time.Second)
	must.EqOp(t, 1, c.total())
	must.EqOp(t, fleet.InstanceID("runner-2"), c.running[id][0].Instance)
}

func TestEntriesWithDifferentViewsRunEachRequestOnce(t *testing.T) {
	c := newEntries(t, 3, longText(1))
	held, id := c.holder(t), c.other(t)
	// One entry no longer hears the holder, which hears it and the third.
	c.lose = func(from fleet.EntryID, e effect.SendPeer) bool { return from == held && e.To == id }
	c.arrive(id, 1, 5)
	for range 12 {
		c.pass(time.Second)
		c.finish()
	}
	must.EqOp(t, 5, c.answered)
	// Its share of a slot comes on top of the holder's grant.
	must.LessEq(t, 2, c.most)
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

func TestRequestsOfOtherEntriesAreRefusedWithTheirPool(t *testing.T) {
	c := newEntries(t, 2, longText(1))
	held, id := c.holder(t), c.other(t)
	c.arrive(id, 1, 3)
	without := longText(1)
	without.Pools, without.Services, without.Instances = nil, nil, nil
	c.publish(held, publishRecord(2, 1, 0), without)
	c.deliver()
	must.EqOp(t, 2, c.refused)
	must.EqOp(t, 1, c.total())
}

// A request that was granted a slot before keeps its place, also at a holder
// whose queue has filled up since.
func TestRetryIsNotRefusedByAFullQueueOfTheHolder(t *testing.T) {
	for _, end := range []event.AttemptOutcome{event.AttemptBroken, event.AttemptRefused} {
		text := longText(2)
		text.Services[0].MaxQueue = 1
		c := newEntries(t, 2, text)
		held, other := c.holder(t), c.other(t)
		c.arrive(other, 1, 1)
		c.arrive(other, 2, 1)
		must.EqOp(t, 2, c.total())
		c.arrive(held, 1, 1)
		failed := c.running[other][0]
		c.running[other] = c.running[other][1:]
		// The failure halves the runner's slots, and the refusal leaves those in
		// use, so that nothing leaves the queue.
		c.do(other, ended(failed, end))
		c.pass(time.Second)
		must.EqOp(t, 0, c.refused)
		c.finishAll()
		must.EqOp(t, 3, c.answered)
	}
}

func TestUnreachableHolderIsNotWaitedFor(t *testing.T) {
	c := newEntries(t, 3, longText(8))
	held, id := c.holder(t), c.other(t)
	c.lose = func(_ fleet.EntryID, e effect.SendPeer) bool { return e.To == held }
	c.arrive(id, 1, 5)
	must.EqOp(t, 0, c.total())
	c.do(id, event.PeerUnreachable{Peer: held})
	must.EqOp(t, 2, c.total())

	c.lose = nil
	c.pass(time.Second)
	must.EqOp(t, 5, c.total())
	c.finishAll()
	must.EqOp(t, 5, c.answered)
	c.checkOnce(t)
}

func TestGrantOnItsWayIsNotTakenBack(t *testing.T) {
	c := newEntries(t, 2, longText(1))
	held, id := c.holder(t), c.other(t)
	beats := losing[message.Heartbeat]()
	c.lose = func(from fleet.EntryID, e effect.SendPeer) bool { return from == id && beats(from, e) }
	c.pass(500 * time.Millisecond)
	// The holder sees a gap, wants a report, and grants before it comes.
	c.arrive(id, 1, 2)
	must.EqOp(t, 1, c.most)
	must.EqOp(t, 0, c.counted[effect.LeasesReclaimed])
	must.EqOp(t, 0, c.counted[effect.GrantsReturned])
	must.EqOp(t, 0, c.status(held).Running)
	c.finishAll()
	must.EqOp(t, 2, c.answered)
	must.EqOp(t, 1, c.most)
}
