package membudget

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// connectionBytes is the charge of a connection: a goroutine's stack, the HTTP
	// server's two buffers of 4 KB, the first headers and a small body.
	connectionBytes = 24 << 10
	// tlsBytes is added for TLS: its records and the state of a session.
	tlsBytes = 48 << 10
	// writeBytes is the size of the pieces in which answers are written. Each counts as
	// progress.
	writeBytes = 64 << 10
)

// Conn is a connection that is charged to a budget.
type Conn struct {
	net.Conn
	budget  *Budget
	port    *Port
	account account
	// reading is set once the server reads. Only one goroutine reads at a time.
	reading bool
	// refused is set when the body that is read was evicted.
	refused atomic.Bool
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.reading {
		c.reading = true
		c.change(func(s *accounts, now time.Time) { s.begin(&c.account, now) })
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	var victims []victim
	ok := true
	c.change(func(s *accounts, now time.Time) { victims, ok = s.received(&c.account, n, now) })
	c.budget.carryOut(victims)
	if !ok {
		c.budget.count(ReasonBytes)
		_ = c.Close() // the connection is given up
		return 0, ErrEvicted
	}
	return n, err
}

// Write implements net.Conn. Each piece that the client takes counts as progress.
func (c *Conn) Write(p []byte) (int, error) {
	if c.account.port.streams {
		return c.Conn.Write(p)
	}
	written := 0
	for {
		piece := p[written:min(len(p), written+writeBytes)]
		c.change(func(s *accounts, now time.Time) { s.startAnswer(&c.account, now) })
		n, err := c.Conn.Write(piece)
		c.change(func(s *accounts, now time.Time) { s.finishAnswer(&c.account, now) })
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.budget.decide(func(time.Time) ([]victim, bool) {
		c.budget.accounts.close(&c.account)
		return nil, true
	})
	err := c.Conn.Close()
	c.port.signal()
	return err
}

// RemoteAddr implements net.Conn. Delivered finds the connection by it.
func (c *Conn) RemoteAddr() net.Addr { return remoteAddr{Addr: c.Conn.RemoteAddr(), conn: c} }

type remoteAddr struct {
	net.Addr
	conn *Conn
}

// Delivered records that a whole message has arrived on the connection with a remote address,
// so that the message's bytes are no longer charged to it.
func Delivered(from net.Addr) {
	if a, ok := from.(remoteAddr); ok {
		a.conn.change(func(s *accounts, now time.Time) { s.delivered(&a.conn.account, now) })
	}
}

// CloseWrite closes the writing side, as the HTTP server does before it closes a
// connection whose request is not read to its end.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetReadDeadline implements net.Conn. It does not revive a body that was evicted.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.refused.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// refuseBody ends the reading of a body, so that its handler answers with a refusal.
func (c *Conn) refuseBody() {
	c.refused.Store(true)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

func (c *Conn) change(f func(*accounts, time.Time)) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	f(&c.budget.accounts, time.Now())
}

type connKey struct{}

// Configure has a server, whose listener is that of a Port, tell the budget where its
// calls begin and end. A request with a body is whole when ReadBody has read it.
func Configure(srv *http.Server) {
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if own := own(c); own != nil {
			return context.WithValue(ctx, connKey{}, own)
		}
		return ctx
	}
	// A call ends when its answer is written, not when its handler returns: until then the
	// connection must not be evicted as an idle one.
	srv.ConnState = func(c net.Conn, state http.ConnState) {
		if own := own(c); own != nil && state == http.StateIdle {
			own.change(func(s *accounts, now time.Time) { s.end(&own.account, now) })
		}
	}
	h := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r.Context()); c != nil {
			closes := false
			c.change(func(s *accounts, now time.Time) {
				if r.ContentLength == 0 {
					s.enter(&c.account, phaseBusy, now)
				}
				closes = c.account.port.crowded()
			})
			if closes {
				w.Header().Set("Connection", "close")
			}
		}
		h.ServeHTTP(w, r)
	})
}

// own returns the Conn below a connection of a server, or nil.
func own(c net.Conn) *Conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	conn, _ := c.(*Conn)
	return conn
}

func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// CloseAfterAnswer has the server close the connection after the answer to a request whose
// body is not read to its end. The server waits a moment before, as a connection that is
// reset at once may take the answer with it.
func CloseAfterAnswer(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	// Beyond its limit, a MaxBytesReader has the server do so. It has no other way for a
	// client that asks for the end of the connection itself.
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
}

// Reserve charges bytes to the call of a request until it ends. It fails with ErrEvicted
// if the budget is spent; the call must not be carried out then.
func Reserve(ctx context.Context, bytes int64) error {
	if c := connOf(ctx); c != nil && !c.budget.reserve(&c.account, bytes) {
		return ErrEvicted
	}
	return nil
}

// Force charges bytes to the call of a request until it ends, also beyond the budget.
// It is for an answer to a call that was carried out. Stalled calls are evicted.
func Force(ctx context.Context, bytes int64) {
	c := connOf(ctx)
	if c == nil {
		return
	}
	c.budget.decide(func(now time.Time) ([]victim, bool) {
		victims, ok := c.budget.accounts.reserve(&c.account, bytes, now)
		if !ok {
			c.budget.accounts.charge(&c.account, bytes, now)
		}
		return victims, true
	})
}
