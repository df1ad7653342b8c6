package endpoint_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/endpoint"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/shoenig/test/must"
)

func newClient(t *testing.T) *endpoint.Client {
	t.Helper()
	c := endpoint.NewClient(8)
	t.Cleanup(c.Close)
	return c
}

func startEndpoint(t *testing.T, fault standin.EndpointFault) (*standin.Endpoint, string) {
	t.Helper()
	r := standin.NewEndpoint(8, time.Millisecond)
	go r.Run(t.Context())
	must.NoError(t, r.SetFault(fault))
	srv := httptest.NewServer(r)
	t.Cleanup(srv.CloseClientConnections)
	t.Cleanup(func() { go srv.Close() }) // Close waits for requests that hang
	return r, strings.TrimPrefix(srv.URL, "http://")
}

// rawEndpoint is an endpoint whose tests write the bytes of each answer.
type rawEndpoint struct {
	address string
	seen    atomic.Int64
	ln      net.Listener
	wg      sync.WaitGroup
}

// startRaw starts an endpoint that calls answer for each request, with the number
// of the request on its connection. If answer returns false, the connection is
// closed.
func startRaw(t *testing.T, answer func(w io.Writer, r *http.Request, n int) bool) *rawEndpoint {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	e := &rawEndpoint{address: ln.Addr().String(), ln: ln}
	e.wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			e.wg.Go(func() { e.serve(conn, answer) })
		}
	})
	t.Cleanup(func() { _ = ln.Close() })
	return e
}

func (e *rawEndpoint) serve(conn net.Conn, answer func(io.Writer, *http.Request, int) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		e.seen.Add(1)
		if !answer(conn, req, n) {
			return
		}
	}
}

func writeAnswer(w io.Writer, attempt, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", endpoint.HeaderAttempt, attempt, len(body), body)
}

func request(address, attempt, body string) endpoint.Request {
	return endpoint.Request{Attempt: attempt, Service: "survey", Address: address, Member: "lawa", Body: []byte(body)}
}

func TestCompleteAnswerIsReturned(t *testing.T) {
	_, address := startEndpoint(t, standin.EndpointFault{})
	res := newClient(t).Do(t.Context(), request(address, "e-1.1", "sediment"))
	must.NoError(t, res.Err)
	must.EqOp(t, event.AttemptAnswered, res.Outcome)
	must.EqOp(t, "sediment", string(res.Response.Body))
}

func TestFaultyAnswersAreBroken(t *testing.T) {
	faults := map[string]standin.EndpointFault{
		"truncated": {Truncate: 1},
		"swapped":   {Swap: 1},
		"broken":    {Break: 1},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			r, address := startEndpoint(t, fault)
			c := newClient(t)
			res := c.Do(t.Context(), request(address, "e-1.1", "sediment"))
			must.EqOp(t, event.AttemptBroken, res.Outcome)
			must.Nil(t, res.Response)
			must.Error(t, res.Err)
			runs, err := r.Runs(t.Context())
			must.NoError(t, err)
			must.EqOp(t, 1, runs.Started)
		})
	}
}

func TestAnswerShorterThanItsLengthIsBroken(t *testing.T) {
	e := startRaw(t, func(w io.Writer, r *http.Request, _ int) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 100\r\n\r\nshort",
			endpoint.HeaderAttempt, r.Header.Get(endpoint.HeaderAttempt))
		return false
	})
	res := newClient(t).Do(t.Context(), request(e.address, "e-1.1", "x"))
	must.EqOp(t, event.AttemptBroken, res.Outcome)
	must.Nil(t, res.Response)
}

func TestBytesBeyondTheLengthAreNotReturned(t *testing.T) {
	e := startRaw(t, func(w io.Writer, r *http.Request, _ int) bool {
		attempt := r.Header.Get(endpoint.HeaderAttempt)
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad",
			endpoint.HeaderAttempt, attempt)
		return true
	})
	c := newClient(t)
	for i := range 20 {
		res := c.Do(t.Context(), request(e.address, fmt.Sprintf("e-%d.1", i), "x"))
		if res.Outcome == event.AttemptAnswered {
			must.EqOp(t, "ok", string(res.Response.Body))
		}
	}
}

func TestTruncatedChunksAreBroken(t *testing.T) {
	e := startRaw(t, func(w io.Writer, r *http.Request, _ int) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
			endpoint.HeaderAttempt, r.Header.Get(endpoint.HeaderAttempt))
		return false
	})
	res := newClient(t).Do(t.Context(), request(e.address, "e-1.1", "x"))
	must.EqOp(t, event.AttemptBroken, res.Outcome)
}

func TestAnswerWithoutAnEndIsBroken(t *testing.T) {
	e := startRaw(t, func(w io.Writer, r *http.Request, _ int) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\nperhaps more",
			endpoint.HeaderAttempt, r.Header.Get(endpoint.HeaderAttempt))
		return false
	})
	res := newClient(t).Do(t.Context(), request(e.address, "e-1.1", "x"))
	must.EqOp(t, event.AttemptBroken, res.Outcome)
}

