package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

var cases = map[string]func(*fleet){
	"far-date": farDate, "roll": roll, "hopeless": hopeless, "release": release, "ends-done": endsDone, "crash-loop": crashLoop, "turned-away": turnedAway, "late-ack": lateAck, "held-end": heldEnd, "lost-start": lostStart,
}

func main() {
	name := flag.String("case", "", "the case to play")
	binary := flag.String("entry", "target/banyanrail-entry", "the entry's program")
	recordFile := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	f := newFleet(*binary, *recordFile, os.Getenv("TROUBLE") != "0")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		f.cannotRun("stopped by a signal")
	}()
	time.AfterFunc(112*time.Second, func() { f.cannotRun("out of time") })
	play(f)
	f.finish(0)
}

// broken reports that a rule was broken, and ends.
func (f *fleet) broken(format string, args ...any) {
	f.log("BROKEN: "+format, args...)
	fmt.Printf("broken: "+format+"\n", args...)
	f.finish(1)
}

func (f *fleet) held(format string, args ...any) {
	f.log("held: "+format, args...)
	fmt.Printf("held: "+format+"\n", args...)
}

// await waits for a condition and cannot run the case without it.
func (f *fleet) await(what string, limit time.Duration, ok func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			f.log("%s", what)
			return
		}
	}
	f.cannotRun("not within %v: %s", limit, what)
}

func taskName(id string, index int) string { return fmt.Sprintf("%s.0.0.%d", id, index) }

const (
	lastingLimit = 6 * time.Second // LOST: a task that lasts, from 6 s after its last run
	idleLimit    = 3 * time.Second // LOST: for 3 s
	calmBefore   = 4 * time.Second // LOST: if the 3 s and the 4 s before them are calm
	finishTime   = 14 * time.Second
)

// watchLasting applies the last part of LOST to the tasks of a lasting job: a task may not be
// without a run for 3 s on end that begin 6 s after its last run, or after its acceptance if
// it has none, and 4 s after the last disruption. It watches for a time and returns what it saw.
func (f *fleet) watchLasting(id string, count int, lastDisruption time.Time, watch time.Duration, service string, cpu int) []string {
	f.mu.Lock()
	accepted := f.jobs[id].accepted
	f.mu.Unlock()
	idle := make([]time.Duration, count)
	begun := time.Now()
	last := begun
	for time.Since(begun) < watch {
		time.Sleep(50 * time.Millisecond)
		now := time.Now()
		used, all := f.cpuInUse(service)
		for i := range count {
			runs := f.runsOf(taskName(id, i))
			from := accepted
			for _, r := range runs {
				if r.over.After(from) {
					from = r.over
				}
			}
			from = from.Add(lastingLimit)
			if calm := lastDisruption.Add(calmBefore); calm.After(from) {
				from = calm
			}
			if runningNow(runs) > 0 || now.Before(from) || all-used < 2*cpu {
				if idle[i] < idleLimit {
					idle[i] = 0
				}
				continue
			}
			idle[i] += now.Sub(last)
		}
		last = now
	}
	var out []string
	for i, d := range idle {
		runs := f.runsOf(taskName(id, i))
		used, all := f.cpuInUse(service)
		line := fmt.Sprintf("task %s: %d runs, %d now; without a run for %.1f s that count; %d of %d thousandths of a core in use", taskName(id, i), len(runs), runningNow(runs), d.Seconds(), used, all)
		f.log("%s", line)
		if d >= idleLimit {
			out = append(out, line)
		}
	}
	return out
}

func (f *fleet) judge(lost []string) {
	if len(lost) > 0 {
		f.broken("LOST: %s", strings.Join(lost, "; "))
	}
	f.held("LOST: no task that lasts was without a run for 3 s")
}

func (f *fleet) startRunners(service string, n int) {
	for i := range n {
		f.newRunner(fmt.Sprintf("i-%s-%02d", service, i), fmt.Sprintf("m-%s-%02d", service, i), service, fmt.Sprintf("r1-%d", i/4))
	}
}

