package soak_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/loop"
	"github.com/shoenig/test/must"
)

var (
	seeds     = flag.Int("soak.seeds", 2, "runs with faults of any kind")
	restarts  = flag.Int("soak.restarts", 1, "runs with runners that restart and are cut off")
	firstSeed = flag.Int64("soak.seed", 1, "seed of the first run of either kind")
	parallel  = flag.Int("soak.parallel", 2, "concurrent runs, of five processes each")
	logs      = flag.String("soak.logs", "", "folder for the logs of all runs")
)

const (
	// warmUp is the time before the first fault.
	warmUp = 2 * time.Second
	// faultPeriod is the time during which faults begin.
	faultPeriod = 12 * time.Second
	// settleTimeout is how long the jobs may take to end after the last fault: a
	// lease ends at most 9 s after the last heartbeat; then follow a failover and
	// the longest job.
	settleTimeout = 25 * time.Second
	// restartsSettleTimeout is the same after restarts: a call is carried out up to 12 s
	// late and gives a lease of 10 s; then follow a failover and the longest job of 14 s,
	// which may run once more from its start.
	restartsSettleTimeout = 60 * time.Second
)

// regressions are seeds that found a fault, with its cause.
var regressions = map[int64]string{
	335:   "an owner disconnected from the store denied a job that its successor had accepted",
	40019: "a call that came while an entry stopped outlasted its process",
}

func TestSoak(t *testing.T) {
	t.Parallel()
	list := slices.Sorted(maps.Keys(regressions))
	for i := range *seeds {
		list = append(list, *firstSeed+int64(i))
	}
	runSeries(t, list, false)
}

// TestSoakWithRestarts: tasks ran twice after runners had come back under their ids and had
// been cut off soon after.
func TestSoakWithRestarts(t *testing.T) {
	t.Parallel()
	var list []int64
	for i := range *restarts {
		list = append(list, *firstSeed+int64(i))
	}
	runSeries(t, list, true)
}

// running limits the concurrent runs of all tests.
var running = sync.OnceValue(func() chan struct{} { return make(chan struct{}, *parallel) })

func runSeries(t *testing.T, seeds []int64, withRestarts bool) {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "banyanrail-entry")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/banyanrail-entry").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	series := &seriesCoverage{}
	t.Cleanup(func() { series.check(t) })
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			running() <- struct{}{}
			defer func() { <-running() }()
			series.add(runSeed(t, seed, binary, logFolder(t), withRestarts))
		})
	}
}

func logFolder(t *testing.T) string {
	t.Helper()
	if *logs == "" {
		return t.TempDir()
	}
	dir := filepath.Join(*logs, t.Name())
	must.NoError(t, os.MkdirAll(dir, 0o700))
	return dir
}

// runSeed runs one seed: clients submit jobs, faults begin and end, and after the
// last fault all jobs have to end in the right state.
func runSeed(t *testing.T, seed int64, binary, dir string, withRestarts bool) coverage {
	tb := newTestbed(t, seed, binary, dir)
	submitting, stop := context.WithCancel(tb.ctx)
	defer stop()
	rotating, stopRotating := context.WithTimeout(tb.ctx, faultPeriod)
	defer stopRotating()
	var clients, faults sync.WaitGroup
	for i := range clientCount {
		c := tb.newClient(i)
		if withRestarts && i < longClientCount {
			c.submitLongJobs()
		}
		clients.Go(func() { c.run(submitting) })
	}
	probes := rand.New(rand.NewSource(seed))
	faults.Go(func() { tb.rotateKeys(rotating, t) })
	crowds := rand.New(rand.NewSource(seed))
	faults.Go(func() { tb.holdCrowds(rotating, crowds) })
	tb.wg.Go(func() { tb.probeKeys(probes) })
	tb.sleep(warmUp)
	timeout := settleTimeout
	var drawn []fault
	if withRestarts {
		timeout = restartsSettleTimeout
		faults.Go(func() { tb.injectAllRestarts(t) })
	} else {
		drawn = append(tb.drawFaults(faultPeriod), tb.drawLongCut())
		drawn = append(drawn, tb.drawEndings(faultPeriod)...)
	}
	for _, f := range drawn {
		t.Log(f)
		faults.Go(func() {
			tb.sleep(f.start)
			tb.inject(t, f)
		})
	}
	faults.Wait()
	tb.endFaults(t)
	tb.sleep(time.Second)
	stop()
	clientsDone := make(chan struct{})
	go func() { clients.Wait(); close(clientsDone) }()
	select {
	case <-clientsDone:
	case <-time.After(timeout):
		tb.history.addViolation("jobs have not ended %v after the last fault", timeout)
	}
	_ = loop.Sleep(tb.ctx, time.Second)
	tb.checkConfiguration()
	c := tb.coverage(t)
	for _, r := range tb.runners {
		r.crash() // after this all its events have been recorded
	}
	for _, f := range tb.history.check() {
		t.Error(f)
	}
	t.Logf("%d jobs, %+v", len(tb.history.jobs), c)
	c.check(t, drawn)
	if withRestarts {
		c.checkRestarts(t)
	}
	return c
}

// endFaults reverts faults that are still in effect because they overlapped.
func (tb *testbed) endFaults(t *testing.T) {
	t.Helper()
	tb.store.SetDown(false)
	for _, e := range tb.entries {
		e.storeProxy.setMode(forward)
		e.clientProxy.setMode(forward)
		must.NoError(t, e.start())
	}
	for _, r := range tb.runners {
		r.proxy.setMode(forward)
		if r.ended() {
			r.join(t)
		} else {
			tb.bootRunner(t, r, false)
		}
	}
}
