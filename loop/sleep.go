package loop

import (
	"context"
	"time"
)

// Sleep waits for a time, or returns the context's error when that ends first. It
// is for traffic goroutines; reducers ask for timers.
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
