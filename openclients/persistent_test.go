package openclients_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/platform/platformtest"
	"github.com/shoenig/test/must"
)

const (
	// movePause is the time between two pieces of moveBytes of a client that sends slowly.
	movePause = 300 * time.Millisecond
	moveBytes = 1_200
	// ordinaryRequests is the number of requests that an ordinary client sends beside a
	// crowd, small ones and larger ones by turns.
	ordinaryRequests = 10
	largerBytes      = 7_000
	// keepAliveClients send a small job each every keepAlivePause by one connection each,
	// keepAliveCalls of them.
	keepAliveClients = 50
	keepAlivePause   = 400 * time.Millisecond
	keepAliveCalls   = 20
	// jobsAhead is the number of whole jobs that a client sends before a body that stops
	// short.
	jobsAhead = 20
	// manyFDs is a limit of descriptors that allows more connections than the memory holds
	// with full socket buffers.
	manyFDs = 2_500
	// unreadBytes is the receive buffer of a client that does not read its answers, and
	// manyPipelined the number of its requests.
	unreadBytes   = 2 << 10
	manyPipelined = 2_000
)

// persist has a crowd of clients connect to a port, send with a pause between their writes,
// and connect again as soon as they are closed, until the returned function is called.
func persist(t *testing.T, size, port int, c client, pause time.Duration) (release func()) {
	t.Helper()
	present, leave := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	for n := range size {
		clients.Go(func() {
			for present.Err() == nil {
				conn, err := net.DialTimeout("tcp", address(port), answerTimeout)
				if err != nil {
					continue // refused, as any client of the crowd may be
				}
				stay(present, conn, c(n), pause)
			}
		})
	}
	release = func() { leave(); clients.Wait() }
	t.Cleanup(release)
	time.Sleep(holdTime)
	return release
}

// stay sends on a connection and returns when the process has closed it or ctx ends.
func stay(ctx context.Context, conn net.Conn, writes [][]byte, pause time.Duration) {
	closed, end := context.WithCancel(ctx)
	defer context.AfterFunc(closed, func() { _ = conn.Close() })()
	var reading sync.WaitGroup
	reading.Go(func() {
		_, _ = io.Copy(io.Discard, conn) // ends with the connection
		end()
	})
	for _, w := range writes {
		if _, err := conn.Write(w); err != nil {
			break
		}
		select {
		case <-closed.Done():
		case <-time.After(pause):
		}
	}
	<-closed.Done()
	_ = conn.Close()
	reading.Wait()
}

// moving sends a body in small pieces and never completes it.
func moving(request string, size int) client {
	whole := body(request, size, kinds[0])
	return func(n int) [][]byte {
		w := whole(n)
		return append(w[:1], split(w[1], size/moveBytes)...)
	}
}

// movingFrames sends messages by gRPC in small pieces.
func movingFrames(path string, size int) client {
	whole := grpcBody(path, size, kinds[0])
	return func(n int) [][]byte {
		w := whole(n)
		return append(w[:1], split(w[1], size/moveBytes)...)
	}
}

// ask sends an ordinary request to a port by a new connection, and reports whether it is
// answered as without a crowd.
func (p *process) ask(t *testing.T, port, n int) bool {
	t.Helper()
	get := func(path string) bool {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address(port)+path, nil)
		must.NoError(t, err)
		return p.status(t, req) == http.StatusOK
	}
	switch {
	case port == clients && n%2 == 1:
		return p.requestOf(t, largerBytes) == p.answer
	case port == clients:
		return p.request(t) == p.answer
	case port == peers:
		return settings(t)
	case port == ready && p.answer == http.StatusOK:
		return get("/ready")
	default:
		return get("/metrics")
	}
}

// settings begins an HTTP/2 connection to the port for other entries and reports whether it is
// answered.
func settings(t *testing.T) bool {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address(peers), answerTimeout)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := conn.Write(frame([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), 4, 0, 0, nil)); err != nil {
		return false
	}
	_, err = io.ReadFull(conn, make([]byte, 9)) // the header of a frame
	return err == nil
}