// startFleet starts a small deployment of one service with a queue.
func (f *fleet) startFleet(entries, runners, attempts int, advice map[string]any) {
	f.addService("calc-desk")
	f.addQueue("calc", "calc-desk", attempts, advice)
	f.configure()
	f.startRunners("calc-desk", runners)
	f.startEntries(entries)
}

// done waits until all tasks of a job have ended done once.
func (f *fleet) awaitDone(id string, tasks int, limit time.Duration) {
	f.await("job "+id+" has run", limit, func() bool {
		n := 0
		for _, r := range f.runsOf(id + ".") {
			if r.how == "done" {
				n++
			}
		}
		return n >= tasks
	})
}

func (f *fleet) awaitRunning(id string, tasks int, limit time.Duration) {
	f.await(fmt.Sprintf("%d tasks of job %s run", tasks, id), limit, func() bool { return runningNow(f.runsOf(id+".")) == tasks })
}

// farDate: a job is due at a far date. Then a runner crashes and is gone. FAR=0 leaves that job
// out, which shows that it is the cause.
func farDate(f *fleet) {
	const runners, lastingTasks = 8, 3
	f.startFleet(3, runners, 3, nil)
	if os.Getenv("FAR") != "0" {
		const farMS = 253402300799999 // the last millisecond of the year 9999
		f.submit("calc", jobBody{Steps: []stepSpec{{Count: 1, CPU: 1000, MemMB: 256, Estimate: 500}}, Repeats: 1, StartAtMS: farMS, IntervalMS: 1000}, []plan{{MS: 500, End: "done"}})
	}
	lasting := f.submit("calc", jobBody{Steps: []stepSpec{{Count: lastingTasks, CPU: 2000, MemMB: 256, Estimate: 1000, Lasts: true}}}, []plan{{}})
	f.awaitRunning(lasting, lastingTasks, 5*time.Second)
	time.Sleep(2 * time.Second)
	plain := f.submit("calc", jobBody{Steps: []stepSpec{{Count: runners, CPU: 1000, MemMB: 256, Estimate: 3000, PerRun: 1}}}, []plan{{MS: 3000, End: "done"}})
	f.awaitRunning(plain, runners, 5*time.Second)
	disruption := time.Now().Add(-time.Minute)
	if f.trouble {
		f.mu.Lock()
		var r *runner
		for _, seen := range f.runs {
			if strings.HasPrefix(seen.task, lasting) && seen.over.IsZero() {
				r = f.runners[seen.runner]
			}
		}
		f.mu.Unlock()
		r.crash()
		disruption = time.Now()
	}
	lost := f.watchLasting(lasting, lastingTasks, disruption, 30*time.Second, "calc-desk", 2000)
	f.state("calc", lasting)
	state, running := f.state("calc", plain), runningNow(f.runsOf(plain+"."))
	if state != "done" && running == 0 {
		lost = append(lost, fmt.Sprintf("job %s, handed in 30 s ago, is shown as %s, and none of its tasks runs", plain, state))
	}
	f.judge(lost)
}

// roll: long tasks run on all runners; the entries are stopped and started in turn; then a
// lasting job is handed in.
func roll(f *fleet) {
	f.startFleet(3, 4, 3, nil)
	for range 2 {
		first := f.submit("calc", jobBody{Steps: []stepSpec{{Count: 64, CPU: 1000, MemMB: 128, Estimate: 300, PerRun: 16}}}, []plan{{MS: 300, End: "done"}})
		f.awaitDone(first, 64, 10*time.Second)
	}
	long := f.submit("calc", jobBody{Steps: []stepSpec{{Count: 64, CPU: 1000, MemMB: 128, Estimate: 85000, PerRun: 16}}}, []plan{{MS: 85000, End: "done"}})
	f.awaitRunning(long, 64, 10*time.Second)
	time.Sleep(2 * time.Second)
	disruption := time.Now().Add(-time.Minute)
	if f.trouble {
		for _, e := range f.entries {
			f.terminate(e)
			time.Sleep(2 * time.Second)
		}
		disruption = time.Now()
	}
	f.awaitReady(15 * time.Second)
	time.Sleep(8 * time.Second)
	f.judge(f.watchNew(disruption))
}

