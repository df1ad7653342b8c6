package loop_test

import (
	"context"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/loop"
)

// BenchmarkRoundTrip measures how long it takes to pass an event to the control
// goroutine and its reply back. Reduce returns the event as its only effect.
func BenchmarkRoundTrip(b *testing.B) {
	calls := loop.NewCalls[struct{}]()
	out := make([]uint64, 1)
	l := loop.New(loop.Config[uint64, uint64]{
		Reduce: func(_ time.Time, in uint64) []uint64 {
			out[0] = in
			return out
		},
		Act:   func(call uint64) { calls.Resolve(call, struct{}{}) },
		Timer: func(uint64) (time.Time, bool) { return time.Time{}, false },
	})
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := calls.Do(ctx, l.Post); err != nil {
				b.Error(err)
				return
			}
		}
	})
	cancel()
	<-l.Done()
}
