package membudget_test

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/membudget"
	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"
)

// serve answers calls with the size of their body, of at most 256 KB, within a budget.
func serve(t *testing.T, bytes int64, connections int) (url string) {
	t.Helper()
	url, _ = servePort(t, bytes, membudget.PortConfig{Connections: connections})
	return url
}

func servePort(t *testing.T, bytes int64, cfg membudget.PortConfig) (url string, port *membudget.Port) {
	t.Helper()
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := membudget.ReadBody(r, 256<<10)
		if err != nil {
			membudget.CloseAfterAnswer(w)
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		defer body.Release()
		_, _ = fmt.Fprint(w, len(body.Bytes()))
	}))
	b := membudget.New(membudget.Config{Bytes: bytes, Metrics: tally.NoopScope, Logger: slog.New(slog.DiscardHandler)})
	must.NoError(t, srv.Listener.Close())
	port = b.Port(cfg)
	ln, err := port.Listen(t.Context(), "127.0.0.1:0")
	must.NoError(t, err)
	srv.Listener = ln
	membudget.Configure(srv.Config)
	srv.Start()
	t.Cleanup(srv.Close)
	return srv.URL, port
}

func post(t *testing.T, url string, body io.Reader) (answer string) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post(url, "text/plain", body)
	must.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return fmt.Sprint(resp.StatusCode, " ", strings.TrimSpace(string(raw)))
}

// TestBodiesOfAllSizes guards against bodies that are cut where a buffer ends, a refusal of
// the largest one without overload, with a length and chunked, and an untrue refusal: the
// call of a body beyond the budget is answered and does not run.
func TestBodiesOfAllSizes(t *testing.T) {
	url := serve(t, 1<<20, 10)
	for _, size := range []int{0, 1, 4095, 4096, 4608, 4609, 100_000, 256<<10 - 1, 256 << 10, 256<<10 + 1} {
		text, want := strings.Repeat("x", size), fmt.Sprint("200 ", size)
		if size > 256<<10 {
			want = "503 " + membudget.ErrTooLarge.Error()
		}
		must.Eq(t, want, post(t, url, strings.NewReader(text)))
		must.Eq(t, want, post(t, url, io.MultiReader(strings.NewReader(text))))
	}
	url = serve(t, 100<<10, 2)
	must.Eq(t, "503 "+membudget.ErrEvicted.Error(), post(t, url, strings.NewReader(strings.Repeat("x", 200_000))))
	must.Eq(t, "200 1", post(t, url, strings.NewReader("x")))
}

// TestConnectionsBeyondTheBoundAreClosed guards against connections that wait for ever
// where they exceed the bound, and against a port that stays full afterwards.
func TestConnectionsBeyondTheBoundAreClosed(t *testing.T) {
	url := serve(t, 1<<20, 2)
	var first net.Conn
	for range 5 {
		c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		must.NoError(t, err)
		defer func() { _ = c.Close() }()
		if first == nil {
			first = c
		}
	}
	_, err := first.Read(make([]byte, 1)) // ends only when the connection is evicted
	must.Error(t, err)
	must.Eq(t, "200 1", post(t, url, strings.NewReader("x")))
}

// TestDrainServesTheBacklog guards against requests in the backlog of a full port that are lost when
// the process stops.
func TestDrainServesTheBacklog(t *testing.T) {
	url, port := servePort(t, 1<<20, membudget.PortConfig{Connections: 1, Backlog: 10, Grace: time.Hour})
	crowd, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	must.NoError(t, err)
	defer func() { _ = crowd.Close() }()
	answer := make(chan string)
	go func() { answer <- post(t, url, strings.NewReader("x")) }()
	port.Drain()
	must.Eq(t, "200 1", <-answer)
}