// hopeless: jobs of a class with long tasks; a twentieth of them can never be done. Then a
// lasting job is handed in.
func hopeless(f *fleet) {
	f.startFleet(3, 4, 2, nil)
	for range 2 {
		first := f.submit("calc", jobBody{Steps: []stepSpec{{Count: 64, CPU: 500, MemMB: 128, Estimate: 300, PerRun: 16}}}, []plan{{MS: 300, End: "done"}})
		f.awaitDone(first, 64, 10*time.Second)
	}
	var failing []string
	begun := time.Now()
	for n := range 40 {
		p := plan{MS: 80000, End: "done"}
		bad := f.trouble && n%20 == 19
		if bad {
			p = plan{MS: 300, End: "failed"}
		}
		id := f.submit("calc", jobBody{Steps: []stepSpec{{Count: 4, CPU: 500, MemMB: 128, Estimate: 80000, PerRun: 1}}}, []plan{p})
		if bad {
			f.log("job %s can never be done", id)
			failing = append(failing, id)
		}
		time.Sleep(time.Until(begun.Add(time.Duration(n+1) * 75 * time.Millisecond)))
	}
	disruption := time.Now()
	f.log("the jobs were handed in within %.2f s", time.Since(begun).Seconds())
	time.Sleep(12 * time.Second)
	for _, id := range failing {
		f.state("calc", id)
	}
	f.judge(f.watchNew(disruption))
}

// watchNew hands a lasting job and an ordinary one in, the last ones of the traffic, and applies
// LOST to both.
func (f *fleet) watchNew(disruption time.Time) []string {
	lasting := f.submit("calc", jobBody{Steps: []stepSpec{{Count: 2, CPU: 1000, MemMB: 128, Estimate: 1000, Lasts: true}}}, []plan{{}})
	plain := f.submit("calc", jobBody{Steps: []stepSpec{{Count: 2, CPU: 1000, MemMB: 128, Estimate: 500}}}, []plan{{MS: 500, End: "done"}})
	end := time.Now()
	lost := f.watchLasting(lasting, 2, disruption, finishTime+idleLimit+time.Second, "calc-desk", 1000)
	runs := f.runsOf(plain + ".")
	ran := false
	for _, r := range runs {
		ran = ran || r.over.IsZero() || r.over.After(end.Add(finishTime))
	}
	used, all := f.cpuInUse("calc-desk")
	if state := f.state("calc", plain); state != "done" && !ran && 2*used < all {
		lost = append(lost, fmt.Sprintf("job %s: %d runs, none from %v to %v after the end of the traffic; %d of %d thousandths of a core in use", plain, len(runs), finishTime, finishTime+idleLimit, used, all))
	}
	f.state("calc", lasting)
	return lost
}

// release: the runners of a service whose queue has advice are replaced one after the other.
func release(f *fleet) {
	f.startFleet(3, 4, 3, map[string]any{"decide_ms": 10, "each_ms": 1, "valid_ms": 60000})
	f.advice.valid = 60 * time.Second
	lasting := f.submit("calc", jobBody{Steps: []stepSpec{{Count: 2, CPU: 2000, MemMB: 256, Estimate: 1000, Lasts: true}}}, []plan{{}})
	f.awaitRunning(lasting, 2, 5*time.Second)
	time.Sleep(2 * time.Second)
	disruption := time.Now().Add(-time.Minute)
	if f.trouble {
		f.mu.Lock()
		var old []*runner
		for _, r := range f.runners {
			old = append(old, r)
		}
		f.mu.Unlock()
		for n, r := range old {
			f.newRunner(fmt.Sprintf("i-calc-desk-%02d", 10+n), fmt.Sprintf("m-calc-desk-%02d", 10+n), "calc-desk", "r1-0")
			time.Sleep(time.Second)
			r.drain()
			time.Sleep(2500 * time.Millisecond)
			r.leave()
		}
		disruption = time.Now()
	}
	lost := f.watchLasting(lasting, 2, disruption, 20*time.Second, "calc-desk", 2000)
	f.state("calc", lasting)
	f.judge(lost)
}

