package jobs_test

import (
	"testing"
	"time"
)

// BenchmarkOwner simulates one second of an owner with 290 runners during a burst
// of 75 jobs a second with 11 tasks each, most of which wait. The figures are those
// of the largest deployment.
func BenchmarkOwner(b *testing.B) {
	t := &testing.T{}
	w := newWorld(t, 1, 1, 290)
	w.run(3 * time.Second)
	n := 0
	second := func() {
		for range 75 {
			spec := twoStepJob()
			spec.Steps[0].Count, spec.Steps[0].Needs.CPU = 8, 5000
			spec.Steps[0].Estimate = 1500 * time.Millisecond
			w.submit(jobID(n), spec)
			n++
			w.run(13 * time.Millisecond)
		}
	}
	for range 5 {
		second()
	}
	b.ResetTimer()
	for range b.N {
		second()
	}
}

// BenchmarkTakeover loads 10,000 stored jobs at a new owner, half of which have
// ended. It does not include the work of the store and the codec.
func BenchmarkTakeover(b *testing.B) {
	w := newWorld(&testing.T{}, 1, 2, 50)
	w.run(3 * time.Second)
	for n := range 10_000 {
		w.submit(jobID(n), twoStepJob())
		if n%20 == 0 {
			w.run(10 * time.Millisecond)
		}
	}
	w.run(time.Second)
	b.ResetTimer()
	for range b.N {
		before := w.owner()
		before.kill()
		for w.owner() == before {
			w.run(10 * time.Millisecond)
		}
		w.run(100 * time.Millisecond)
		b.StopTimer()
		before.boot()
		w.run(3 * time.Second)
		b.StartTimer()
	}
}
