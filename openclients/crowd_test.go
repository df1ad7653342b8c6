package openclients_test

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// crowdSize is the number of clients, which exceeds maxFDs and of whose bodies
	// maxFDs connections hold more than memoryMB.
	crowdSize = 700
	// bodyBytes is the size of a client's body, just below the limit of 256 KB.
	bodyBytes = 250_000
	// missingBytes is what a client leaves out at the end of its body.
	missingBytes = 2
	// pieces is the number of writes by which a body is sent piece by piece.
	pieces = 20
	// daemonCrowd and daemonBodyBytes are the same for a banyanraild, which takes larger
	// bodies.
	daemonCrowd     = 30
	daemonBodyBytes = 15_000_000
	// tries is how often a client connects whose connection is closed.
	tries = 2
	// holdTime is how long the clients keep their connections open after their last
	// byte, so that the process has read it.
	holdTime = 3 * time.Second
	// pipelined is the number of requests that a client sends without reading answers.
	pipelined = 50
)

// client is what one client of a crowd sends. Its writes are sent in turns with those of
// the other clients.
type client func(n int) (writes [][]byte)

// hold has a crowd of clients connect to an address, send, and keep their connections
// open until the returned function is called. It returns when all have sent what the
// process takes of them.
func hold(t *testing.T, size int, to string, c client) (release func()) {
	t.Helper()
	var mu sync.Mutex
	var conns []net.Conn
	release = func() {
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range conns {
			_ = conn.Close()
		}
		conns = nil
	}
	t.Cleanup(release)
	open := func() net.Conn {
		conn, err := net.DialTimeout("tcp", to, answerTimeout)
		if err != nil {
			return nil // refused, as any client of the crowd may be
		}
		_ = conn.SetWriteDeadline(time.Now().Add(answerTimeout))
		mu.Lock()
		conns = append(conns, conn)
		mu.Unlock()
		return conn
	}
	var sending sync.WaitGroup
	for n := range size {
		sending.Go(func() {
			for range tries {
				if conn := open(); conn != nil && send(conn, c(n)) == nil {
					return
				}
			}
		})
	}
	sending.Wait()
	time.Sleep(holdTime)
	return release
}

func send(conn net.Conn, writes [][]byte) error {
	for _, w := range writes {
		if _, err := conn.Write(w); err != nil {
			return err
		}
		if len(writes) > 1 {
			time.Sleep(time.Millisecond) // lets the clients take turns
		}
	}
	return nil
}

const (
	entryRequest  = "POST " + queuePrefix + "%016x HTTP/1.1\r\nHost: " + queueHost + "\r\n"
	daemonRequest = "POST /v1/services/none/requests HTTP/1.1\r\nHost: h%d\r\n"
)

// withLength sends a body with its length, in a number of writes.
func withLength(request string, size, writes int) client {
	content := bytes.Repeat([]byte{' '}, size-missingBytes)
	return func(n int) [][]byte {
		out := [][]byte{fmt.Appendf(nil, request+"Content-Length: %d\r\n\r\n", n+1, size)}
		return append(out, split(content, writes)...)
	}
}

// chunked sends a chunked body in chunks of a size, and no last chunk.
func chunked(request string, size, chunk int) client {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat(" ", chunk))
	content := bytes.Repeat([]byte(one), size/chunk)
	return func(n int) [][]byte {
		out := [][]byte{fmt.Appendf(nil, request+"Transfer-Encoding: chunked\r\n\r\n", n+1)}
		return append(out, split(content, pieces)...)
	}
}

// manySteps sends a whole body, of a job with as many steps as its size allows.
func manySteps(n int) [][]byte {
	body := `{"steps":[{}` + strings.Repeat(",{}", bodyBytes/3) + `]}`
	return split(fmt.Appendf(nil, entryRequest+"Content-Length: %d\r\n\r\n%s", n+1, len(body), body), pieces)
}

func split(content []byte, writes int) [][]byte {
	var out [][]byte
	step := (len(content) + writes - 1) / writes
	for len(content) > 0 {
		n := min(step, len(content))
		out = append(out, content[:n])
		content = content[n:]
	}
	return out
}

func idle(int) [][]byte { return nil }

func endlessHeaders(n int) [][]byte {
	return split(fmt.Appendf(nil, entryRequest+"%s", n+1, strings.Repeat("X-Pad: "+strings.Repeat("a", 1000)+"\r\n", 30)), pieces)
}

func unreadAnswers(n int) [][]byte {
	one := fmt.Sprintf("GET "+queuePrefix+"%016x HTTP/1.1\r\nHost: "+queueHost+"\r\n\r\n", n+1)
	return split(bytes.Repeat([]byte(one), pipelined), 2)
}

// check has a crowd of clients keep connections to an address open and checks that the
// process lives, stays within its memory and descriptors, and answers an ordinary
// request with a status while the crowd is there and after it has left.
func check(t *testing.T, p *process, size int, to string, c client, request func(*testing.T) int, status int) {
	t.Helper()
	most := p.watchDescriptors()
	release := hold(t, size, to, c)
	p.checkAlive(t)
	during := request(t)
	release()
	after := request(t)
	fds, peak := most(), p.peakMB(t)
	t.Logf("peak resident memory %d MB, descriptors %d", peak, fds)
	p.checkAlive(t)
	must.Eq(t, status, during)
	must.Eq(t, status, after)
	must.LessEq(t, memoryMB, peak, must.Sprint("peak resident memory in MB"))
	must.LessEq(t, maxFDs, fds, must.Sprint("descriptors"))
}
