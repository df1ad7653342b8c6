package membudget

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// firstBytes is the size of the first buffer of a body, which is part of the
	// connection's charge. Each further one is twice as large.
	firstBytes = 4 << 10
	// extraBytes are added to each buffer, so that the end of a body that fills it is
	// read without the next larger buffer.
	extraBytes = 512
	// pooledSizes is the number of sizes of buffers that are kept for later bodies: up
	// to 256 KB.
	pooledSizes = 7
)

// pools hold free buffers by size.
var pools [pooledSizes]sync.Pool

func sizeOf(class int) int { return firstBytes<<class + extraBytes }

func newBuffer(class int) *[]byte {
	if class < pooledSizes {
		if b, ok := pools[class].Get().(*[]byte); ok {
			return b
		}
	}
	b := make([]byte, sizeOf(class))
	return &b
}

func freeBuffer(b *[]byte, class int) {
	if class < pooledSizes {
		pools[class].Put(b)
	}
}

// Body is the body of a request.
type Body struct {
	buffer *[]byte
	class  int
	size   int
}

// Bytes returns the content, which is valid until Release.
func (b *Body) Bytes() []byte {
	if b.buffer == nil {
		return nil
	}
	return (*b.buffer)[:b.size:b.size]
}

// Release lets other bodies use the buffer. The call stays charged until it ends, for
// what was decoded from it.
func (b *Body) Release() {
	if b.buffer != nil {
		freeBuffer(b.buffer, b.class)
		b.buffer = nil
	}
}

// ReadBody reads the body of a request of at most limit bytes, and charges buffers to
// the request's connection as its bytes arrive. It fails with ErrTooLarge or ErrEvicted,
// or with the connection's error.
func ReadBody(r *http.Request, limit int64) (Body, error) {
	if r.ContentLength > limit {
		return Body{}, ErrTooLarge
	}
	c := connOf(r.Context())
	if c == nil {
		return readBody(r.Context(), r.Body, limit)
	}
	c.change(func(s *accounts, now time.Time) { s.enter(&c.account, phaseBody, now) })
	body, err := readBody(r.Context(), r.Body, limit)
	evicted := false
	c.change(func(s *accounts, now time.Time) {
		if err == nil {
			s.enter(&c.account, phaseBusy, now)
		}
		evicted = c.account.gone()
	})
	if evicted {
		body.Release()
		return Body{}, ErrEvicted
	}
	return body, err
}

func readBody(ctx context.Context, src io.Reader, limit int64) (Body, error) {
	b := Body{buffer: newBuffer(0)}
	for {
		if b.size == len(*b.buffer) {
			if err := b.grow(ctx); err != nil {
				b.Release()
				return Body{}, err
			}
		}
		n, err := src.Read((*b.buffer)[b.size:])
		b.size += n
		switch {
		case int64(b.size) > limit:
			b.Release()
			return Body{}, ErrTooLarge
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			b.Release()
			return Body{}, err
		}
	}
}

// grow moves the content to the next larger buffer. The former one is charged until it
// is free.
func (b *Body) grow(ctx context.Context) error {
	larger := sizeOf(b.class + 1)
	if err := Reserve(ctx, int64(larger)); err != nil {
		return err
	}
	next := newBuffer(b.class + 1)
	copy(*next, (*b.buffer)[:b.size])
	former := b.class
	freeBuffer(b.buffer, former)
	b.buffer, b.class = next, former+1
	if c := connOf(ctx); c != nil && former > 0 {
		c.change(func(s *accounts, now time.Time) { s.release(&c.account, int64(sizeOf(former)), now) })
	}
	return nil
}