// endsDone: a task that lasts ends by itself, as done.
func endsDone(f *fleet) {
	f.startFleet(3, 4, 3, nil)
	p := plan{}
	if f.trouble {
		p = plan{MS: 4000, End: "done"}
	}
	lasting := f.submit("calc", jobBody{Steps: []stepSpec{{Count: 2, CPU: 2000, MemMB: 256, Estimate: 1000, Lasts: true}}}, []plan{p})
	f.awaitRunning(lasting, 2, 5*time.Second)
	lost := f.watchLasting(lasting, 2, time.Now(), 25*time.Second, "calc-desk", 2000)
	f.state("calc", lasting)
	f.judge(lost)
}

// crashLoop: one of twelve runners crashes, comes back, and crashes again as soon as it is given
// work. It is sound again after some seconds.
func crashLoop(f *fleet) {
	const (
		bad     = 7
		runners = 12
		trouble = 4500 * time.Millisecond
		down    = 700 * time.Millisecond
		crashes = 40 * time.Millisecond
	)
	f.startFleet(3, runners, 3, nil)
	id := f.submit("calc", jobBody{Steps: []stepSpec{{Count: runners, CPU: 60000, MemMB: 1024, Estimate: 40000, PerRun: 1}}}, []plan{{MS: 40000, End: "done"}})
	f.awaitRunning(id, runners, 10*time.Second)
	time.Sleep(2 * time.Second)
	if f.trouble {
		until := time.Now().Add(trouble)
		var again func(r *runner)
		again = func(r *runner) {
			f.log("runner %s crashes", r.id)
			r.end()
			time.Sleep(down)
			next := f.newRunner(r.id, r.machine, r.service, r.rack)
			next.onStart = func() {
				time.Sleep(crashes)
				if time.Now().Before(until) {
					again(next)
				}
			}
		}
		f.mu.Lock()
		r := f.runners[fmt.Sprintf("i-calc-desk-%02d", bad)]
		f.mu.Unlock()
		again(r)
	}
	state := ""
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && state != "done" && state != "failed"; {
		time.Sleep(2 * time.Second)
		state = f.state("calc", id)
	}
	how := make(map[string]int)
	for _, r := range f.runsOf(id) {
		how[r.how]++
	}
	f.log("runs by their ends: %v", how)
	switch {
	case state == "failed" && how["failed"] == 0:
		f.broken("LOST: job %s is shown as failed, and none of its runs has ended failed: %v", id, how)
	case state != "done":
		f.broken("LOST: job %s is shown as %s: %v", id, state, how)
	}
	f.held("LOST: job %s is done: %v", id, how)
}