// TestDuplicateOfEarlierAnswerIsRejected has an endpoint that sends a duplicate of
// its first answer before its answer to the next attempt.
func TestDuplicateOfEarlierAnswerIsRejected(t *testing.T) {
	var first string
	e := startRaw(t, func(w io.Writer, r *http.Request, n int) bool {
		attempt := r.Header.Get(endpoint.HeaderAttempt)
		if n == 1 {
			first = attempt
		} else {
			writeAnswer(w, first, "first")
		}
		writeAnswer(w, attempt, "own")
		return true
	})
	c := newClient(t)
	must.EqOp(t, event.AttemptAnswered, c.Do(t.Context(), request(e.address, "e-1.1", "x")).Outcome)
	must.EqOp(t, event.AttemptBroken, c.Do(t.Context(), request(e.address, "e-2.1", "x")).Outcome)
}

// TestEndpointWithoutEchoKeepsNoConnection has an endpoint that doesn't echo the
// attempt's id. Each attempt has to use a new connection, since on one connection
// the answers could not be told apart.
func TestEndpointWithoutEchoKeepsNoConnection(t *testing.T) {
	var reused atomic.Int64
	e := startRaw(t, func(w io.Writer, _ *http.Request, n int) bool {
		if n > 1 {
			reused.Add(1)
		}
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	c := newClient(t)
	outcomes := map[event.AttemptOutcome]int{}
	for i := range 10 {
		outcomes[c.Do(t.Context(), request(e.address, fmt.Sprintf("e-%d.1", i), "x")).Outcome]++
	}
	// The first connection may stay in the pool, but later ones must not.
	must.EqOp(t, 10, outcomes[event.AttemptAnswered])
	must.EqOp(t, 0, reused.Load())
}

func TestFailureToConnectIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := ln.Addr().String()
	must.NoError(t, ln.Close())
	res := newClient(t).Do(t.Context(), request(address, "e-1.1", "x"))
	must.EqOp(t, event.AttemptNotSent, res.Outcome)
	must.Error(t, res.Err)
}

// TestRequestIsSentOnce checks that net/http does not retry a request when the
// connection breaks after the endpoint has read the request, with or without a
// key and with or without a body.
func TestRequestIsSentOnce(t *testing.T) {
	for _, body := range []string{"permit", ""} {
		for _, key := range []fleet.Key{"0193a1b2-0000-7000-8000-000000000001", ""} {
			t.Run(fmt.Sprintf("body %q key %q", body, key), func(t *testing.T) {
				e := startRaw(t, func(w io.Writer, r *http.Request, n int) bool {
					if n > 1 {
						return false
					}
					writeAnswer(w, r.Header.Get(endpoint.HeaderAttempt), "ok")
					return true
				})
				c := newClient(t)
				req := request(e.address, "e-1.1", body)
				must.EqOp(t, event.AttemptAnswered, c.Do(t.Context(), req).Outcome)
				req.Attempt, req.Key = "e-2.1", key
				must.EqOp(t, event.AttemptBroken, c.Do(t.Context(), req).Outcome)
				must.EqOp(t, 2, e.seen.Load())
			})
		}
	}
}

func TestCancelledAttemptClosesItsConnection(t *testing.T) {
	started, gone := make(chan struct{}), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
		close(gone)
	}))
	defer srv.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	res := newClient(t).Do(ctx, request(strings.TrimPrefix(srv.URL, "http://"), "e-1.1", "x"))
	must.EqOp(t, event.AttemptBroken, res.Outcome)
	<-gone
}

func TestLeavingIsReported(t *testing.T) {
	_, address := startEndpoint(t, standin.EndpointFault{Leaving: true})
	c := newClient(t)
	res := c.Do(t.Context(), request(address, "e-1.1", "x"))
	must.EqOp(t, event.AttemptRefused, res.Outcome)
	must.True(t, res.Leaving)
	ok, leaving := c.Probe(t.Context(), address)
	must.True(t, ok)
	must.True(t, leaving)
}

func TestProbeReportsFailure(t *testing.T) {
	_, address := startEndpoint(t, standin.EndpointFault{FailAll: true})
	ok, leaving := newClient(t).Probe(t.Context(), address)
	must.False(t, ok)
	must.False(t, leaving)
}

func TestRedirectIsAnAnswer(t *testing.T) {
	e := startRaw(t, func(w io.Writer, r *http.Request, _ int) bool {
		fmt.Fprintf(w, "HTTP/1.1 303 See Other\r\n%s: %s\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n",
			endpoint.HeaderAttempt, r.Header.Get(endpoint.HeaderAttempt))
		return true
	})
	res := newClient(t).Do(t.Context(), request(e.address, "e-1.1", "x"))
	must.EqOp(t, event.AttemptAnswered, res.Outcome)
	must.EqOp(t, http.StatusSeeOther, res.Response.Status)
	must.EqOp(t, 1, e.seen.Load())
}
