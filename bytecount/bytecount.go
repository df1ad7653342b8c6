// Package bytecount counts the bytes transferred over connections, for
// measurements.
package bytecount

import (
	"net"
	"sync/atomic"
)

// Counter counts the bytes read and written.
type Counter struct{ bytes atomic.Int64 }

// Bytes returns the number of bytes since the last Reset.
func (c *Counter) Bytes() int64 { return c.bytes.Load() }

// Reset sets the count to zero.
func (c *Counter) Reset() { c.bytes.Store(0) }

// Conn returns a connection whose bytes are counted.
func (c *Counter) Conn(conn net.Conn) net.Conn { return countedConn{Conn: conn, counter: c} }

// Listener returns a listener whose accepted connections are counted.
func (c *Counter) Listener(ln net.Listener) net.Listener {
	return countedListener{Listener: ln, counter: c}
}

type countedListener struct {
	net.Listener
	counter *Counter
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.Conn(conn), nil
}

type countedConn struct {
	net.Conn
	counter *Counter
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}
