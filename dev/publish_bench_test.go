package dev_test

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/shoenig/test/must"
)

const (
	// benchEntries is the number of entries of a production fleet.
	benchEntries = 9
	// benchRunners is the number of runners of a production fleet.
	benchRunners = 50
	// maxDelay is the largest delay in the histogram.
	maxDelay = time.Minute
)

// versionCounter counts the entries at which each version has come into force.
type versionCounter struct {
	mu      sync.Mutex
	changed *sync.Cond
	entries map[fleet.Version]int
}

func newVersionCounter() *versionCounter {
	c := &versionCounter{entries: make(map[fleet.Version]int)}
	c.changed = sync.NewCond(&c.mu)
	return c
}

func (c *versionCounter) tap(_ event.Event, out []effect.Effect) []effect.Effect {
	for _, e := range out {
		if change, ok := e.(effect.LogChange); ok && change.Change == effect.ChangeText {
			c.mu.Lock()
			c.entries[change.Version]++
			c.changed.Broadcast()
			c.mu.Unlock()
		}
	}
	return out
}

// wait blocks until a version is in force at a number of entries.
func (c *versionCounter) wait(version fleet.Version, entries int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.entries[version] < entries {
		c.changed.Wait()
	}
}

// BenchmarkPublish measures the time from an operator's publish until the text
// is in force on all nine entries.
func BenchmarkPublish(b *testing.B) {
	b.Run("normal", func(b *testing.B) { benchmarkPublish(b, func(*dev.Fleet, int) {}) })
	b.Run("one entry cut off from the log", func(b *testing.B) {
		benchmarkPublish(b, func(f *dev.Fleet, _ int) { f.Entries[benchEntries-1].Log.SetDisconnected(true) })
	})
	b.Run("lost append answers", func(b *testing.B) {
		benchmarkPublish(b, func(f *dev.Fleet, _ int) {
			must.NoError(b, f.Platform.SetLogFault(standin.LogFault{LoseAnswers: 1}))
		})
	})
}

func benchmarkPublish(b *testing.B, before func(*dev.Fleet, int)) {
	f, counter := startCounted(b)
	defer f.Stop()
	delays := hdrhistogram.New(1, maxDelay.Microseconds(), 3)
	base := "0"
	for i := 0; b.Loop(); i++ {
		before(f, i)
		started := time.Now()
		_, res := publish(b, f.Entries[i%(benchEntries-1)], base, f.Text(1+i))
		must.EqOp(b, "accepted", res.Outcome)
		counter.wait(res.Version, benchEntries)
		must.NoError(b, delays.RecordValue(time.Since(started).Microseconds()))
		base = strconv.FormatInt(int64(res.Version), 10)
	}
	reportDelays(b, delays)
}

// BenchmarkPublishAfterStart starts a tenth entry and publishes a text immediately.
// It measures the time from the start until the text is in force on all entries.
func BenchmarkPublishAfterStart(b *testing.B) {
	f, counter := startCounted(b)
	defer f.Stop()
	delays := hdrhistogram.New(1, maxDelay.Microseconds(), 3)
	base := "0"
	for i := 0; b.Loop(); i++ {
		started := time.Now()
		n, err := f.AddEntry(false)
		must.NoError(b, err)
		_, res := publish(b, f.Entries[0], base, f.Text(1+i))
		must.EqOp(b, "accepted", res.Outcome)
		counter.wait(res.Version, benchEntries+1)
		must.NoError(b, delays.RecordValue(time.Since(started).Microseconds()))
		base = strconv.FormatInt(int64(res.Version), 10)
		n.Kill()
	}
	reportDelays(b, delays)
}

func startCounted(b *testing.B) (*dev.Fleet, *versionCounter) {
	b.Helper()
	counter := newVersionCounter()
	f, err := dev.Start(dev.Config{
		Entries: benchEntries, Runners: benchRunners, Slots: 8, ProcessingTime: time.Millisecond,
		Deps: entry.Deps{Tap: counter.tap},
	})
	must.NoError(b, err)
	return f, counter
}

func reportDelays(b *testing.B, delays *hdrhistogram.Histogram) {
	b.Helper()
	for name, q := range map[string]float64{"p50-ms": 50, "p99-ms": 99, "max-ms": 100} {
		b.ReportMetric(float64(delays.ValueAtQuantile(q))/1000, name)
	}
}
