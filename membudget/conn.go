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
	// streamBytes is the charge of a gRPC connection, which has a read buffer and a write
	// buffer of 32 KB each.
	streamBytes = 96 << 10
	// socketBytes is the size of a client's socket buffers, for requests that are not
	// read yet and answers that the client does not read. Left to itself the kernel
	// lets each grow to megabytes.
	socketBytes = 64 << 10
	// writeBytes is the size of the pieces in which answers are written. Each counts as
	// progress.
	writeBytes = 64 << 10
)

// PortConfig holds the settings of a port.
type PortConfig struct {
	// Connections bounds the open connections.
	Connections int
	TLS         bool
	// Streams is set for gRPC, whose connections carry several calls at once. Only their
	// number is bounded; Reserve counts their calls.
	Streams bool
}

// ConnectionBytes returns the charge of a connection.
func (cfg PortConfig) ConnectionBytes() int64 {
	charge := int64(connectionBytes)
	if cfg.Streams {
		charge = streamBytes
	}
	if cfg.TLS {
		charge += tlsBytes
	}
	return charge
}

// Port counts the connections of one listener. A nil Port has no bounds.
type Port struct {
	budget   *Budget
	accounts *portAccounts
}

// Port adds a port.
func (b *Budget) Port(cfg PortConfig) *Port {
	p := &Port{budget: b, accounts: &portAccounts{maxConnections: cfg.Connections, connectionBytes: cfg.ConnectionBytes(), streams: cfg.Streams}}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts.ports = append(b.accounts.ports, p.accounts)
	return p
}

// Listener returns a listener that accepts the connections of ln within the bounds.
func (p *Port) Listener(ln net.Listener) net.Listener {
	if p == nil {
		return ln
	}
	return &listener{Listener: ln, port: p}
}

type listener struct {
	net.Listener
	port *Port
}

// Accept implements net.Listener. Connections that exceed the bounds are closed, unless
// another one is evicted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.port.admit(raw); c != nil {
			return c, nil
		}
		_ = raw.Close() // the connection is given up
	}
}

func (p *Port) admit(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, budget: p.budget}
	c.account.port, c.account.conn = p.accounts, c
	ok := p.budget.decide(func(now time.Time) ([]victim, bool) {
		p.budget.watch()
		return p.budget.accounts.open(&c.account, now)
	})
	if !ok {
		p.budget.count(ReasonConnections)
		return nil
	}
	if tcp, isTCP := raw.(*net.TCPConn); isTCP && !p.accounts.streams {
		_ = tcp.SetReadBuffer(socketBytes)  // fails only on a closed connection
		_ = tcp.SetWriteBuffer(socketBytes) // the same
	}
	return c
}

// Conn is a connection that is charged to a budget.
type Conn struct {
	net.Conn
	budget  *Budget
	account account
	// refused is set when the body that is read was evicted.
	refused atomic.Bool
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
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
	return c.Conn.Close()
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
// calls begin and end.
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
			c.change(func(s *accounts, now time.Time) { s.enter(&c.account, phaseBusy, now) })
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
			c.budget.accounts.charge(&c.account, bytes)
		}
		return victims, true
	})
}
