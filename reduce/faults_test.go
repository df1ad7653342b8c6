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

// faults drives entries through random arrivals, losses, cuts and restarts.
type faults struct {
	c *entries
	// next is the id of the next request.
	next fleet.RequestID
	// cut holds the pairs of entries whose messages are lost, one way.
	cut map[[2]fleet.EntryID]bool
	// drop is how many of the next messages get lost.
	drop int
}

func (f *faults) lose(from fleet.EntryID, e effect.SendPeer) bool {
	if f.drop > 0 {
		f.drop--
		return true
	}
	return f.cut[[2]fleet.EntryID{from, e.To}]
}

func (f *faults) entry(t *rapid.T) fleet.EntryID {
	return rapid.SampledFrom(f.c.ids()).Draw(t, "entry")
}

func (f *faults) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"arrive": func(t *rapid.T) {
			n := rapid.IntRange(1, 4).Draw(t, "requests")
			f.c.arrive(f.entry(t), f.next, n)
			f.next += fleet.RequestID(n)
		},
		"cancel": func(t *rapid.T) {
			id := fleet.RequestID(rapid.Uint64Range(1, uint64(f.next)).Draw(t, "request"))
			f.c.do(f.entry(t), event.RequestCancelled{ID: id})
			f.c.deliver()
		},
		"finish": func(t *rapid.T) {
			if id := f.entry(t); len(f.c.running[id]) > 0 {
				f.c.finishOne(id)
				f.c.deliver()
			}
		},
		"pass": func(t *rapid.T) {
			f.c.pass(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"drop": func(t *rapid.T) { f.drop = rapid.IntRange(1, 3).Draw(t, "messages") },
		"cut": func(t *rapid.T) {
			f.cut[[2]fleet.EntryID{f.entry(t), f.entry(t)}] = true
		},
		"heal": func(*rapid.T) { clear(f.cut) },
		"unreachable": func(t *rapid.T) {
			f.c.do(f.entry(t), event.PeerUnreachable{Peer: f.entry(t)})
			f.c.deliver()
		},
		"restart": func(t *rapid.T) {
			id := f.entry(t)
			f.c.kill(id)
			f.c.start(id)
			f.c.publish(id, publishRecord(1, 0, 0), longText(faultSlots))
			f.c.list()
			f.c.deliver()
		},
		"": func(t *rapid.T) { f.c.checkOnce(t) },
	}
}

// TestEntriesRecoverFromRandomFaults checks that no request is dispatched
// twice, and that once the faults end all requests end, slots hold again and no
// entry keeps a slot or a place for anything.
func TestEntriesRecoverFromRandomFaults(t *testing.T) {
	setRapid(t, "rapid.seed", "0", "1")
	setRapid(t, "rapid.steps", "30", "60")
	setRapid(t, "rapid.checks", "100", "300")
	rapid.Check(t, func(t *rapid.T) {
		f := &faults{c: newEntries(t, 3, longText(faultSlots)), next: 1, cut: map[[2]fleet.EntryID]bool{}}
		f.c.lose = f.lose
		t.Repeat(f.actions())

		clear(f.cut)
		f.drop = 0
		f.c.pass(10 * time.Second)
		for range 400 {
			if !f.c.finish() {
				break
			}
			f.c.pass(step)
		}
		f.c.most = f.c.total()
		for _, id := range f.c.ids() {
			f.c.arrive(id, f.next, 5)
			st := f.c.status(id)
			must.Between(t, 5, st.Requests, 5)
		}
		must.EqOp(t, faultSlots, f.c.most)
		f.c.finishAll()
		for _, id := range f.c.ids() {
			st := f.c.status(id)
			must.EqOp(t, 0, st.Requests)
			must.EqOp(t, 0, st.Queued)
			must.EqOp(t, 0, st.Running)
		}
		f.c.checkOnce(t)
	})
}
