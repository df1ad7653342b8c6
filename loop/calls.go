package loop

import (
	"context"
	"sync"
)

// Calls matches the replies of a reducer to the goroutines that wait for them.
// The zero value is not usable; call NewCalls.
type Calls[T any] struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan T
}

// NewCalls returns an empty table.
func NewCalls[T any]() *Calls[T] {
	return &Calls[T]{waiting: make(map[uint64]chan T)}
}

// Open returns the id of a new call and the channel of its reply, which holds
// at most one value.
func (c *Calls[T]) Open() (uint64, <-chan T) {
	ch := make(chan T, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	c.waiting[c.next] = ch
	return c.next, ch
}

// Resolve hands a reply to its caller. It returns false when the caller has
// gone or was answered before.
func (c *Calls[T]) Resolve(id uint64, reply T) bool {
	c.mu.Lock()
	ch, ok := c.waiting[id]
	delete(c.waiting, id)
	c.mu.Unlock()
	if ok {
		ch <- reply
	}
	return ok
}

// Close forgets a call that no longer waits.
func (c *Calls[T]) Close(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// Len returns the number of calls that wait.
func (c *Calls[T]) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting)
}

// Do opens a call, sends it and waits for its reply or for the context.
func (c *Calls[T]) Do(ctx context.Context, send func(id uint64) error) (T, error) {
	var zero T
	id, reply := c.Open()
	defer c.Close(id)
	if err := send(id); err != nil {
		return zero, err
	}
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
