package dev_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/banyanrail/banyanrail/daemon"
	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/endpoint"
	"github.com/banyanrail/banyanrail/entry"
	vocabulary "github.com/banyanrail/banyanrail/fleet"
	"github.com/go-resty/resty/v2"
	"github.com/shoenig/test/must"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

const (
	benchEndpoints = 8
	benchSlots     = 8
	benchBody      = 1024 // bytes
	// benchChunk is the number of requests that each caller sends to a target
	// before the benchmark goes on to the next target.
	benchChunk = 50
	// maxLatency is the largest latency in the histograms, in nanoseconds.
	maxLatency = int64(time.Minute)
)

// serveEcho is an endpoint that echoes the body of a request.
func serveEcho(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(endpoint.HeaderAttempt, r.Header.Get(endpoint.HeaderAttempt))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write(body)
}

// passThrough is a minimal proxy that forwards requests to the endpoints in turn.
type passThrough struct {
	client    *resty.Client
	endpoints []string
	next      atomic.Uint64
}

func newPassThrough(endpoints []string) *passThrough {
	return &passThrough{endpoints: endpoints, client: resty.New().SetTransport(&http.Transport{
		MaxIdleConnsPerHost: 64, DisableCompression: true,
	})}
}

func (p *passThrough) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	url := p.endpoints[p.next.Add(1)%uint64(len(p.endpoints))]
	resp, err := p.client.R().SetContext(r.Context()).SetBody(body).Post(url + "/survey")
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(resp.Body())))
	w.WriteHeader(resp.StatusCode())
	_, _ = w.Write(resp.Body())
}

// relayedPassThrough is a pass-through that exchanges a message with one goroutine
// before and after each call, as an entry does with its control goroutine.
type relayedPassThrough struct {
	http.Handler
	crossings chan chan struct{}
}

func newRelayedPassThrough(h http.Handler) *relayedPassThrough {
	return &relayedPassThrough{Handler: h, crossings: make(chan chan struct{}, 64)}
}

func (h *relayedPassThrough) run() {
	for crossing := range h.crossings {
		crossing <- struct{}{}
	}
}

func (h *relayedPassThrough) cross() {
	done := make(chan struct{}, 1)
	h.crossings <- done
	<-done
}

func (h *relayedPassThrough) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.cross()
	h.Handler.ServeHTTP(w, r)
	h.cross()
}

// spanTimes records the durations of spans by name.
type spanTimes struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

func (s *spanTimes) OnStart(context.Context, sdktrace.ReadWriteSpan) {}
func (s *spanTimes) Shutdown(context.Context) error                  { return nil }
func (s *spanTimes) ForceFlush(context.Context) error                { return nil }

func (s *spanTimes) OnEnd(span sdktrace.ReadOnlySpan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.byName[span.Name()]
	if !ok {
		h = hdrhistogram.New(1, maxLatency, 3)
		s.byName[span.Name()] = h
	}
	_ = h.RecordValue(int64(span.EndTime().Sub(span.StartTime())))
}

func (s *spanTimes) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.byName)
}

// target is a path from the callers to the endpoints.
type target struct {
	name    string
	url     func(n int) string
	latency *hdrhistogram.Histogram
	elapsed time.Duration
}

func (t *target) micros(quantile float64) float64 {
	return float64(t.latency.ValueAtQuantile(quantile)) / float64(time.Microsecond)
}

func (t *target) rate() float64 { return float64(t.latency.TotalCount()) / t.elapsed.Seconds() }

// run sends n requests from each of a number of concurrent callers.
func (t *target) run(b *testing.B, client *http.Client, callers, n int) {
	body := bytes.Repeat([]byte("s"), benchBody)
	latencies := make([]*hdrhistogram.Histogram, callers)
	var failed atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	for c := range callers {
		latencies[c] = hdrhistogram.New(1, maxLatency, 3)
		wg.Go(func() {
			for i := range n {
				began := time.Now()
				if !send(client, t.url(c+i), body) {
					failed.Add(1)
				}
				_ = latencies[c].RecordValue(int64(time.Since(began)))
			}
		})
	}
	wg.Wait()
	t.elapsed += time.Since(start)
	for _, h := range latencies {
		t.latency.Merge(h)
	}
	if failed.Load() > 0 {
		b.Fatalf("%s: %d requests failed", t.name, failed.Load())
	}
}

