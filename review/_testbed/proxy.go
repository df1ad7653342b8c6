package main

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// mode is how a proxy treats the connections through it.
type mode uint32

const (
	forward mode = iota
	// refuse resets open and new connections, as a host does whose process has ended.
	refuse
	// drop drops the bytes in both directions, as a partition does.
	drop
	// dark also leaves new connections unanswered, as a host without power does.
	dark
)

// proxy forwards connections to one address.
type proxy struct {
	ln     net.Listener
	target string
	mode   atomic.Uint32
	// lit is held while the proxy is dark.
	lit  sync.Mutex
	mu   sync.Mutex
	open map[*net.TCPConn]bool
}

const (
	// usualBacklog is the length of a listener's queue of new connections.
	usualBacklog = 1024
	// fillTime is how long the proxy tries to fill that queue.
	fillTime = 100 * time.Millisecond
)

func newProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, open: make(map[*net.TCPConn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) setMode(m mode) {
	before := mode(p.mode.Swap(uint32(m)))
	switch {
	case m == dark && before != dark:
		p.lit.Lock()
		p.setBacklog(0)
		// The listener holds the few connections that its queue takes, and the kernel
		// drops the requests for further ones.
		for range 4 {
			if c, err := net.DialTimeout("tcp", p.address(), fillTime); err == nil {
				p.track(true, c.(*net.TCPConn))
			}
		}
	case m != dark && before == dark:
		p.setBacklog(usualBacklog)
		p.lit.Unlock()
	}
	if m == refuse {
		p.resetAll()
	}
}

func (p *proxy) setBacklog(n int) {
	raw, err := p.ln.(*net.TCPListener).SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
	}
}

func (p *proxy) is(m mode) bool { return p.mode.Load() == uint32(m) }

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.resetAll()
}

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			p.lit.Lock()   // waits while the proxy is dark
			p.lit.Unlock() //nolint:staticcheck // the lock is only waited for
			go p.serve(c.(*net.TCPConn))
		}
	}
}

func (p *proxy) serve(from *net.TCPConn) {
	if p.is(refuse) {
		_ = from.SetLinger(0)
		_ = from.Close()
		return
	}
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = from.Close()
		return
	}
	to := c.(*net.TCPConn)
	p.track(true, from, to)
	defer p.track(false, from, to)
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(to, from) })
	directions.Go(func() { p.copy(from, to) })
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

// copy forwards bytes in one direction. Once a connection has lost bytes, it drops
// all later ones too.
func (p *proxy) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		lost = lost || p.is(drop) || p.is(dark)
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
