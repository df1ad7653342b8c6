package loop

import (
	"context"
	"time"
)

// Sleep waits for the duration d, or returns the context's error if the context
// ends first. It is for traffic goroutines; reducers set timers instead.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
