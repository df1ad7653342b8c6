package soak_test

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// mode is how a proxy treats the connections through it.
type mode uint32

const (
	forward mode = iota
	// reset resets open and new connections.
	reset
	// dropRequests drops the bytes sent to the target, dropAnswers the bytes sent
	// back.
	dropRequests
	dropAnswers
	// dropAll drops the bytes in both directions.
	dropAll
	// delay forwards all bytes after delayTime, even if the caller has closed the
	// connection.
	delay
	// keepBack has calls carried out later, by lateCalls.
	keepBack
)

var modeNames = [...]string{"forward", "reset", "drop requests", "drop answers", "drop all", "delay", "keep back"}

func (m mode) String() string { return modeNames[m] }

// delayTime is longer than the time-out of any call, so that a delayed call is
// carried out after its caller has given up.
const delayTime = 2500 * time.Millisecond

// proxy forwards connections to one address.
type proxy struct {
	ln     net.Listener
	target string
	mode   atomic.Uint32
	// late keeps calls back in the mode keepBack; nil for all but runners.
	late *lateCalls
	mu   sync.Mutex
	// modeChanged is when the mode was last set.
	modeChanged time.Time
	// refused holds the callers' addresses of connections for which the target
	// could not be dialled.
	refused map[string]bool
	open    map[*net.TCPConn]bool
	wg      sync.WaitGroup
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	p := &proxy{ln: ln, target: target, open: make(map[*net.TCPConn]bool), refused: make(map[string]bool)}
	p.wg.Go(p.accept)
	t.Cleanup(func() {
		_ = ln.Close()
		p.resetAll()
		p.wg.Wait()
	})
	return p
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	p.modeChanged = time.Now()
	p.mu.Unlock()
	p.mode.Store(uint32(m))
	if m == reset {
		p.resetAll()
	}
}

func (p *proxy) hasMode(modes ...mode) bool {
	for _, m := range modes {
		if p.mode.Load() == uint32(m) {
			return true
		}
	}
	return false
}

// faultAfter reports whether a fault had an effect after a time. Delayed bytes and
// connections that dropped bytes outlive the fault.
func (p *proxy) faultAfter(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.hasMode(forward) || p.modeChanged.Add(delayTime).After(since)
}

// reached reports whether a caller's connection was forwarded to the target.
func (p *proxy) reached(caller string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.refused[caller]
}

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			p.wg.Go(func() { p.serve(c.(*net.TCPConn)) })
		}
	}
}

func (p *proxy) serve(from *net.TCPConn) {
	if p.hasMode(reset) {
		_ = from.SetLinger(0)
		_ = from.Close()
		return
	}
	if p.hasMode(keepBack) {
		p.track(true, from)
		defer p.track(false, from)
		p.late.keep(from, nil)
		_ = from.Close()
		return
	}
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		p.mu.Lock()
		p.refused[from.RemoteAddr().String()] = true
		p.mu.Unlock()
		_ = from.Close()
		return
	}
	to := c.(*net.TCPConn)
	p.track(true, from, to)
	defer p.track(false, from, to)
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(to, from, dropRequests) })
	directions.Go(func() { p.copy(from, to, dropAnswers) })
	directions.Wait()
	_ = from.Close()
	_ = to.Close()
}

func (p *proxy) track(open bool, conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		if open {
			p.open[c] = true
		} else {
			delete(p.open, c)
		}
	}
}

// copy forwards bytes in one direction. Once a connection has lost bytes it drops
// all later ones, as in a network partition that outlasts the connection.
func (p *proxy) copy(to, from *net.TCPConn, drop mode) {
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		if p.hasMode(delay) {
			time.Sleep(delayTime)
		}
		lost = lost || p.hasMode(drop, dropAll)
		if n > 0 && !lost && drop == dropRequests && p.hasMode(keepBack) {
			p.late.keep(from, buffer[:n])
			_ = to.CloseWrite()
			return
		}
		if n > 0 && !lost {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}
