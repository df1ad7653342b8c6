package membudget

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// pendingSocketBytes is the size of the receive buffer of a connection that is not
	// accepted yet, and openSocketBytes that of each buffer of an open one. The kernel
	// allows for twice as much, and never lets them grow.
	pendingSocketBytes = 2 << 10
	openSocketBytes    = 8 << 10
	kernelFactor       = 2
	// drainGrace is the grace of a port that is drained.
	drainGrace = 25 * time.Millisecond
	// OpenBytes is what the kernel may hold of an open connection.
	OpenBytes = 2 * kernelFactor * openSocketBytes
	// PendingBytes is what the kernel may hold of a connection that is not accepted.
	PendingBytes = kernelFactor * pendingSocketBytes
)

// PortConfig holds the settings of a port.
type PortConfig struct {
	// Connections bounds the open connections, and Backlog those that wait to be accepted.
	Connections, Backlog int
	// Grace is how long a client has for each request while others wait for a place.
	Grace time.Duration
	TLS   bool
	// Streams is set for gRPC, whose connections carry several calls at once. The budget
	// counts what has arrived of their messages; Reserve counts their calls.
	Streams bool
}

// ConnectionBytes returns the charge of a connection. Those of streams are bounded by their
// number alone, so that other entries take nothing of clients.
func (cfg PortConfig) ConnectionBytes() int64 {
	if cfg.Streams {
		return 0
	}
	charge := int64(connectionBytes)
	if cfg.TLS {
		charge += tlsBytes
	}
	return charge
}

// KernelBytes returns the most that the kernel holds for the port in socket buffers.
func (cfg PortConfig) KernelBytes() int64 {
	return int64(cfg.Connections)*OpenBytes + int64(cfg.Backlog)*PendingBytes
}

// Port counts the connections of one listener. A nil Port has no bounds.
type Port struct {
	budget   *Budget
	accounts *portAccounts
	backlog  int
	// freed has an element after a connection has been closed.
	freed chan struct{}
}

// Port adds a port.
func (b *Budget) Port(cfg PortConfig) *Port {
	p := &Port{
		budget:   b,
		accounts: &portAccounts{maxConnections: cfg.Connections, connectionBytes: cfg.ConnectionBytes(), grace: cfg.Grace, streams: cfg.Streams},
		backlog:  cfg.Backlog,
		freed:    make(chan struct{}, 1),
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts.ports = append(b.accounts.ports, p.accounts)
	return p
}

// Drain shortens the grace of the port's requests. A process that stops calls it a while before
// it closes the listener, so that no ordinary request is lost in the backlog behind a crowd.
func (p *Port) Drain() {
	if p == nil {
		return
	}
	p.budget.update(func(time.Time) { p.accounts.grace = min(p.accounts.grace, drainGrace) })
	p.signal()
}

// signal wakes up an Accept that waits for a place.
func (p *Port) signal() {
	select {
	case p.freed <- struct{}{}:
	default: // one is there
	}
}

// Listen listens at a TCP address and accepts connections within the bounds.
func (p *Port) Listen(ctx context.Context, address string) (net.Listener, error) {
	if p == nil {
		return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	}
	// Connections inherit the receive buffer of their listener until they are accepted. It
	// only grows then: the kernel drops what clients have sent beyond a smaller one.
	cfg := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return control(raw, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, pendingSocketBytes)
		})
	}}
	cfg.SetMultipathTCP(false) // its subflows have buffers of their own
	ln, err := cfg.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := ln.(*net.TCPListener); ok && p.backlog > 0 {
		raw, err := tcp.SyscallConn()
		if err == nil {
			err = control(raw, func(fd int) error { return unix.Listen(fd, p.backlog) })
		}
		if err != nil {
			_ = ln.Close() // the error is the one before
			return nil, fmt.Errorf("bound the backlog: %w", err)
		}
	}
	return &listener{Listener: ln, port: p, closed: make(chan struct{})}, nil
}

// control calls f with the descriptor of a socket.
func control(raw syscall.RawConn, f func(fd int) error) error {
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return err
	}
	return failed
}

type listener struct {
	net.Listener
	port   *Port
	once   sync.Once
	closed chan struct{}
}

// Accept implements net.Listener. At a full port it waits for a place: further connections
// stay in the backlog, and are accepted in their order.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.port.admit(raw, l.closed); c != nil {
			return c, nil
		}
		_ = raw.Close() // the connection is given up
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// admit returns a connection once it has a place. It returns nil if all places are taken by
// requests that are carried out and stay so for the port's grace, or if the listener is closed.
func (p *Port) admit(raw net.Conn, closed <-chan struct{}) *Conn {
	c := &Conn{Conn: raw, budget: p.budget, port: p}
	c.account.port, c.account.conn = p.accounts, c
	if tcp, isTCP := raw.(*net.TCPConn); isTCP {
		_ = tcp.SetReadBuffer(openSocketBytes)  // fails only on a closed connection
		_ = tcp.SetWriteBuffer(openSocketBytes) // the same
	}
	for began := time.Now(); ; {
		var wait time.Duration
		ok := p.budget.decide(func(now time.Time) (victims []victim, ok bool) {
			p.budget.watch()
			victims, wait, ok = p.budget.accounts.open(&c.account, now)
			if wait == 0 {
				wait = p.accounts.grace - now.Sub(began)
			}
			return victims, ok
		})
		if ok {
			return c
		}
		if wait <= 0 || !p.await(wait, closed) {
			p.budget.count(ReasonConnections)
			return nil
		}
	}
}

// await waits until a connection has been closed or a time has passed. It reports false if the
// listener is closed.
func (p *Port) await(d time.Duration, closed <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-closed:
		return false
	case <-p.freed:
	case <-timer.C:
	}
	return true
}