// turnedAway: the store turns the entry away that leads, again and again, and serves the others.
// It stops once no call has reached a runner for a while.
func turnedAway(f *fleet) {
	const (
		runners = 4
		most    = 13
		awayFor = 7 * time.Second
		period  = 4500 * time.Millisecond
		silence = 1500 * time.Millisecond
		tasks   = 20
	)
	f.startFleet(9, runners, 3, nil)
	lasting := f.submit("calc", jobBody{Steps: []stepSpec{{Count: 2, CPU: 2000, MemMB: 256, Estimate: 1000, Lasts: true}}}, []plan{{}})
	f.awaitRunning(lasting, 2, 5*time.Second)
	disruption := time.Now().Add(-time.Minute)
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
			}
			go f.submitOrNot("calc", jobBody{Steps: []stepSpec{{Count: runners * tasks, CPU: 500, MemMB: 64, Estimate: 300, PerRun: tasks}}}, []plan{{MS: 300, End: "done"}})
		}
	}()
	for range most {
		if f.trouble {
			f.log("the store turns %s away for %v", f.store.turnLeaderAway(awayFor), awayFor)
			disruption = time.Now().Add(awayFor)
		}
		time.Sleep(period)
		if f.logConnections() > silence {
			f.log("no call has reached a runner for %v", silence)
			break
		}
	}
	close(stop)
	<-ended
	lost := f.watchLasting(lasting, 2, disruption, 30*time.Second, "calc-desk", 2000)
	f.logConnections()
	f.state("calc", lasting)
	f.judge(lost)
}

// logConnections logs the connections to the runners, and returns the shortest time for which
// no call has reached one of them.
func (f *fleet) logConnections() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	shortest := time.Hour
	for _, r := range f.runners {
		open, reset := r.connections()
		shortest = min(shortest, r.silent())
		f.log("runner %s: %d connections, %d reset; the last call came %.1f s ago", r.id, open, reset, r.silent().Seconds())
	}
	return shortest
}

// lateAck: a poll that acknowledges an end gets no answer. Its runner crashes, is back under its
// id, gets another task, and is cut off for a moment, in which the task ends and the poll is
// carried out.
func lateAck(f *fleet) {
	const (
		crashAfter, down = 100 * time.Millisecond, 600 * time.Millisecond
		cutAfter, cut    = 500 * time.Millisecond, 3 * time.Second
		runs             = 1500 * time.Millisecond
		late             = 3900 * time.Millisecond // after the second task has ended, during the cut
	)
	f.addService("calc-desk")
	f.addQueue("calc", "calc-desk", 3, nil)
	f.configure()
	f.startRunners("calc-desk", 7)
	press := f.newRunnerAt("127.0.0.1:0", "press", "i-calc-desk-press", "m-calc-desk-press", "calc-desk", "r1-1")
	f.startEntries(3)
	step := stepSpec{Count: 1, CPU: 2000, MemMB: 256, Estimate: 1000, Label: "press"}
	held := make(chan time.Time, 1)
	press.mu.Lock()
	if f.trouble {
		done := false
		press.delays = func(path string, c runnerCall) time.Duration {
			if done || path != "/hold" || c.Acked < 1 {
				return 0
			}
			done = true
			held <- time.Now()
			return late
		}
	}
	press.mu.Unlock()
	defer f.traffic("calc")()
	before := f.orders
	time.AfterFunc(lateWindow, func() { f.judgeLate(before) })
	first := f.submit("calc", jobBody{Steps: []stepSpec{step}}, []plan{{MS: 800, End: "done"}})
	f.awaitDone(first, 1, 10*time.Second)
	if f.trouble {
		<-held
		time.Sleep(crashAfter)
		f.log("runner %s crashes", press.id)
		press.end()
		time.Sleep(down)
		press = f.newRunnerAt(press.addr, "press", press.id, press.machine, press.service, press.rack)
	}
	second := f.submit("calc", jobBody{Steps: []stepSpec{step}}, []plan{{MS: int(runs.Milliseconds()), End: "done"}})
	f.await("the second task begins", 10*time.Second, func() bool { return len(f.runsOf(second)) > 0 })
	if f.trouble {
		time.Sleep(cutAfter)
		f.log("runner %s is cut off for %v", press.id, cut)
		press.cutFor(cut)
	}
	time.Sleep(12 * time.Second)
	f.state("calc", second)
	f.judgeOnce(second)
}

