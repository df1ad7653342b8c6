package reduce_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
)

// step is the resolution of virtual time.
const step = 50 * time.Millisecond

type delivery struct {
	to   fleet.EntryID
	body event.PeerReceived
}

// entryGroup connects the states of several entries by peer messages, and
// counts what runs on the instances.
type entryGroup struct {
	now          time.Time
	states       map[fleet.EntryID]*reduce.State
	incarnations map[fleet.EntryID]uint64
	inTransit    []delivery
	// lose reports whether a message is lost.
	lose    func(from fleet.EntryID, e effect.SendPeer) bool
	running map[fleet.EntryID][]effect.Dispatch
	// dispatched counts the dispatches of each request of each entry.
	dispatched map[string]int
	answered   int
	refused    int
	maxRunning int
	counters   map[effect.Counter]int64
}

func newEntryGroup(t must.T, n int, text *fleet.Text) *entryGroup {
	t.Helper()
	c := &entryGroup{
		now:          epoch,
		states:       make(map[fleet.EntryID]*reduce.State),
		incarnations: make(map[fleet.EntryID]uint64),
		running:      make(map[fleet.EntryID][]effect.Dispatch),
		dispatched:   make(map[string]int),
		counters:     make(map[effect.Counter]int64),
	}
	for i := range n {
		c.start(fleet.EntryID(fmt.Sprintf("entry-%d", i+1)))
	}
	for _, id := range c.ids() {
		c.publish(id, publishRecord(1, 0, 0), text)
	}
	c.sendEntryList()
	c.advance(2 * time.Second)
	return c
}

func (c *entryGroup) ids() []fleet.EntryID { return slices.Sorted(maps.Keys(c.states)) }

// start starts or restarts an entry.
func (c *entryGroup) start(id fleet.EntryID) {
	c.incarnations[id]++
	c.states[id] = reduce.New(reduce.Config{
		Entry: id, Seed: 7, MaxRequests: 1000, Placement: reduce.PlacementHolder,
	})
	c.do(id, event.Started{})
}

func (c *entryGroup) publish(id fleet.EntryID, p control.Positioned, text *fleet.Text) {
	body := p.Record.Body.(control.Publish)
	body.Text = text
	p.Record.Body = body
	c.do(id, event.RecordsRead{Records: []control.Positioned{p}, Next: p.Offset + 1, Oldest: 1})
}

func (c *entryGroup) sendEntryList() {
	var rows []event.ListedEntry
	for _, id := range c.ids() {
		rows = append(rows, event.ListedEntry{ID: id, Address: string(id)})
	}
	for _, id := range c.ids() {
		c.do(id, event.EntriesListed{Entries: rows})
	}
}

// do reduces an event and carries out its effects.
func (c *entryGroup) do(id fleet.EntryID, body event.Body) {
	for _, e := range reduce.Reduce(c.states[id], event.Event{Now: c.now, Body: body}) {
		switch e := e.(type) {
		case effect.SendPeer:
			if c.lose == nil || !c.lose(id, e) {
				c.inTransit = append(c.inTransit, delivery{to: e.To, body: event.PeerReceived{
					From: id, Incarnation: c.incarnations[id], Sequence: e.Sequence, Address: string(id), Message: e.Message,
				}})
			}
		case effect.Dispatch:
			c.running[id] = append(c.running[id], e)
			c.dispatched[fmt.Sprint(id, "/", c.incarnations[id], "/", e.Attempt.Request)]++
			c.maxRunning = max(c.maxRunning, c.total())
		case effect.Refuse:
			c.refused++
		case effect.Answer:
			c.answered++
		case effect.Count:
			c.counters[e.Name] += e.N
		}
	}
}

func (c *entryGroup) total() int {
	n := 0
	for _, d := range c.running {
		n += len(d)
	}
	return n
}

// deliver delivers all messages in transit, and those that follow from them.
func (c *entryGroup) deliver() {
	for len(c.inTransit) > 0 {
		d := c.inTransit[0]
		c.inTransit = c.inTransit[1:]
		if _, ok := c.states[d.to]; ok {
			c.do(d.to, d.body)
		}
	}
}

// advance advances virtual time in steps.
func (c *entryGroup) advance(d time.Duration) {
	c.deliver()
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(step)
		for _, id := range c.ids() {
			c.do(id, event.TimerFired{})
		}
		c.deliver()
	}
}

// finish answers the oldest request of each entry and reports whether any ran.
func (c *entryGroup) finish() bool {
	any := false
	for _, id := range c.ids() {
		if len(c.running[id]) > 0 {
			any = true
			c.finishOne(id)
		}
	}
	c.deliver()
	return any
}

func (c *entryGroup) finishOne(id fleet.EntryID) {
	d := c.running[id][0]
	c.running[id] = c.running[id][1:]
	c.do(id, event.AttemptFinished{
		Attempt: d.Attempt, Instance: d.Instance, Outcome: event.AttemptAnswered, Status: 200, Elapsed: step,
	})
}

func (c *entryGroup) finishAll() {
	for c.finish() {
	}
}

// arrive sends n requests to an entry.
func (c *entryGroup) arrive(id fleet.EntryID, first fleet.RequestID, n int) {
	for i := range n {
		c.do(id, arrived(first+fleet.RequestID(i)))
	}
	c.deliver()
}

// kill ends an entry and its running requests at once.
func (c *entryGroup) kill(id fleet.EntryID) {
	delete(c.states, id)
	delete(c.running, id)
}

// holder returns the entry that holds the pool.
func (c *entryGroup) holder(t *testing.T) fleet.EntryID {
	t.Helper()
	for _, id := range c.ids() {
		if slices.Contains(c.status(id).Holds, "main") {
			return id
		}
	}
	t.Fatal("no entry holds the pool")
	return ""
}

// other returns an entry that does not hold the pool.
func (c *entryGroup) other(t *testing.T) fleet.EntryID {
	t.Helper()
	for _, id := range c.ids() {
		if id != c.holder(t) {
			return id
		}
	}
	t.Fatal("no other entry")
	return ""
}

func (c *entryGroup) status(id fleet.EntryID) effect.Status {
	out := reduce.Reduce(c.states[id], event.Event{Now: c.now, Body: event.StatusRequested{}})
	return effectsOf[effect.ReplyStatus](out)[0].Status
}

// checkOnce fails the test if a request was dispatched twice.
func (c *entryGroup) checkOnce(t must.T) {
	t.Helper()
	for request, n := range c.dispatched {
		must.EqOp(t, 1, n, must.Sprintf("dispatches of %s", request))
	}
}

func longText(slots int) *fleet.Text {
	text := oneInstanceText(slots)
	text.Services[0].TimeLimit = time.Hour
	text.Services[0].MaxQueue = 1000
	return text
}
