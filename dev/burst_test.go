package dev_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/reduce"
	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"
)

// The burst of the brief: demand at five times its mean, above what the pool
// holds, then a twentieth of the mean.
const (
	burstEntries  = 9
	burstRunners  = 10
	burstSlots    = 8
	burstWork     = 100 * time.Millisecond
	burstMean     = 400 // requests a second
	burstFor      = 10 * time.Second
	quietFor      = 5 * time.Second
	burstMembers  = 10
	greedy        = "member-0"
	slotsLimit    = burstRunners * burstSlots * int(time.Second/burstWork) // requests a second
	burstInterval = 5 * time.Millisecond
)

// burstCall is what became of one request.
type burstCall struct {
	member string
	status int
	ran    string
	took   time.Duration
	ended  time.Time
}

// burstLevels are the demands before the quiet time, in requests a second.
var burstLevels = []burstLevel{
	{name: "overload", rate: 5 * burstMean},
	{name: "within", rate: slotsLimit * 8 / 10},
	{name: "holder-killed", rate: slotsLimit * 8 / 10, kill: 3 * time.Second},
}

type burstLevel struct {
	name string
	rate int
	// kill is when the entry that holds the pool is killed; zero means never.
	// That entry gets no requests.
	kill time.Duration
}

// BenchmarkBurst compares the placements: run it with -benchtime 1x.
func BenchmarkBurst(b *testing.B) {
	for _, level := range burstLevels {
		for _, p := range []reduce.Placement{reduce.PlacementLocal, reduce.PlacementHolder} {
			b.Run(level.name+"/"+string(p), func(b *testing.B) {
				for b.Loop() {
					runBurst(b, p, level)
				}
			})
		}
	}
}

func runBurst(b *testing.B, p reduce.Placement, level burstLevel) {
	scope := tally.NewTestScope("", nil)
	f, err := dev.Start(dev.Config{
		Entries: burstEntries, Runners: burstRunners, Slots: burstSlots, Work: burstWork, Placement: p,
		Deps: entry.Deps{Metrics: scope},
	})
	must.NoError(b, err)
	defer f.Stop()
	status, _ := publish(b, f.Nodes[0], "0", burstText(f))
	must.EqOp(b, http.StatusOK, status)
	waitReady(b, f)
	time.Sleep(2 * time.Second) // the entries find each other and the holders
	cpu := processorTime(b)
	start := time.Now()
	load := burstLoad{nodes: f.Nodes}
	if level.kill > 0 {
		killed := holdingNode(b, f)
		load.nodes = slices.DeleteFunc(slices.Clone(f.Nodes), func(n *dev.Node) bool { return n == killed })
		time.AfterFunc(level.kill, killed.Kill)
	}
	load.demand(start, burstFor, level.rate)
	load.demand(start.Add(burstFor), quietFor, burstMean/20)
	load.wg.Wait()
	elapsed := time.Since(start)
	load.report(b, start)
	b.ReportMetric((processorTime(b)-cpu).Seconds()/elapsed.Seconds(), "cores")
	reportRunners(b, f)
	reportCounters(b, scope)
}

// holdingNode returns the entry that grants slots for the others, or the first
// when each grants by its own view.
func holdingNode(b *testing.B, f *dev.Fleet) *dev.Node {
	b.Helper()
	for _, n := range f.Nodes {
		if slices.Contains(status(b, n).Holds, "main") {
			return n
		}
	}
	return f.Nodes[0]
}

func burstText(f *dev.Fleet) string {
	var out strings.Builder
	fmt.Fprintf(&out, "data_centre \"dc1\" {\n  rack \"r1\" {\n")
	for _, r := range f.Runners {
		fmt.Fprintf(&out, "    instance %q {\n      address = %q\n      pool = \"main\"\n    }\n", r.ID, r.Address)
	}
	fmt.Fprintf(&out, "  }\n}\npool \"main\" {\n  slots = %d\n}\n", burstSlots)
	fmt.Fprintf(&out, "service \"survey\" {\n  pool = \"main\"\n  idempotent = true\n  time_limit = \"40s\"\n  max_queue = 4000\n}\n")
	for i := range burstMembers {
		fmt.Fprintf(&out, "member \"member-%d\" {\n  weight = 1\n}\n", i)
	}
	return out.String()
}

