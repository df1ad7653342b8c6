package dev_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/shoenig/test/must"
)

const (
	waveEntries  = 9
	waveServices = 5
	// callersOfService is the number of requests of a service under way.
	callersOfService = 25
	// settleTime lets the entries find each other and the end of the log.
	settleTime = 6 * time.Second
	// leavingLimit is how long a leaving endpoint may still get new work.
	leavingLimit = 3 * time.Second
)

// poolSizes are the runners of each service, and of the spare pool.
var poolSizes = []int{8, 8, 8, 9, 9, 8}

// waveText spreads the runners over four data centres, four to a rack.
func waveText(f *dev.Fleet, maxStep int) string {
	var out strings.Builder
	pools := make([]string, 0, len(f.Runners))
	for p, n := range poolSizes {
		for range n {
			pools = append(pools, fmt.Sprintf("pool-%d", p+1))
		}
	}
	racks := make(map[int][]string)
	for i, r := range f.Runners {
		// Runner i goes to data centre i mod 4, so that each pool is spread.
		rack := i%4*10 + i/16
		racks[rack] = append(racks[rack], fmt.Sprintf("    instance %q {\n      address = %q\n      pool = %q\n    }\n", r.ID, r.Address, pools[i]))
	}
	for dc := range 4 {
		fmt.Fprintf(&out, "data_centre \"dc%d\" {\n", dc+1)
		for rack := range 10 {
			if in := racks[dc*10+rack]; len(in) > 0 {
				fmt.Fprintf(&out, "  rack \"dc%d-r%d\" {\n%s  }\n", dc+1, rack+1, strings.Join(in, ""))
			}
		}
		out.WriteString("}\n")
	}
	for p := range poolSizes {
		fmt.Fprintf(&out, "pool \"pool-%d\" {\n  slots = 8\n  spare = %t\n}\n", p+1, p == waveServices)
	}
	for p := range waveServices {
		fmt.Fprintf(&out, "service \"service-%d\" {\n  pool = \"pool-%d\"\n  time_limit = \"5s\"\n  demand = %d\n}\n", p+1, p+1, callersOfService)
	}
	fmt.Fprintf(&out, "member \"lawa\" {}\nmaintenance {\n  max_step = %d\n  probation = \"1s\"\n}\n", maxStep)
	return out.String()
}

// watch sees the effects of all entries.
type watch struct {
	mu      sync.Mutex
	leaving map[fleet.InstanceID]time.Time
	late    int
	// drained counts the instances that were seen to leave.
	drained int
	lastIn  time.Duration
}

func (w *watch) tap(ev event.Event, out []effect.Effect) []effect.Effect {
	w.mu.Lock()
	defer w.mu.Unlock()
	if read, ok := ev.Body.(event.RecordsRead); ok {
		w.read(ev.Now, read)
	}
	for _, e := range out {
		d, ok := e.(effect.Dispatch)
		if !ok {
			continue
		}
		since, leaving := w.leaving[d.Instance]
		if !leaving {
			continue
		}
		w.lastIn = max(w.lastIn, ev.Now.Sub(since))
		if ev.Now.Sub(since) > leavingLimit {
			w.late++
		}
	}
	return out
}

// read notes when the first entry reads that an instance leaves or is back.
func (w *watch) read(now time.Time, read event.RecordsRead) {
	for _, p := range read.Records {
		switch r := p.Record.Body.(type) {
		case control.StepWave:
			for _, id := range r.Instances {
				if _, known := w.leaving[id]; !known {
					w.leaving[id] = now
					w.drained++
				}
			}
		case control.Return:
			delete(w.leaving, r.Instance)
		}
	}
}

// BenchmarkWave rolls a wave over 50 instances under load, by steps of several
// sizes.
func BenchmarkWave(b *testing.B) {
	if testing.Short() {
		b.Skip("takes minutes")
	}
	for _, step := range []int{1, 4, 8} {
		b.Run(fmt.Sprintf("step=%d", step), func(b *testing.B) {
			for range b.N {
				rollWave(b, step)
			}
		})
	}
}

func rollWave(b *testing.B, step int) {
	w := &watch{leaving: make(map[fleet.InstanceID]time.Time)}
	f, err := dev.Start(dev.Config{
		Entries: waveEntries, Runners: 50, Slots: 8, Work: 200 * time.Millisecond, Deps: entry.Deps{Tap: w.tap},
	})
	must.NoError(b, err)
	defer f.Stop()
	must.NoError(b, f.Platform.SetWorkerFault(standin.WorkerFault{RebootTime: time.Second}))
	code, _ := publish(b, f.Nodes[0], "0", waveText(f, step))
	must.EqOp(b, http.StatusOK, code)
	time.Sleep(settleTime)
	stop := serviceLoad(f)
	time.Sleep(time.Second)
	began := time.Now()
	code, _ = order(b, f.Nodes[0], "/v1/waves", entry.WaveRequest{})
	must.EqOp(b, http.StatusOK, code)
	least := 1.0
	for {
		st := status(b, f.Nodes[1])
		least = min(least, leastCapacity(st))
		if len(st.Waves) > 0 && st.Waves[0].Phase != "running" {
			must.EqOp(b, "done", st.Waves[0].Phase)
			must.EqOp(b, 50, st.Waves[0].Done)
			b.ReportMetric(float64(st.Waves[0].Steps), "steps")
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.ReportMetric(time.Since(began).Seconds(), "rollout-s")
	requests, failed := stop()
	cut, refused := 0, 0
	for _, r := range f.Runners {
		runs, err := r.Runs(b.Context())
		must.NoError(b, err)
		cut += runs.CutOff
		refused += runs.Refused
	}
	b.ReportMetric(float64(requests), "requests")
	b.ReportMetric(float64(failed), "not-answered")
	b.ReportMetric(float64(cut), "cut-off")
	b.ReportMetric(float64(refused), "slot-refusals")
	w.mu.Lock()
	defer w.mu.Unlock()
	must.GreaterEq(b, 50, w.drained)
	b.ReportMetric(float64(w.late), "on-leaving-after-3s")
	b.ReportMetric(w.lastIn.Seconds(), "last-on-leaving-s")
	b.ReportMetric(least, "least-capacity")
}

// leastCapacity returns the share of a pool in service, of the pool with the
// least.
func leastCapacity(st effect.Status) float64 {
	have, inService := make(map[fleet.PoolName]int), make(map[fleet.PoolName]int)
	for _, in := range st.Instances {
		have[in.Pool]++
		if in.Phase == "in-service" {
			inService[in.Pool]++
		}
	}
	least := 1.0
	for pool, n := range have {
		least = min(least, float64(inService[pool])/float64(n))
	}
	return least
}

// serviceLoad keeps requests of every service under way at all entries.
func serviceLoad(f *dev.Fleet) (stop func() (requests, failed int)) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var requests, failed int
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	for i := range waveServices * callersOfService {
		wg.Add(1)
		go func() {
			defer wg.Done()
			url := fmt.Sprintf("%s/v1/services/service-%d/requests", f.Nodes[i%len(f.Nodes)].CallersURL, i%waveServices+1)
			for {
				select {
				case <-done:
					return
				default:
				}
				ok := callOnce(client, url)
				mu.Lock()
				requests++
				if !ok {
					failed++
				}
				mu.Unlock()
			}
		}()
	}
	return func() (int, int) {
		close(done)
		wg.Wait()
		return requests, failed
	}
}

func callOnce(client *http.Client, url string) bool {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("x"))
	if err != nil {
		return false
	}
	req.Header.Set("Banyanrail-Member", "lawa")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
