package main

import (
	"encoding/json"
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
	cutLength      = 5500 * time.Millisecond
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
	w, err := setUp(dir, trouble, queueOf(2), serviceOf(true), nil, 7, manyRunners(8, 64)...)
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

// upkeep: machines with a lasting task and a long one each are due for upkeep. Of the lasting
// tasks that are stopped for it, each has to run again soon: there is room for them.
func upkeep(dir string, trouble bool) (verdict, error) {
	const lasting, mayMiss, due = 15, 3, 5
	w, err := setUp(dir, trouble, queueOf(2), serviceOf(true), nil, 3, manyRunners(16, 64)...)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return held, err
	}
	time.Sleep(time.Second)
	monitor, long := "00000000000000a7", "00000000000000b7"
	step := map[string]any{
		"count": lasting, "cpu": 4000, "mem_mb": 256, "est_runtime_ms": 60000, names["lasts"]: true, "max_per_server": 1, "may_miss": mayMiss,
	}
	if err := w.submit(monitor, step, "cpu=4000 lasts"); err != nil {
		return held, err
	}
	if err := waitFor(5*time.Second, func() bool { return len(w.seen(monitor)) == lasting }); err != nil {
		return held, err
	}
	if err := w.submit(long, map[string]any{"count": due, "cpu": 40000, "mem_mb": 256, "est_runtime_ms": 40000}, "cpu=40000 ms=40000"); err != nil {
		return held, err
	}
	if err := waitFor(5*time.Second, func() bool { return len(w.seen(long)) == due }); err != nil {
		return held, err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		var machines []string
		for _, s := range w.seen(long) {
			machines = append(machines, s.runner.machine)
		}
		if err := w.requestWave(1, machines, 24, 2); err != nil {
			return held, err
		}
	}
	var found []string
	away := map[string]time.Time{}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until) && len(found) == 0; time.Sleep(50 * time.Millisecond) {
		found = w.awayTooLong(monitor, lasting, 4000, away)
	}
	return w.finishWith(found), nil
}

// requestWave writes the operator's request for a wave of upkeep.
func (w *world) requestWave(number int, machines []string, seconds, most int) error {
	raw, err := json.Marshal(map[string]any{"wave": number, "machines": machines, "duration_s": seconds, "cap": most})
	if err != nil {
		return err
	}
	w.note("wave %d: upkeep of %v in %d s, %d at once", number, machines, seconds, most)
	w.store.put(names["operators"], fmt.Sprintf("wave/%d", number), raw)
	return nil
}

// awayTooLong returns the lasting tasks of a job that have not run for 3 s, from 6 s after
// their last run, while two runners that run none of the job's tasks had room for them all the
// time. away holds since when that is so.
func (w *world) awayTooLong(job string, tasks int, cpu int64, away map[string]time.Time) []string {
	runs := w.seen(job)
	var room []string
	for _, r := range w.runners {
		r.mu.Lock()
		fits := r.up && r.capacity-r.used() >= cpu
		for _, x := range r.runs {
			fits = fits && !strings.HasPrefix(x.task, job)
		}
		r.mu.Unlock()
		if fits {
			room = append(room, r.id)
		}
	}
	var found []string
	for n := range tasks {
		task := fmt.Sprintf("%s.0.0.%d", job, n)
		var last time.Time
		running := false
		for _, s := range runs {
			if s.task == task {
				running = running || s.to.IsZero()
				last = s.to
			}
		}
		if running || last.IsZero() || time.Since(last) < 6*time.Second || len(room) < 2 {
			delete(away, task)
			continue
		}
		since, ok := away[task]
		if !ok {
			away[task] = time.Now()
		}
		if ok && time.Since(since) >= 3*time.Second {
			found = append(found, fmt.Sprintf("LOST: %s has not run for %.1f s; runners with room for it and none of its job: %v", task, time.Since(last).Seconds(), room))
		}
	}
	return found
}