type burstLoad struct {
	nodes []*dev.Node
	wg    sync.WaitGroup
	mu    sync.Mutex
	calls []burstCall
	sent  int
}

// demand sends requests at a rate to all entries in turn. Every second one is
// the greedy member's.
func (l *burstLoad) demand(start time.Time, d time.Duration, rate int) {
	total := int(d.Seconds() * float64(rate))
	for i := range total {
		at := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		if wait := time.Until(at); wait > burstInterval {
			time.Sleep(wait)
		}
		member := greedy
		if i%2 == 1 {
			member = fmt.Sprintf("member-%d", 1+(i/2)%(burstMembers-1))
		}
		l.sent++
		node := l.nodes[l.sent%len(l.nodes)]
		l.wg.Go(func() { l.call(node, member) })
	}
}

func (l *burstLoad) call(n *dev.Node, member string) {
	req := httptest.NewRequestWithContext(context.Background(), http.MethodPost,
		"/v1/services/survey/requests", bytes.NewReader(make([]byte, 1024)))
	req.Header.Set("Banyanrail-Member", member)
	start := time.Now()
	w := httptest.NewRecorder()
	n.Entry.Callers().ServeHTTP(w, req)
	ended := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, burstCall{
		member: member, status: w.Code, ran: w.Header().Get("Banyanrail-Ran"), took: ended.Sub(start), ended: ended,
	})
}

// report counts the requests. One that was refused as not run was not
// accepted; any other one without an answer was lost.
func (l *burstLoad) report(b *testing.B, start time.Time) {
	end := start.Add(burstFor)
	var good, refused, lost int
	byMember := map[string]float64{}
	var waits, others []time.Duration
	for _, c := range l.calls {
		switch {
		case c.status == http.StatusOK:
			waits = append(waits, c.took-burstWork)
			if c.member != greedy {
				others = append(others, c.took-burstWork)
			}
			if !c.ended.After(end) {
				good++
				byMember[c.member]++
			}
		case c.ran == "no":
			refused++
		default:
			lost++
		}
	}
	slices.Sort(waits)
	slices.Sort(others)
	b.ReportMetric(float64(good)/(burstFor.Seconds()*float64(slotsLimit)), "goodput")
	b.ReportMetric(float64(len(waits)), "answered")
	b.ReportMetric(float64(refused), "refused")
	b.ReportMetric(float64(lost), "lost")
	b.ReportMetric(jain(byMember), "jain")
	b.ReportMetric(waits[len(waits)/2].Seconds(), "p50-wait-s")
	b.ReportMetric(waits[len(waits)*99/100].Seconds(), "p99-wait-s")
	b.ReportMetric(others[len(others)*99/100].Seconds(), "p99-wait-others-s")
	b.ReportMetric(waits[len(waits)-1].Seconds(), "longest-wait-s")
	b.ReportMetric(0, "ns/op")
}

// jain is Jain's fairness index: one when all members got the same.
func jain(byMember map[string]float64) float64 {
	var sum, squares float64
	for _, n := range byMember {
		sum += n
		squares += n * n
	}
	return sum * sum / (burstMembers * squares)
}

func reportRunners(b *testing.B, f *dev.Fleet) {
	most, refused := 0, 0
	for _, r := range f.Runners {
		runs, err := r.Runs(context.Background())
		must.NoError(b, err)
		most = max(most, runs.MostAtOnce)
		refused += runs.Refused
	}
	b.ReportMetric(float64(most), "most-at-once")
	b.ReportMetric(float64(refused), "endpoint-refused")
}

// reportCounters reports the entries' counters that tell of holders.
func reportCounters(b *testing.B, scope tally.TestScope) {
	totals := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		totals[c.Name()] += c.Value()
	}
	for _, name := range []string{"holders_changed", "holder_fallbacks", "leases_reclaimed", "grants_returned", "slots_leased"} {
		b.ReportMetric(float64(totals[name]), name)
	}
}

// processorTime is what this process has used so far.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
