// Package bytecount counts the bytes that pass over connections, for
// measurements.
package bytecount

import (
	"net"
	"sync/atomic"
)

// Counter counts bytes, both ways.
type Counter struct{ bytes atomic.Int64 }

// Bytes returns the count so far.
func (c *Counter) Bytes() int64 { return c.bytes.Load() }

// Reset begins the count again.
func (c *Counter) Reset() { c.bytes.Store(0) }

// Conn returns a connection that is counted.
func (c *Counter) Conn(conn net.Conn) net.Conn { return counted{Conn: conn, counter: c} }

// Listener returns a listener whose connections are counted.
func (c *Counter) Listener(ln net.Listener) net.Listener {
	return listener{Listener: ln, counter: c}
}

type listener struct {
	net.Listener
	counter *Counter
}

func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.Conn(conn), nil
}

type counted struct {
	net.Conn
	counter *Counter
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}
