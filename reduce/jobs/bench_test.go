package jobs_test

import (
	"testing"
	"time"
)

// BenchmarkOwner plays a second of an owner with 290 runners and 75 jobs of
// about 12 tasks, most of which wait: the grown deployment in a burst.
func BenchmarkOwner(b *testing.B) {
	t := &testing.T{}
	w := newWorld(t, 1, 1, 290)
	w.run(3 * time.Second)
	n := 0
	second := func() {
		for range 75 {
			spec := twoSteps()
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