// checkOrdinary checks beside a crowd that ordinary requests to its port and to the clients'
// port are answered, each by a new connection, and that the process stays within its bounds.
func checkOrdinary(t *testing.T, p *process, port int, crowd func() (release func())) {
	t.Helper()
	most, mostMB := p.watchDescriptors(), p.watchMemory()
	release := crowd()
	for _, to := range slices.Compact([]int{port, clients}) {
		answered := 0
		for n := range ordinaryRequests {
			if p.ask(t, to, n) {
				answered++
			}
		}
		t.Logf("%d of %d requests to port %d answered", answered, ordinaryRequests, to)
		if answered < ordinaryRequests {
			t.Fail()
		}
	}
	release()
	must.True(t, p.ask(t, port, 0), must.Sprint("a request after the crowd has left"))
	p.checkBounds(t, most(), mostMB())
}

func (p *process) checkBounds(t *testing.T, fds, mb int) {
	t.Helper()
	t.Logf("peak resident memory %d MB, with queues %d MB, descriptors %d", p.peakMB(t), mb, fds)
	p.checkAlive(t)
	must.LessEq(t, memoryMB, p.peakMB(t), must.Sprint("peak resident memory in MB"))
	must.LessEq(t, memoryMB, mb, must.Sprint("resident memory and socket queues in MB"))
	must.LessEq(t, p.maxFDs, fds, must.Sprint("descriptors"))
}

// TestMovingClients guards against clients that send slowly and never complete a request, so
// that a port is full for as long as they stay.
func TestMovingClients(t *testing.T) {
	for _, to := range ports {
		t.Run(to.name, func(t *testing.T) {
			c := moving(to.request, bodyBytes)
			if to.port == peers {
				c = movingFrames(to.request, bodyBytes)
			}
			p := to.start(t)
			checkOrdinary(t, p, to.port, func() func() { return persist(t, crowdSize, to.port, c, movePause) })
		})
	}
}

// TestReturningClients guards against clients that connect again as soon as they are closed, so
// that new connections are mostly theirs.
func TestReturningClients(t *testing.T) {
	for _, to := range ports {
		for name, c := range map[string]client{"idle": idle, "bodies": to.send(to.request, bodyBytes, kinds[0])} {
			t.Run(to.name+"/"+name, func(t *testing.T) {
				p := to.start(t)
				checkOrdinary(t, p, to.port, func() func() { return persist(t, crowdSize, to.port, c, time.Millisecond) })
			})
		}
	}
}

// TestKeepAliveClients guards against the loss of requests on connections of ordinary clients
// that are idle between two requests while a crowd fills the port.
func TestKeepAliveClients(t *testing.T) {
	bodies, move := body(entryRequest, bodyBytes, kinds[0]), moving(entryRequest, bodyBytes)
	for _, crowd := range []struct {
		name  string
		c     client
		pause time.Duration
		fds   int
	}{
		{"bodies", bodies, time.Millisecond, maxFDs},
		{"moving", move, movePause, maxFDs},
		{"bodies on many connections", bodies, time.Millisecond, manyFDs},
		{"moving on many connections", move, movePause, manyFDs},
	} {
		t.Run(crowd.name, func(t *testing.T) {
			p := startEntryWith(t, crowd.fds)
			most, mostMB := p.watchDescriptors(), p.watchMemory()
			var lost, answered atomic.Int64
			var ordinary sync.WaitGroup
			started := make(chan struct{}, keepAliveClients)
			for n := range keepAliveClients {
				ordinary.Go(func() { keepAlive(t, n, started, &answered, &lost) })
			}
			for range keepAliveClients {
				<-started
			}
			release := persist(t, crowdSize, clients, crowd.c, crowd.pause)
			ordinary.Wait()
			release()
			t.Logf("%d calls answered, %d connections lost without an answer", answered.Load(), lost.Load())
			must.Eq(t, 0, lost.Load(), must.Sprint("calls whose connection was lost without an answer"))
			must.Eq(t, keepAliveClients*keepAliveCalls, answered.Load())
			must.Eq(t, p.answer, p.request(t))
			p.checkBounds(t, most(), mostMB())
		})
	}
}

