package loop

import (
	"context"
	"sync"
)

// Calls matches replies of a reducer to the goroutines that wait for them.
// The zero value is not usable; call NewCalls.
type Calls[T any] struct {
	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan T
}

// NewCalls returns a table without calls.
func NewCalls[T any]() *Calls[T] {
	return &Calls[T]{waiting: make(map[uint64]chan T)}
}

// Open registers a new call and returns its id and the channel that receives
// its reply. The channel has room for one value.
func (c *Calls[T]) Open() (uint64, <-chan T) {
	ch := make(chan T, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	c.waiting[c.lastID] = ch
	return c.lastID, ch
}

// Resolve passes a reply to the caller that waits for it. It returns false if
// the call was closed or has been resolved before.
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

// Close removes a call from the table.
func (c *Calls[T]) Close(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// Len returns the number of open calls.
func (c *Calls[T]) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting)
}

// Do opens a call, passes its id to send, and waits for the reply or for the end
// of the context.
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
