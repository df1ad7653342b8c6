package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// setUp starts a world of entries and runners and waits until it serves.
func setUp(dir string, trouble bool, queue, service map[string]any, own map[string]string, entries int, runners ...*runner) (*world, error) {
	w, err := newWorld(dir, trouble, queue, service, own)
	if err != nil {
		return nil, err
	}
	for _, r := range runners {
		if err := w.addRunner(r); err != nil {
			return w, err
		}
	}
	for range entries {
		if err := w.addEntry(); err != nil {
			return w, err
		}
	}
	return w, w.waitReady()
}

func newRunner(id, rack string, cores int64) *runner {
	return &runner{id: id, rack: rack, capacity: cores * 1000, guards: true, rate: slowClock, stopGrace: 50 * time.Millisecond}
}

// slowClock is the rate of the slowest clock that a runner may have.
const slowClock = 0.98

// finishWith writes the verdict.
func (w *world) finishWith(found []string) verdict {
	for _, f := range found {
		w.note("BROKEN: %s", f)
		fmt.Println(f)
	}
	if len(found) > 0 {
		return broken
	}
	w.note("the rule held")
	return held
}

// cut separates a runner for cutLength from the store and from all calls that have a fencing
// token above one; zero lets none pass.
func (r *runner) cut(highest int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mute = true
	r.blocked = func(fence int64) bool { return fence > highest }
	r.w.note("runner %s is cut off for %v from the store and from calls with a fence above %d", r.id, cutLength, highest)
	dropped := time.AfterFunc(3*heartbeat, func() {
		r.w.note("the store drops the entry of runner %s", r.id)
		r.w.store.put(names["runners"], r.id, nil)
	})
	time.AfterFunc(cutLength, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		dropped.Stop()
		r.mute, r.blocked = false, nil
		r.w.note("runner %s is reached again", r.id)
		r.w.report(r)
	})
}

const (
	// cutLength is how long a runner is cut off, and storeCutLength how long an entry is
	// cut off from the store.
	cutLength      = 6 * time.Second
	storeCutLength = 5500 * time.Millisecond
)

// manyRunners returns runners of one service, four to a rack.
func manyRunners(n int, cores int64) []*runner {
	var out []*runner
	for i := range n {
		out = append(out, newRunner(fmt.Sprintf("i-%02d", i), fmt.Sprintf("r1-%d", i/4), cores))
	}
	return out
}

// oneTask is a step of one task that takes half a minute.
var oneTask = map[string]any{"count": 1, "cpu": 4000, "mem_mb": 256, "est_runtime_ms": 30000}

// formerOwner: the owner is cut off from the store, and a runner from all entries but the
// owner; the entry that takes over is stopped as planned soon after. The third owner must
// not start the runner's task elsewhere before the runner's lease has lapsed.
func formerOwner(dir string, trouble bool) (verdict, error) {
	w, err := setUp(dir, trouble, queueOf(2), serviceOf(true), nil, 5, manyRunners(8, 64)...)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return held, err
	}
	time.Sleep(time.Second)
	job := "00000000000000a1"
	if err := w.submit(job, oneTask, "cpu=4000 ms=30000"); err != nil {
		return held, err
	}
	if err := waitFor(5*time.Second, func() bool { return len(w.seen(job)) == 1 }); err != nil {
		return held, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		first := w.ownerEntry()
		run := w.seen(job)[0]
		w.note("entry %s, which acted last, is cut off from the store for %v", first.name, storeCutLength)
		first.cutOff.Store(true)
		time.AfterFunc(storeCutLength, func() {
			w.note("entry %s reaches the store again", first.name)
			first.cutOff.Store(false)
		})
		if err := waitFor(5*time.Second, func() bool { return w.ownerEntry() != first }); err != nil {
			return held, err
		}
		run.runner.cut(run.fence)
		time.Sleep(100 * time.Millisecond)
		w.note("roll: an entry is stopped and started again")
		w.ownerEntry().signal(syscall.SIGTERM)
	}
	time.Sleep(12 * time.Second)
	return w.finishWith(w.overlaps()), nil
}