// keepAlive sends small jobs by one connection, and by a new one after an answer that asks for
// it.
func keepAlive(t *testing.T, n int, started chan<- struct{}, answered, lost *atomic.Int64) {
	t.Helper()
	content := smallJob(t)
	var conn net.Conn
	var answers *bufio.Reader
	for call := range keepAliveCalls {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", address(clients), answerTimeout); err != nil {
				lost.Add(1)
				continue
			}
			_ = conn.SetDeadline(time.Now().Add(2 * answerTimeout))
			answers = bufio.NewReader(conn)
		}
		_, err := conn.Write(fmt.Appendf(nil, entryRequest+"Content-Length: %d\r\n\r\n%s", (n+1)<<32+call, len(content), content))
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(answers, nil)
		}
		if err != nil {
			lost.Add(1)
		} else {
			answered.Add(1)
			_, _ = io.Copy(io.Discard, resp.Body) // short
			_ = resp.Body.Close()
		}
		if err != nil || resp.Close {
			_ = conn.Close()
			conn = nil
		}
		if call == 0 {
			started <- struct{}{}
		}
		time.Sleep(keepAlivePause)
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// TestUnreadBytes guards against memory that is taken by bytes that the kernel has received and
// the process has not read, or that clients do not take.
func TestUnreadBytes(t *testing.T) {
	small := smallJob(t)
	crowds := map[string]client{
		"jobs ahead of a body": func(n int) [][]byte {
			var ahead []byte
			for k := range jobsAhead {
				ahead = fmt.Appendf(ahead, entryRequest+"Content-Length: %d\r\n\r\n%s", (n+1)<<32+k, len(small), small)
			}
			return [][]byte{append(ahead, bytes.Join(body(entryRequest, bodyBytes, kinds[0])(n), nil)...)}
		},
		"body": body(entryRequest, bodyBytes, kinds[0]),
	}
	for name, c := range crowds {
		t.Run(name, func(t *testing.T) {
			p := startEntryWith(t, manyFDs)
			checkOrdinary(t, p, clients, func() func() { return hold(t, crowdSize, clients, c) })
		})
	}
	t.Run("answers", func(t *testing.T) {
		p := startEntryWith(t, manyFDs)
		checkOrdinary(t, p, clients, func() func() { return holdUnread(t) })
	})
}

// TestOpenMessages guards against messages of other entries that never end on as many connections
// as a large limit of descriptors allows.
func TestOpenMessages(t *testing.T) {
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			p := startEntryWith(t, manyFDs)
			c := grpcBody("/banyanrail.peer.Jobs/Call", bodyBytes, k)
			checkOrdinary(t, p, peers, func() func() { return hold(t, crowdSize, peers, c) })
		})
	}
}

// holdUnread has a crowd of clients with small receive buffers send requests and read no
// answers.
func holdUnread(t *testing.T) (release func()) {
	t.Helper()
	present, leave := context.WithCancel(t.Context())
	var sending sync.WaitGroup
	for n := range crowdSize {
		sending.Go(func() {
			dialer := net.Dialer{Timeout: answerTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
				var failed error
				err := raw.Control(func(fd uintptr) {
					failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, unreadBytes)
				})
				return errors.Join(err, failed)
			}}
			conn, err := dialer.Dial("tcp", address(clients))
			if err != nil {
				return // refused, as any client of the crowd may be
			}
			context.AfterFunc(present, func() { _ = conn.Close() })
			_ = conn.SetWriteDeadline(time.Now().Add(2 * holdTime))
			one := fmt.Appendf(nil, "GET "+queuePrefix+"%016x HTTP/1.1\r\nHost: "+queueHost+"\r\n\r\n", n+1)
			_, _ = conn.Write(bytes.Repeat(one, manyPipelined)) // ends when the process reads no more
		})
	}
	sending.Wait()
	time.Sleep(holdTime)
	return leave
}

// TestSlowClientInCalm guards against time-outs that end a slow request inside the limits while
// nothing is short.
func TestSlowClientInCalm(t *testing.T) {
	startEntry(t)
	content := smallJob(t)
	conn, err := net.DialTimeout("tcp", address(clients), answerTimeout)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	request := fmt.Appendf(nil, entryRequest+"X-Pad: %s\r\nContent-Length: %d\r\n\r\n%s", 0xc1, strings.Repeat("x", 60), len(content), content)
	for _, piece := range split(request, 8) {
		time.Sleep(1500 * time.Millisecond)
		_, err := conn.Write(piece)
		must.NoError(t, err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	must.Eq(t, http.StatusOK, resp.StatusCode)
}

// smallJob returns the body of an ordinary small job.
func smallJob(t *testing.T) []byte {
	t.Helper()
	content, err := platformtest.EncodeJob(ordinaryJob(0))
	must.NoError(t, err)
	return content
}
