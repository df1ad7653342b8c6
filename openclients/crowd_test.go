package openclients_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"slices"
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
	holdTime = time.Second
	// pipelined is the number of requests that a client sends without reading answers.
	pipelined = 50
	// largeChunk is the size of a large chunk, and maxFrame that of the largest HTTP/2 frame.
	largeChunk, maxFrame = 10_000, 16 << 10
	// messages is the number of calls over which a gRPC client spreads its body, so that
	// each is below the first window of 64 KB.
	messages = 4
)

// client is what one client of a crowd sends. Its writes are sent in turns with those of
// the other clients.
type client func(n int) (writes [][]byte)

// hold has a crowd of clients connect to a port, send, and keep their connections
// open until the returned function is called. It returns when all have sent what the
// process takes of them.
func hold(t *testing.T, size, port int, c client) (release func()) {
	t.Helper()
	present, leave := context.WithCancel(t.Context()) // also ends with the test
	var sending sync.WaitGroup
	for n := range size {
		sending.Go(func() {
			for range tries {
				conn, err := net.DialTimeout("tcp", address(port), answerTimeout)
				if err != nil {
					continue // refused, as any client of the crowd may be
				}
				_ = conn.SetWriteDeadline(time.Now().Add(answerTimeout))
				context.AfterFunc(present, func() { _ = conn.Close() })
				if send(conn, c(n)) == nil {
					return
				}
			}
		})
	}
	sending.Wait()
	time.Sleep(holdTime)
	return leave
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

// entryRequest begins the submission of a job with a number.
const entryRequest = "POST " + queuePrefix + "%016x HTTP/1.1\r\nHost: " + queueHost + "\r\n"

// kind is a way to send a body that stops short of its end. Without a size of chunks, the
// body has a length.
type kind struct {
	name          string
	chunk, writes int
}

var kinds = []kind{
	{"length at once", 0, 1},
	{"length piece by piece", 0, pieces},
	{"large chunks at once", largeChunk, 1},
	{"large chunks piece by piece", largeChunk, pieces},
	{"one-byte chunks piece by piece", 1, pieces},
}

// body sends a body by HTTP/1.1. Chunked ones have no last chunk.
func body(request string, size int, k kind) client {
	header := fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
	content := bytes.Repeat([]byte{' '}, size-missingBytes)
	if k.chunk > 0 {
		header = "Transfer-Encoding: chunked\r\n\r\n"
		content = bytes.Repeat(fmt.Appendf(nil, "%x\r\n%s\r\n", k.chunk, strings.Repeat(" ", k.chunk)), size/k.chunk)
	}
	return func(n int) [][]byte {
		return append([][]byte{fmt.Appendf(nil, request+header, n+1)}, split(content, k.writes)...)
	}
}

// grpcBody sends messages by gRPC, in frames of the size of the chunks.
func grpcBody(path string, size int, k kind) client {
	chunk := k.chunk
	if chunk == 0 {
		chunk = maxFrame
	}
	// Headers in HPACK: POST, http, and literal fields.
	headers := []byte{0x83, 0x86}
	for _, f := range [][2]string{{":path", path}, {":authority", "e0"}, {"content-type", "application/grpc"}, {"te", "trailers"}, {"banyanrail-from", "e1"}, {"banyanrail-incarnation", "1"}} {
		headers = fmt.Appendf(headers, "\x00%c%s%c%s", len(f[0]), f[0], len(f[1]), f[1])
	}
	message := binary.BigEndian.AppendUint32([]byte{0}, uint32(size/messages))
	message = append(message, make([]byte, size/messages-missingBytes)...)
	content := frame(nil, 4, 0, 0, nil) // settings
	for n := range messages {
		stream := uint32(2*n + 1)
		content = frame(content, 1, 4, stream, headers)
		for data := range slices.Chunk(message, chunk) {
			content = frame(content, 0, 0, stream, data)
		}
	}
	return func(int) [][]byte {
		return append([][]byte{[]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")}, split(content, k.writes)...)
	}
}

// frame appends an HTTP/2 frame.
func frame(b []byte, kind, flags byte, stream uint32, payload []byte) []byte {
	n := len(payload)
	b = append(b, byte(n>>16), byte(n>>8), byte(n), kind, flags)
	return append(binary.BigEndian.AppendUint32(b, stream), payload...)
}

// manySteps sends a whole body, of a job with as many steps as its size allows.
func manySteps(n int) [][]byte {
	body := `{"steps":[{}` + strings.Repeat(",{}", bodyBytes/3) + `]}`
	return split(fmt.Appendf(nil, entryRequest+"Content-Length: %d\r\n\r\n%s", n+1, len(body), body), pieces)
}

func split(content []byte, writes int) [][]byte {
	return slices.Collect(slices.Chunk(content, (len(content)+writes-1)/writes))
}

func idle(int) [][]byte { return nil }

func endlessHeaders(n int) [][]byte {
	return split(fmt.Appendf(nil, entryRequest+"%s", n+1, strings.Repeat("X-Pad: "+strings.Repeat("a", 1000)+"\r\n", 30)), pieces)
}

func unreadAnswers(n int) [][]byte {
	one := fmt.Sprintf("GET "+queuePrefix+"%016x HTTP/1.1\r\nHost: "+queueHost+"\r\n\r\n", n+1)
	return split(bytes.Repeat([]byte(one), pipelined), 2)
}

// check has a crowd of clients keep connections to a port open and checks that the
// process lives, stays within its memory and descriptors, and answers an ordinary
// request while the crowd is there and after it has left.
func check(t *testing.T, p *process, size, port int, c client) {
	t.Helper()
	most := p.watchDescriptors()
	release := hold(t, size, port, c)
	p.checkAlive(t)
	during := p.request(t)
	release()
	after := p.request(t)
	fds, peak := most(), p.peakMB(t)
	t.Logf("peak resident memory %d MB, descriptors %d", peak, fds)
	p.checkAlive(t)
	must.Eq(t, p.answer, during)
	must.Eq(t, p.answer, after)
	must.LessEq(t, memoryMB, peak, must.Sprint("peak resident memory in MB"))
	must.LessEq(t, maxFDs, fds, must.Sprint("descriptors"))
}
