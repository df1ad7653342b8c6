package reduce_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// pair is two entries that receive each other's messages at once.
type pair struct {
	now    time.Time
	states map[fleet.EntryID]*reduce.State
	// next holds the last dispatch of each entry.
	next map[fleet.EntryID]effect.Dispatch
}

func newPair(b *testing.B, placement reduce.Placement) *pair {
	b.Helper()
	p := &pair{now: epoch, states: map[fleet.EntryID]*reduce.State{}, next: map[fleet.EntryID]effect.Dispatch{}}
	ids := []fleet.EntryID{"entry-1", "entry-2"}
	text := longText(8)
	for _, id := range ids {
		p.states[id] = reduce.New(reduce.Config{Entry: id, Seed: 7, MaxRequests: 1000, Placement: placement})
		p.do(id, event.Started{})
		first := control.Record{ID: "text", Body: control.Publish{Text: text}}
		p.do(id, event.RecordsRead{Records: []control.Positioned{{Offset: 1, Record: first}}, Next: 2, Oldest: 1})
	}
	for _, id := range ids {
		p.do(id, event.EntriesListed{Entries: []event.ListedEntry{
			{ID: ids[0], Address: "a"}, {ID: ids[1], Address: "b"},
		}})
	}
	for range 20 {
		p.now = p.now.Add(step)
		for _, id := range ids {
			p.do(id, event.TimerFired{})
		}
	}
	return p
}

func (p *pair) do(id fleet.EntryID, body event.Body) {
	var messages []effect.SendPeer
	for _, e := range reduce.Reduce(p.states[id], event.Event{Now: p.now, Body: body}) {
		switch e := e.(type) {
		case effect.SendPeer:
			messages = append(messages, e)
		case effect.Dispatch:
			p.next[id] = e
		}
	}
	for _, m := range messages {
		if _, ok := p.states[m.To]; ok {
			p.do(m.To, event.PeerReceived{From: id, Incarnation: 1, Sequence: m.Sequence, Address: m.Address, Message: m.Message})
		}
	}
}

// BenchmarkPlacement measures all decisions for one request, at both entries
// together.
func BenchmarkPlacement(b *testing.B) {
	for _, c := range []struct {
		name      string
		placement reduce.Placement
		at        fleet.EntryID
	}{
		{"local", reduce.PlacementLocal, "entry-1"},
		{"at the holder", reduce.PlacementHolder, "entry-2"},
		{"at another entry", reduce.PlacementHolder, "entry-1"},
	} {
		b.Run(c.name, func(b *testing.B) {
			p := newPair(b, c.placement)
			b.ReportAllocs()
			var id fleet.RequestID
			for b.Loop() {
				id++
				p.do(c.at, arrived(id))
				d, ok := p.next[c.at]
				if !ok || d.Attempt.Request != id {
					b.Fatal("not dispatched")
				}
				p.do(c.at, event.AttemptFinished{
					Attempt: d.Attempt, Instance: d.Instance, Outcome: event.AttemptAnswered, Status: 200, Elapsed: time.Millisecond,
				})
			}
		})
	}
}
