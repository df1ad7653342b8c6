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

// mode is what a proxy does with the bytes it passes on.
type mode uint32

const (
	pass mode = iota
	// reset breaks open connections and new ones.
	reset
	// dropRequests passes nothing on, dropAnswers nothing back.
	dropRequests
	dropAnswers
	// silence passes nothing either way.
	silence
	// hold passes everything on after holdTime, also when the caller has gone.
	hold
)

var modeNames = [...]string{"pass", "reset", "drop requests", "drop answers", "silence", "hold"}

func (m mode) String() string { return modeNames[m] }

// holdTime is longer than any call's time limit, so that what is held is carried
// out after its caller has given up.
const holdTime = 2500 * time.Millisecond

// proxy passes connections on to one address.
type proxy struct {
	ln     net.Listener
	target string
	mode   atomic.Uint32
	mu     sync.Mutex
	// faulty is when a fault last began or ended.
	faulty time.Time
	// refused holds the callers' addresses of the connections that the target
	// did not take.
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
		p.breakAll()
		p.wg.Wait()
	})
	return p
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	p.faulty = time.Now()
	p.mu.Unlock()
	p.mode.Store(uint32(m))
	if m == reset {
		p.breakAll()
	}
}

func (p *proxy) is(modes ...mode) bool {
	for _, m := range modes {
		if p.mode.Load() == uint32(m) {
			return true
		}
	}
	return false
}

// disturbed reports whether a fault was at work after a moment. Held bytes and
// silenced connections outlive the fault.
func (p *proxy) disturbed(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.is(pass) || p.faulty.Add(holdTime).After(since)
}

// reached reports whether a caller's connection was taken by the target.
func (p *proxy) reached(caller string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.refused[caller]
}

func (p *proxy) breakAll() {
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
	if p.is(reset) {
		_ = from.SetLinger(0)
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
	var both sync.WaitGroup
	both.Go(func() { p.copy(to, from, dropRequests) })
	both.Go(func() { p.copy(from, to, dropAnswers) })
	both.Wait()
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

// copy passes bytes on one way. A connection that lost bytes stays silent for
// good, as with a cut that outlives it.
func (p *proxy) copy(to, from *net.TCPConn, drop mode) {
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		if p.is(hold) {
			time.Sleep(holdTime)
		}
		lost = lost || p.is(drop, silence)
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
