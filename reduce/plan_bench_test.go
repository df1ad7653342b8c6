package reduce_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// BenchmarkPlan measures one second of work of an entry that plans, at the design
// size.
func BenchmarkPlan(b *testing.B) {
	const instances, pools, centres = 27_000, 37, 23
	text := &fleet.Text{Prices: fleet.Prices{Buffer: 1, Move: 1}, Maintenance: fleet.Maintenance{MaxStep: 1}}
	for i := range centres {
		text.DataCentres = append(text.DataCentres, fleet.DataCentre(fmt.Sprintf("dc%02d", i)))
	}
	for i := range pools {
		name := fleet.PoolName(fmt.Sprintf("pool-%02d", i))
		text.Pools = append(text.Pools, fleet.Pool{Name: name, Slots: 8, Spare: i == 0})
		if i > 0 {
			text.Services = append(text.Services, fleet.Service{Name: fleet.ServiceName(name), Pool: name, Availability: 0.999, Demand: 4000})
		}
	}
	for i := range instances {
		text.Instances = append(text.Instances, fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("runner-%05d", i)), DataCentre: text.DataCentres[i%centres], Pool: text.Pools[i%pools].Name,
		})
	}
	s := reduce.New(reduce.Config{Entry: "entry-1", Seed: 1, MaxRequests: 100})
	now := epoch
	do := func(body event.Body) { reduce.Reduce(s, event.Event{Now: now, Body: body}) }
	do(event.Started{})
	do(event.EntriesListed{Entries: []event.ListedEntry{{ID: "entry-1", Address: "entry-1"}}})
	record := control.Record{ID: "text", Body: control.Publish{Text: text}}
	do(event.RecordsRead{Records: []control.Positioned{{Offset: 1, Record: record}}, Next: 2, Oldest: 1})
	do(event.RecordsRead{Next: 2, Oldest: 1})
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		now = now.Add(time.Second)
		do(event.TimerFired{})
	}
}
