package dev_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/dev"
	"github.com/shoenig/test/must"
)

const (
	// idleSettle is how long a fleet runs before it is measured, and idleTime
	// how long it is.
	idleSettle = 5 * time.Second
	idleTime   = 20 * time.Second
)

// usage is what the process uses.
type usage struct {
	// processor is the processor time of idleTime.
	processor  time.Duration
	heap       uint64
	goroutines int
}

// idle returns what a fleet without requests uses.
func idle(b *testing.B, entries int, traffic *dev.Traffic) usage {
	b.Helper()
	f, err := dev.Start(dev.Config{Entries: entries, Runners: 50, Slots: 8, Traffic: traffic})
	must.NoError(b, err)
	defer f.Stop()
	if entries > 0 {
		publish(b, f.Nodes[0], "0", f.Text(8))
		waitReady(b, f)
	}
	time.Sleep(idleSettle)
	traffic.Peers.Reset()
	traffic.Log.Reset()
	traffic.List.Reset()
	before := processorTime(b)
	time.Sleep(idleTime)
	used := usage{processor: processorTime(b) - before, goroutines: runtime.NumGoroutine()}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	used.heap = m.HeapAlloc
	return used
}

// BenchmarkIdle reports what an entry costs that has nothing to do, in a fleet
// of nine. What the stand-ins use without entries is taken off; what they use
// to answer the entries is not.
func BenchmarkIdle(b *testing.B) {
	if testing.Short() {
		b.Skip("takes a minute")
	}
	const entries = 9
	for b.Loop() {
		var none, traffic dev.Traffic
		base := idle(b, 0, &none)
		fleet := idle(b, entries, &traffic)
		seconds := entries * idleTime.Seconds()
		b.ReportMetric(float64((fleet.processor-base.processor).Microseconds())/seconds, "us-processor/s")
		b.ReportMetric(float64(int64(fleet.heap)-int64(base.heap))/entries/1024, "KiB-heap")
		b.ReportMetric(float64(fleet.goroutines-base.goroutines)/entries, "goroutines")
		// Each byte between entries is sent by one and received by another.
		b.ReportMetric(2*float64(traffic.Peers.Bytes())/seconds, "peer-B/s")
		b.ReportMetric(float64(traffic.Log.Bytes())/seconds, "log-B/s")
		b.ReportMetric(float64(traffic.List.Bytes())/seconds, "list-B/s")
	}
}