// judgeOnce applies to a job's tasks the part of TWICE about starts after an end done that was
// taken note of.
func (f *fleet) judgeOnce(id string) {
	seen := f.runsOf(id + ".")
	for i, a := range seen {
		for _, b := range seen[i+1:] {
			if a.task == b.task && a.how == "done" && !a.acked.IsZero() && b.began.After(a.over) {
				f.broken("TWICE: task %s ended done as run %d on %s, its end was taken note of, and run %d began on %s %.1f s after the end", a.task, a.attempt, a.runner, b.attempt, b.runner, b.began.Sub(a.over).Seconds())
			}
		}
	}
	f.held("TWICE: job %s has %d runs", id, len(seen))
}

// heldEnd: a start gets no answer and is repeated; its task runs and ends done. The owner is
// killed. The runner is cut off, crashes behind the cut and starts again, and the first start is
// carried out.
func heldEnd(f *fleet) {
	const lateBy = 10 * time.Second
	f.addService("calc-desk")
	f.addQueue("calc", "calc-desk", 3, nil)
	f.configure()
	f.startRunners("calc-desk", 7)
	press := f.newRunnerAt("127.0.0.1:0", "press", "i-calc-desk-press", "m-calc-desk-press", "calc-desk", "r1-1")
	f.startEntries(3)
	press.mu.Lock()
	if f.trouble {
		done := false
		press.delays = func(path string, _ runnerCall) time.Duration {
			if done || path != "/run-start" {
				return 0
			}
			done = true
			return lateBy
		}
	}
	press.mu.Unlock()
	defer f.traffic("calc")()
	before := f.orders
	time.AfterFunc(lateWindow, func() { f.judgeLate(before) })
	begun := time.Now()
	id := f.submit("calc", jobBody{Steps: []stepSpec{{Count: 1, CPU: 2000, MemMB: 256, Estimate: 1000, Label: "press"}}}, []plan{{MS: 1000, End: "done"}})
	f.awaitDone(id, 1, 10*time.Second)
	if f.trouble {
		time.Sleep(300 * time.Millisecond)
		leader := f.store.leaderNow()
		for _, e := range f.entries {
			if e.name == leader {
				f.log("SIGKILL to %s", e.name)
				e.kill()
				time.Sleep(time.Second)
				f.startEntry(e)
			}
		}
		time.Sleep(time.Until(begun.Add(7 * time.Second)))
		f.log("runner %s is cut off", press.id)
		press.cutFor(5500 * time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		f.log("runner %s crashes behind the cut", press.id)
		press.end()
		time.Sleep(600 * time.Millisecond)
		press = f.newRunnerAt(press.addr, "press", press.id, press.machine, press.service, press.rack)
		press.cutFor(4400 * time.Millisecond)
	}
	time.Sleep(time.Until(begun.Add(18 * time.Second)))
	f.state("calc", id)
	f.judgeOnce(id)
}

// lostStart: the runner that gets the start of a lasting task falls silent with it, for good.
func lostStart(f *fleet) {
	const runners = 8
	f.startFleet(3, runners, 3, nil)
	lost := make(chan struct{}, runners)
	if f.trouble {
		f.mu.Lock()
		for _, r := range f.runners {
			r.mu.Lock()
			r.delays = func(path string, _ runnerCall) time.Duration {
				if path != "/run-start" || len(lost) > 0 {
					return 0
				}
				lost <- struct{}{}
				f.log("runner %s falls silent for good as a start reaches it", r.id)
				r.cutFor(time.Hour)
				return time.Hour
			}
			r.mu.Unlock()
		}
		f.mu.Unlock()
	}
	lasting := f.submit("calc", jobBody{Steps: []stepSpec{{Count: 1, CPU: 2000, MemMB: 256, Estimate: 1000, Lasts: true}}}, []plan{{}})
	f.judge(f.watchLasting(lasting, 1, time.Now(), 26*time.Second, "calc-desk", 2000))
}
