package soak_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/loop"
	"github.com/shoenig/test/must"
)

var (
	seeds     = flag.Int("soak.seeds", 2, "runs")
	firstSeed = flag.Int64("soak.seed", 1, "seed of the first run")
	parallel  = flag.Int("soak.parallel", 2, "runs at once, of five processes each")
	logs      = flag.String("soak.logs", "", "folder that keeps the logs of all runs")
)

const (
	// warmUp is the time before the first fault.
	warmUp = 2 * time.Second
	// troubled is how long faults begin.
	troubled = 12 * time.Second
	// settled is how long all work may take to end after the last fault: leases
	// of 9 s at most after a last heartbeat, a takeover and the longest job.
	settled = 25 * time.Second
)

// regressions are seeds that failed once, with the cause.
var regressions = map[int64]string{
	335: "an owner cut off from the store denied a job that its successor had accepted",
}

func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "banyanrail-entry")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/banyanrail-entry").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	places := make(chan struct{}, *parallel)
	run := func(seed int64) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			places <- struct{}{}
			defer func() { <-places }()
			soak(t, seed, binary)
		})
	}
	for seed := range regressions {
		run(seed)
	}
	for i := range *seeds {
		run(*firstSeed + int64(i))
	}
}

func logFolder(t *testing.T, seed int64) string {
	t.Helper()
	if *logs == "" {
		return t.TempDir()
	}
	dir := filepath.Join(*logs, fmt.Sprint(seed))
	must.NoError(t, os.MkdirAll(dir, 0o700))
	return dir
}

// soak plays one seed: clients work, faults come and go, all is calm again, and
// everything has to have ended well.
func soak(t *testing.T, seed int64, binary string) {
	w := newWorld(t, seed, binary, logFolder(t, seed))
	submitting, stop := context.WithCancel(w.ctx)
	defer stop()
	var clients, faults sync.WaitGroup
	for i := range clientCount {
		c := w.newClient(i)
		clients.Go(func() { c.work(submitting) })
	}
	w.pause(warmUp)
	for _, f := range w.drawFaults(troubled) {
		t.Log(f)
		faults.Go(func() {
			w.pause(f.at)
			w.inject(t, f)
		})
	}
	faults.Wait()
	w.calm(t)
	w.pause(time.Second)
	stop()
	ended := make(chan struct{})
	go func() { clients.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(settled):
		w.history.fault("jobs are under way %v after the last fault", settled)
	}
	_ = loop.Sleep(w.ctx, time.Second)
	w.checkConfiguration()
	for _, f := range w.history.check() {
		t.Error(f)
	}
	t.Logf("%d jobs, %d events at runners", len(w.history.jobs), len(w.history.runs))
}

// calm undoes what overlapping faults may have left behind.
func (w *world) calm(t *testing.T) {
	t.Helper()
	w.store.SetDown(false)
	for _, e := range w.entries {
		e.store.set(pass)
		e.front.set(pass)
		must.NoError(t, e.start())
	}
	for _, r := range w.runners {
		r.front.set(pass)
		r.boot(false)
	}
}
