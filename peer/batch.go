package peer

import (
	"context"
	"sync"
	"time"

	"github.com/banyanrail/banyanrail/loop"
)

// batch collects items that are sent together in one message.
type batch[T any] struct {
	mu    sync.Mutex
	queue []T
	// wake holds a token if items are queued.
	wake chan struct{}
}

func newBatch[T any]() *batch[T] { return &batch[T]{wake: make(chan struct{}, 1)} }

// add queues an item. It never blocks.
func (b *batch[T]) add(item T) {
	b.mu.Lock()
	b.queue = append(b.queue, item)
	b.mu.Unlock()
	b.signal()
}

func (b *batch[T]) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// sendUntilDone sends the queued items until the context ends or a send fails. It
// waits for batchDelay after the first item, to send more items together. Besides, it
// calls send without items at the given interval, unless that is zero.
func (b *batch[T]) sendUntilDone(ctx context.Context, interval time.Duration, send func([]T) error) error {
	var tick <-chan time.Time
	if interval > 0 {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		tick = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick:
			if err := send(nil); err != nil {
				return err
			}
			continue
		case <-b.wake:
		}
		if err := loop.Sleep(ctx, batchDelay); err != nil {
			b.signal() // the items stay queued for the next call
			return err
		}
		b.mu.Lock()
		items := b.queue
		b.queue = nil
		b.mu.Unlock()
		if len(items) == 0 {
			continue
		}
		if err := send(items); err != nil {
			return err
		}
	}
}