// idleClock: a task is started on a runner that has been idle for long and has a slow
// clock; at once its owner is stopped as planned and the runner is cut off.
func idleClock(dir string, trouble bool) (verdict, error) {
	w, err := setUp(dir, trouble, queueOf(2), serviceOf(true), nil, 3, manyRunners(8, 64)...)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return held, err
	}
	w.note("the runners are idle for %v", idleTime)
	time.Sleep(idleTime)
	job := "00000000000000b1"
	if err := w.submit(job, oneTask, "cpu=4000 ms=30000"); err != nil {
		return held, err
	}
	if err := waitFor(5*time.Second, func() bool { return len(w.seen(job)) == 1 }); err != nil {
		return held, err
	}
	if trouble {
		time.Sleep(100 * time.Millisecond)
		w.seen(job)[0].runner.cut(0)
		w.note("roll: the owner is stopped and started again")
		w.ownerEntry().signal(syscall.SIGTERM)
	}
	time.Sleep(9 * time.Second)
	return w.finishWith(w.overlaps()), nil
}

const idleTime = 80 * time.Second

// waitingCount: jobs for the only runner with a label, which refuses all starts, and an owner
// that is killed. The next owner must still count them as waiting.
func waitingCount(dir string, trouble bool) (verdict, error) {
	const jobs = 12
	runners := manyRunners(12, 64)
	runners[0].rack = "r9-1"
	w, err := setUp(dir, trouble, queueOf(2), serviceOf(true), nil, 3, runners...)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return held, err
	}
	time.Sleep(time.Second)
	// A first job takes the whole runner, so that the others wait together.
	first := map[string]any{"count": 1, "cpu": 64000, "mem_mb": 256, "est_runtime_ms": 1500, "required_label": "r9-1"}
	if err := w.submit("00000000000000df", first, "cpu=64000 ms=1500"); err != nil {
		return held, err
	}
	step := map[string]any{"count": 1, "cpu": 4000, "mem_mb": 256, "est_runtime_ms": 3000, "required_label": "r9-1"}
	for n := range jobs {
		if err := w.submit(fmt.Sprintf("00000000000000d%x", n), step, "cpu=4000 ms=3000"); err != nil {
			return held, err
		}
	}
	accepted := time.Now()
	if trouble {
		runners[0].fail(func() { runners[0].unhealthy = true }, func() { runners[0].unhealthy = false })
	}
	time.Sleep(2 * time.Second)
	killed := w.ownerEntry()
	if trouble {
		killed.signal(syscall.SIGKILL)
	}
	// visible_ms and 2 s after the jobs were accepted, and stable_window_ms after the kill
	time.Sleep(time.Until(accepted.Add(6 * time.Second)))
	var found []string
	for _, e := range w.entries {
		if e == killed {
			continue // it is not in touch
		}
		status, body := e.call("GET", "", nil)
		begun := map[string]bool{}
		for _, s := range w.seen("00000000000000d") {
			begun[strings.SplitN(s.task, ".", 2)[0]] = true
		}
		var n int
		if _, err := fmt.Sscanf(body, `{"waiting":%d}`, &n); err != nil || status != 200 {
			continue
		}
		if left := jobs + 1 - len(begun); 2*n < left {
			found = append(found, fmt.Sprintf("%s gives %d jobs as waiting; %d were accepted over 5 s before and have not begun", e.name, n, left))
		}
	}
	return w.finishWith(found), nil
}

// fail makes a runner fail for greyLength.
func (r *runner) fail(begin, end func()) {
	r.mu.Lock()
	begin()
	r.mu.Unlock()
	r.w.note("runner %s fails for %v", r.id, greyLength)
	time.AfterFunc(greyLength, func() {
		r.mu.Lock()
		end()
		r.mu.Unlock()
		r.w.note("runner %s is sound again", r.id)
	})
}

