package membudget_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/banyanrail/banyanrail/membudget"
	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"
)

// serve serves calls that read a body of at most 256 KB within a budget. It returns the
// address and the number of calls that have run.
func serve(t *testing.T, bytes int64, connections int) (address string, ran *atomic.Int64) {
	t.Helper()
	ran = &atomic.Int64{}
	b := membudget.New(membudget.Config{Bytes: bytes, Metrics: tally.NoopScope, Logger: slog.New(slog.DiscardHandler)})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := membudget.ReadBody(r, 256<<10)
		if err != nil {
			membudget.CloseAfterAnswer(w)
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		defer body.Release()
		ran.Add(1)
		_, _ = fmt.Fprint(w, len(body.Bytes()))
	})}
	membudget.Configure(srv)
	go func() { _ = srv.Serve(b.Port(membudget.PortConfig{Connections: connections}).Listener(ln)) }()
	t.Cleanup(func() { _ = srv.Shutdown(context.Background()) }) // waits for connections that close
	return ln.Addr().String(), ran
}

func post(t *testing.T, address string, body io.Reader) (status int, text string) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+address, "text/plain", body)
	must.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp.StatusCode, string(raw)
}

// TestBodiesOfAllSizes guards against bodies that are cut where a buffer ends, and a
// refusal of the largest one without overload, with a length and chunked.
func TestBodiesOfAllSizes(t *testing.T) {
	address, ran := serve(t, 1<<20, 10)
	sizes := []int{0, 1, 4095, 4096, 4608, 4609, 100_000, 256<<10 - 1, 256 << 10}
	for _, size := range sizes {
		text := strings.Repeat("x", size)
		for _, body := range []io.Reader{strings.NewReader(text), io.MultiReader(strings.NewReader(text))} {
			status, got := post(t, address, body)
			must.Eq(t, http.StatusOK, status)
			must.Eq(t, fmt.Sprint(size), got)
		}
	}
	must.Eq(t, int64(2*len(sizes)), ran.Load())
	status, _ := post(t, address, strings.NewReader(strings.Repeat("x", 256<<10+1)))
	must.Eq(t, http.StatusServiceUnavailable, status)
	must.Eq(t, int64(2*len(sizes)), ran.Load())
}

// TestRefusedBodyHasNotRun guards against an untrue refusal: a body beyond the budget is
// answered, and its call does not run. A small one is served beside it.
func TestRefusedBodyHasNotRun(t *testing.T) {
	address, ran := serve(t, 100<<10, 2)
	status, _ := post(t, address, strings.NewReader(strings.Repeat("x", 200_000)))
	must.Eq(t, http.StatusServiceUnavailable, status)
	must.Eq(t, 0, ran.Load())
	status, _ = post(t, address, strings.NewReader("x"))
	must.Eq(t, http.StatusOK, status)
}

// TestConnectionsBeyondTheBoundAreClosed guards against connections that wait for ever
// where they exceed the bound, and against a port that stays full afterwards.
func TestConnectionsBeyondTheBoundAreClosed(t *testing.T) {
	address, _ := serve(t, 1<<20, 2)
	var conns []net.Conn
	for range 5 {
		c, err := net.Dial("tcp", address)
		must.NoError(t, err)
		defer func() { _ = c.Close() }()
		conns = append(conns, c)
	}
	_, err := conns[0].Read(make([]byte, 1)) // ends only when the connection is evicted
	must.Error(t, err)
	status, _ := post(t, address, strings.NewReader("x"))
	must.Eq(t, http.StatusOK, status)
}