func send(client *http.Client, url string, body []byte) bool {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Banyanrail-Member", "lawa")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	got, err := io.Copy(io.Discard, resp.Body)
	return err == nil && got == int64(len(body)) && resp.StatusCode == http.StatusOK
}

// BenchmarkRequestPath compares an entry that records metrics and all spans with
// direct calls and with pass-throughs. It alternates between them in one run.
func BenchmarkRequestPath(b *testing.B) {
	spans := &spanTimes{byName: make(map[string]*hdrhistogram.Histogram)}
	scope, _, closer := daemon.NewMetricsScope(nil)
	defer closer.Close()
	fleet, err := dev.Start(dev.Config{Entries: 1, Deps: entry.Deps{
		Metrics: scope, Traces: sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)),
	}})
	must.NoError(b, err)
	defer fleet.Stop()
	var urls []string
	for range benchEndpoints {
		srv := httptest.NewServer(http.HandlerFunc(serveEcho))
		defer srv.Close()
		urls = append(urls, srv.URL)
		fleet.Runners = append(fleet.Runners, &dev.Runner{
			ID: vocabulary.InstanceID(fmt.Sprintf("bench-%d", len(urls))), Address: strings.TrimPrefix(srv.URL, "http://"),
		})
	}
	publish(b, fleet.Entries[0], "0", fleet.Text(benchSlots))
	waitReady(b, fleet)
	pass := httptest.NewServer(newPassThrough(urls))
	defer pass.Close()
	relayed := newRelayedPassThrough(newPassThrough(urls))
	go relayed.run()
	defer close(relayed.crossings)
	hops := httptest.NewServer(relayed)
	defer hops.Close()
	for _, callers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("callers-%d", callers), func(b *testing.B) {
			comparePaths(b, callers, spans, []*target{
				{name: "direct", url: func(n int) string { return urls[n%len(urls)] + "/survey" }},
				{name: "pass", url: func(int) string { return pass.URL }},
				{name: "hops", url: func(int) string { return hops.URL }},
				{name: "entry", url: func(int) string { return fleet.Entries[0].CallersURL + "/v1/services/survey/requests" }},
			})
		})
	}
}

func comparePaths(b *testing.B, callers int, spans *spanTimes, targets []*target) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	for _, t := range targets {
		t.latency = hdrhistogram.New(1, maxLatency, 3)
		t.run(b, client, callers, benchChunk)
		t.latency.Reset()
		t.elapsed = 0
	}
	spans.reset()
	b.ResetTimer()
	for left := b.N; left > 0; left -= benchChunk * callers {
		for _, t := range targets {
			t.run(b, client, callers, benchChunk)
		}
	}
	b.StopTimer()
	direct, pass, hops, viaEntry := targets[0], targets[1], targets[2], targets[3]
	for _, t := range targets {
		b.ReportMetric(t.micros(50), t.name+"-p50-us")
		b.ReportMetric(t.micros(99), t.name+"-p99-us")
		b.ReportMetric(t.rate(), t.name+"-req/s")
	}
	b.ReportMetric((viaEntry.micros(50)-direct.micros(50))/(pass.micros(50)-direct.micros(50)), "added-p50-ratio")
	b.ReportMetric((viaEntry.micros(99)-direct.micros(99))/(pass.micros(99)-direct.micros(99)), "added-p99-ratio")
	b.ReportMetric((viaEntry.micros(50)-direct.micros(50))/(hops.micros(50)-direct.micros(50)), "added-p50-ratio-to-hops")
	b.ReportMetric(viaEntry.rate()/pass.rate(), "req/s-ratio")
	for name, unit := range map[string]string{"caller request": "front-end-span-us", "endpoint attempt": "endpoint-span-us"} {
		if h, ok := spans.byName[name]; ok {
			b.ReportMetric(float64(h.ValueAtQuantile(50))/float64(time.Microsecond), unit)
		}
	}
}
