package reduce_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const faultSlots = 3

// faultInjector draws arrivals, cancellations, message losses, cut connections
// and restarts for a group of entries.
type faultInjector struct {
	group *entryGroup
	// next is the id of the next request.
	next fleet.RequestID
	// cut holds the pairs of sender and receiver whose messages are lost.
	cut map[[2]fleet.EntryID]bool
	// toDrop is the number of messages still to be lost.
	toDrop int
}

func (f *faultInjector) lose(from fleet.EntryID, e effect.SendPeer) bool {
	if f.toDrop > 0 {
		f.toDrop--
		return true
	}
	return f.cut[[2]fleet.EntryID{from, e.To}]
}

func (f *faultInjector) entry(t *rapid.T) fleet.EntryID {
	return rapid.SampledFrom(f.group.ids()).Draw(t, "entry")
}

func (f *faultInjector) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"arrive": func(t *rapid.T) {
			n := rapid.IntRange(1, 4).Draw(t, "requests")
			f.group.arrive(f.entry(t), f.next, n)
			f.next += fleet.RequestID(n)
		},
		"cancel": func(t *rapid.T) {
			id := fleet.RequestID(rapid.Uint64Range(1, uint64(f.next)).Draw(t, "request"))
			f.group.do(f.entry(t), event.RequestCancelled{ID: id})
			f.group.deliver()
		},
		"finish": func(t *rapid.T) {
			if id := f.entry(t); len(f.group.running[id]) > 0 {
				f.group.finishOne(id)
				f.group.deliver()
			}
		},
		"pass": func(t *rapid.T) {
			f.group.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"drop": func(t *rapid.T) { f.toDrop = rapid.IntRange(1, 3).Draw(t, "messages") },
		"cut": func(t *rapid.T) {
			f.cut[[2]fleet.EntryID{f.entry(t), f.entry(t)}] = true
		},
		"heal": func(*rapid.T) { clear(f.cut) },
		"unreachable": func(t *rapid.T) {
			f.group.do(f.entry(t), event.PeerUnreachable{Peer: f.entry(t)})
			f.group.deliver()
		},
		"restart": func(t *rapid.T) {
			id := f.entry(t)
			f.group.kill(id)
			f.group.start(id)
			f.group.publish(id, publishRecord(1, 0, 0), longText(faultSlots))
			f.group.sendEntryList()
			f.group.deliver()
		},
		"": func(t *rapid.T) { f.group.checkOnce(t) },
	}
}

// TestEntriesRecoverFromRandomFaults checks that no request is dispatched
// twice. Once the faults end, all requests must end, the slots must be limits
// again, and no entry may keep a slot or a queued request.
func TestEntriesRecoverFromRandomFaults(t *testing.T) {
	setRapid(t, "rapid.seed", "0", "1")
	setRapid(t, "rapid.steps", "30", "60")
	setRapid(t, "rapid.checks", "100", "300")
	rapid.Check(t, func(t *rapid.T) {
		f := &faultInjector{group: newEntryGroup(t, 3, longText(faultSlots)), next: 1, cut: map[[2]fleet.EntryID]bool{}}
		f.group.lose = f.lose
		t.Repeat(f.actions())

		clear(f.cut)
		f.toDrop = 0
		f.group.advance(10 * time.Second)
		for range 400 {
			if !f.group.finish() {
				break
			}
			f.group.advance(step)
		}
		f.group.maxRunning = f.group.total()
		for _, id := range f.group.ids() {
			f.group.arrive(id, f.next, 5)
			st := f.group.status(id)
			must.Between(t, 5, st.Requests, 5)
		}
		must.EqOp(t, faultSlots, f.group.maxRunning)
		f.group.finishAll()
		for _, id := range f.group.ids() {
			st := f.group.status(id)
			must.EqOp(t, 0, st.Requests)
			must.EqOp(t, 0, st.Queued)
			must.EqOp(t, 0, st.Running)
		}
		f.group.checkOnce(t)
	})
}