// greyLength is how long a runner fails what it is told to start.
const greyLength = 6500 * time.Millisecond

// givenUp: three times, the runner of one task of a job whose tasks last crashes and is back
// a second later. The other tasks run on sound runners and must not be stopped.
func givenUp(dir string, trouble bool) (verdict, error) {
	const tasks, mayMiss = 5, 1
	w, err := setUp(dir, trouble, queueOf(2), serviceOf(true), nil, 3, manyRunners(8, 64)...)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return held, err
	}
	job := "00000000000000e1"
	step := map[string]any{"count": tasks, "cpu": 4000, "mem_mb": 256, "est_runtime_ms": 60000, names["lasts"]: true, "may_miss": mayMiss, "max_per_server": 1}
	if err := w.submit(job, step, "cpu=4000 lasts"); err != nil {
		return held, err
	}
	if err := waitFor(5*time.Second, func() bool { return len(w.seen(job)) == tasks }); err != nil {
		return held, err
	}
	time.Sleep(5 * time.Second)
	task := job + ".0.0.0"
	for n := 1; trouble && n <= 3; n++ {
		var last seenRun
		if err := waitFor(5*time.Second, func() bool {
			for _, s := range w.seen(task) {
				last = s
			}
			return last.to.IsZero() && last.attempt >= int64(n)
		}); err != nil {
			w.note("the task does not run again")
			break
		}
		time.Sleep(600 * time.Millisecond)
		r := last.runner
		w.note("runner %s crashes, with %s run %d; it is back in 1 s", r.id, last.task, last.attempt)
		r.crash()
		time.Sleep(time.Second)
		if err := r.start(); err != nil {
			return held, err
		}
	}
	time.Sleep(6 * time.Second)
	_, body := w.entries[0].call("GET", job, nil)
	var found []string
	var stopped []string
	for _, s := range w.seen(job) {
		if s.how == "stopped" {
			stopped = append(stopped, s.task)
		}
	}
	if len(stopped) > mayMiss {
		found = append(found, fmt.Sprintf("AVAIL: %d tasks at work on sound runners were stopped at once, %d may be missed: %v", len(stopped), mayMiss, stopped))
	}
	if strings.Contains(body, "failed") || strings.Contains(body, "cancelled") {
		found = append(found, fmt.Sprintf("LOST: the job is shown as %s; no run has ended failed", body))
	}
	return w.finishWith(found), nil
}

// gangFailure: one runner fails all that it starts. A gang whose members it gets fails once;
// the queue allows two failures.
func gangFailure(dir string, trouble bool) (verdict, error) {
	const members, attempts = 4, 2
	w, err := setUp(dir, trouble, queueOf(attempts), serviceOf(true), nil, 3, manyRunners(12, 64)...)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return held, err
	}
	step := map[string]any{"count": members, "cpu": 4000, "mem_mb": 256, "est_runtime_ms": 1000, "gang": true}
	time.Sleep(2 * time.Second)
	if trouble {
		// Of runners with the same room, tasks go to the first one.
		r := w.runners[0]
		r.fail(func() { r.failing = true }, func() { r.failing = false })
	}
	job := "00000000000000f1"
	if err := w.submit(job, step, "cpu=4000 ms=1000 gang=4"); err != nil {
		return held, err
	}
	time.Sleep(8 * time.Second)
	_, body := w.entries[0].call("GET", job, nil)
	failures := map[int64]bool{}
	for _, s := range w.seen(job) {
		if s.how == "failed" {
			failures[s.attempt] = true
		}
	}
	var found []string
	if strings.Contains(body, "failed") && len(failures) < attempts {
		found = append(found, fmt.Sprintf("LOST: the job is shown as %s; its gang has failed in %d of %d runs", body, len(failures), attempts))
	}
	return w.finishWith(found), nil
}
