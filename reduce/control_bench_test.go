package reduce_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// BenchmarkChange measures how long the control goroutine takes to bring a
// change of one instance into force at the design size. One case has no
// maintenance so far; in the other, every instance has had maintenance and 1 in
// 100 is under maintenance.
func BenchmarkChange(b *testing.B) {
	for _, maintained := range []bool{false, true} {
		b.Run(fmt.Sprintf("maintained=%t", maintained), func(b *testing.B) { benchmarkChange(b, maintained) })
	}
}

func benchmarkChange(b *testing.B, maintained bool) {
	const (
		instances = 27_000
		pools     = 37
	)
	text := oneInstanceText(8)
	for i := range pools {
		text.Pools = append(text.Pools, fleet.Pool{Name: fleet.PoolName(fmt.Sprintf("pool-%02d", i)), Slots: 8, MaxSize: 10})
	}
	text.Instances = nil
	for i := range instances {
		text.Instances = append(text.Instances, fleet.Instance{
			ID:      fleet.InstanceID(fmt.Sprintf("worker-%05d", i)),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			Pool:    text.Pools[i%pools].Name,
		})
	}
	snap := control.Snapshot{Offset: 1, Version: 1, Text: text, Drains: make(control.Drains)}
	for i := 0; maintained && i < instances; i++ {
		m := control.Maintenance{Epoch: 1}
		if i%100 == 0 {
			m.Phase = control.Drained
		}
		snap.Drains[text.Instances[i].ID] = m
	}
	h := newStartingEntry()
	h.do(event.RecordsRead{Oldest: 2, Records: []control.Positioned{{Offset: 2, Record: control.Record{Body: snap}}}})
	at := fleet.Offset(1)
	for i := 0; b.Loop(); i++ {
		in := text.Instances[i%instances]
		in.Pool = text.Pools[(i+1)%pools].Name
		at++
		h.do(event.RecordsRead{Oldest: 1, Next: at + 1, Records: []control.Positioned{{
			Offset: at,
			Record: control.Record{
				ID:   fleet.RecordID(fmt.Sprint("r", at)),
				Body: control.Publish{Base: at - 1, Delta: &fleet.Delta{Instances: []fleet.Instance{in}}},
			},
		}}})
		h.after(time.Second, event.TimerFired{})
	}
	if h.status().Version != at {
		b.Fatalf("version %d is in force, want %d", h.status().Version, at)
	}
}
