package reduce_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// footprint is the number of things of each kind that a state holds.
type footprint struct {
	instances, services, members, requests int
}

// text spreads the instances over the services' pools and 23 data centres.
func (f footprint) text() *fleet.Text {
	t := &fleet.Text{}
	for i := range f.services {
		pool := fleet.PoolName(fmt.Sprintf("pool-%03d", i))
		t.Pools = append(t.Pools, fleet.Pool{Name: pool, Slots: 8, MaxSize: 100})
		t.Services = append(t.Services, fleet.Service{
			Name: fleet.ServiceName(fmt.Sprintf("service-%03d", i)), Pool: pool, Idempotent: true,
			TimeLimit: time.Minute, MaxBody: 1 << 20, MaxQueue: 1 << 20, MaxAttempts: 3,
		})
	}
	for i := range f.instances {
		t.Instances = append(t.Instances, fleet.Instance{
			ID:         fleet.InstanceID(fmt.Sprintf("instance-%05d", i)),
			Address:    fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			DataCentre: fleet.DataCentre(fmt.Sprintf("dc-%02d", i%23)),
			Rack:       fleet.Rack(fmt.Sprintf("rack-%04d", i/4)),
			Pool:       t.Pools[i%len(t.Pools)].Name,
		})
	}
	for i := range f.members {
		t.Members = append(t.Members, fleet.Member{Name: fleet.MemberName(fmt.Sprintf("member-%04d", i)), Weight: 1})
	}
	return t
}

// build returns a state that has folded the text and received the requests.
func (f footprint) build() *reduce.State {
	s := reduce.New(reduce.Config{Entry: "entry-1", Seed: 7, MaxRequests: 1 << 20})
	now := epoch
	do := func(body event.Body) { reduce.Reduce(s, event.Event{Now: now, Body: body}) }
	text := f.text()
	do(event.RecordsRead{Records: []control.Positioned{{
		Offset: 1, Record: control.Record{ID: "text", Body: control.Publish{Text: text}},
	}}, Next: 2, Oldest: 1})
	for i := range f.requests {
		do(event.RequestArrived{
			ID:      fleet.RequestID(i + 1),
			Service: text.Services[i%len(text.Services)].Name,
			Member:  text.Members[i%len(text.Members)].Name,
			Size:    1,
		})
	}
	return s
}

// heapOf returns the live heap that a built state takes, in bytes.
func (f footprint) heapOf() float64 {
	before := liveHeap()
	s := f.build()
	after := liveHeap()
	runtime.KeepAlive(s)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkFootprint measures the memory that one more thing of each kind takes
// at an entry, as the slope between two sizes, and the total at the design size.
func BenchmarkFootprint(b *testing.B) {
	whole := footprint{instances: 27_000, services: 37, members: 850}
	slope := func(more, less footprint, n int) float64 { return (more.heapOf() - less.heapOf()) / float64(n) }
	for b.Loop() {
		less := whole
		less.instances = 9_000
		b.ReportMetric(slope(whole, less, 18_000), "B/instance")
		less = whole
		less.members = 50
		b.ReportMetric(slope(whole, less, 800), "B/member")
		few := footprint{instances: 400, services: 200, members: 10}
		less = few
		less.services = 20
		b.ReportMetric(slope(few, less, 180), "B/service")
		few = footprint{instances: 10, services: 1, members: 10, requests: 20_000}
		less = few
		less.requests = 2_000
		b.ReportMetric(slope(few, less, 18_000), "B/request")
		b.ReportMetric(whole.heapOf()/(1<<20), "MB-whole")
	}
}
