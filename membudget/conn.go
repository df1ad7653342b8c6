package membudget

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
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
// another one gives way.
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
	// refused is set when the body that is read has given way.
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
		return 0, ErrGaveWay
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

// SetReadDeadline implements net.Conn. It does not revive a body that has given way.
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

// ConnContext makes the connection known to Handler. It is a ConnContext of http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if own, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, own)
	}
	return ctx
}

func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Handler marks calls as whole while h serves them, apart from their reading by
// ReadBody, and releases what they hold when they end.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		c.change(func(s *accounts, now time.Time) { s.enter(&c.account, phaseBusy, now) })
		defer c.budget.update(func(now time.Time) { c.budget.accounts.end(&c.account, now) })
		h.ServeHTTP(w, r)
	})
}

// Reserve charges bytes to the call of a request until it ends. It fails with ErrGaveWay
// if the budget is spent; the call must not be carried out then.
func Reserve(ctx context.Context, bytes int64) error {
	if c := connOf(ctx); c != nil && !c.budget.reserve(&c.account, bytes) {
		return ErrGaveWay
	}
	return nil
}

// Force charges bytes to the call of a request until it ends, also beyond the budget.
// It is for an answer to a call that was carried out. Calls that stand still give way.
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
