package peer

import (
	"context"
	"sync"

	"github.com/banyanrail/banyanrail/loop"
)

// batch gathers what is to be sent in one message.
type batch[T any] struct {
	mu      sync.Mutex
	waiting []T
	// wake holds a token while something waits.
	wake chan struct{}
}

func newBatch[T any]() *batch[T] { return &batch[T]{wake: make(chan struct{}, 1)} }

// add queues an item and never waits.
func (b *batch[T]) add(item T) {
	b.mu.Lock()
	b.waiting = append(b.waiting, item)
	b.mu.Unlock()
	b.rouse()
}

func (b *batch[T]) rouse() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// drain sends what is queued, batchPause after the first of it, until the
// context ends or a send fails.
func (b *batch[T]) drain(ctx context.Context, send func([]T) error) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.wake:
		}
		if err := loop.Sleep(ctx, batchPause); err != nil {
			b.rouse() // for the next drain
			return err
		}
		b.mu.Lock()
		items := b.waiting
		b.waiting = nil
		b.mu.Unlock()
		if len(items) == 0 {
			continue
		}
		if err := send(items); err != nil {
			return err
		}
	}
}
