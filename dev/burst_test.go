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
	"github.com/banyanrail/banyanrail/reduce"
	"github.com/shoenig/test/must"
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
	burstDemand   = 5 * burstMean
	quietDemand   = burstMean / 20
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

// BenchmarkBurst compares the placements: run it with -benchtime 1x.
func BenchmarkBurst(b *testing.B) {
	for _, p := range []reduce.Placement{reduce.PlacementLocal, reduce.PlacementHolder} {
		b.Run(string(p), func(b *testing.B) {
			for b.Loop() {
				runBurst(b, p)
			}
		})
	}
}

func runBurst(b *testing.B, p reduce.Placement) {
	f, err := dev.Start(dev.Config{
		Entries: burstEntries, Runners: burstRunners, Slots: burstSlots, Work: burstWork, Placement: p,
	})
	must.NoError(b, err)
	defer f.Stop()
	status, _ := publish(b, f.Nodes[0], "0", burstText(f))
	must.EqOp(b, http.StatusOK, status)
	waitReady(b, f)
	time.Sleep(2 * time.Second) // the entries find each other and the holders
	cpu := processorTime(b)
	start := time.Now()
	var load burstLoad
	load.demand(f, start, burstFor, burstDemand)
	load.demand(f, start.Add(burstFor), quietFor, quietDemand)
	load.wg.Wait()
	elapsed := time.Since(start)
	load.report(b, start)
	b.ReportMetric((processorTime(b)-cpu).Seconds()/elapsed.Seconds(), "cores")
	reportRunners(b, f)
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
	wg    sync.WaitGroup
	mu    sync.Mutex
	calls []burstCall
	sent  int
}

// demand sends requests at a rate to all entries in turn. Every second one is
// the greedy member's.
func (l *burstLoad) demand(f *dev.Fleet, start time.Time, d time.Duration, rate int) {
	total := int(d.Seconds() * float64(rate))
	for i := range total {
		at := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		if wait := time.Until(at); wait > burstInterval {
			time.Sleep(wait)
		}
		member := "member-0"
		if i%2 == 1 {
			member = fmt.Sprintf("member-%d", 1+(i/2)%(burstMembers-1))
		}
		l.sent++
		node := f.Nodes[l.sent%len(f.Nodes)]
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
	var waits []time.Duration
	for _, c := range l.calls {
		switch {
		case c.status == http.StatusOK:
			waits = append(waits, c.took-burstWork)
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
	b.ReportMetric(float64(good)/(burstFor.Seconds()*float64(slotsLimit)), "goodput")
	b.ReportMetric(float64(len(waits)), "answered")
	b.ReportMetric(float64(refused), "refused")
	b.ReportMetric(float64(lost), "lost")
	b.ReportMetric(jain(byMember), "jain")
	b.ReportMetric(waits[len(waits)/2].Seconds(), "p50-wait-s")
	b.ReportMetric(waits[len(waits)*99/100].Seconds(), "p99-wait-s")
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

// processorTime is what this process has used so far.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
