package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/standin"
)

const (
	// A queue's turn: for turnTime it gets turnRate jobs a second, five times the mean of
	// the site's sounding-check, and betweenRate before and after.
	turnRate    = 55
	betweenRate = 3
	turnAt      = 4500 * time.Millisecond
	turnTime    = 5 * time.Second
	trafficTime = 12 * time.Second
	// storeDownAt and storeDownTime are when the store is down, and for how long.
	storeDownAt   = 5 * time.Second
	storeDownTime = 4200 * time.Millisecond
	// finishTime is the time after the end of the traffic after which jobs are asked
	// for.
	finishTime = 14 * time.Second
)

// surveyText returns a list of points in XML, of at most 4,000 bytes.
func surveyText(n int) string {
	var s strings.Builder
	s.WriteString("<survey>")
	for i := 0; s.Len() < 3900; i++ {
		fmt.Fprintf(&s, "<p><x>%d</x><y>%d</y><z>%d</z></p>", (n+i)%10, 7*i%10, i%7)
	}
	s.WriteString("</survey>")
	return s.String()
}

// playBatch checks that accepted jobs go on after a short outage of the store under
// load.
func playBatch(b *bed, trouble bool) ([]string, error) {
	needs := fleet.Capacity{CPU: 1000, Memory: 100}
	if err := b.configure(); err != nil {
		return nil, err
	}
	for i := range 8 {
		if _, err := b.addRunner(fmt.Sprintf("m%d", i+1), fleet.Capacity{CPU: 64_000, Memory: 128_000}); err != nil {
			return nil, err
		}
	}
	if err := b.startEntries(3, ""); err != nil {
		return nil, err
	}
	b.sleep(time.Second)
	if trouble {
		time.AfterFunc(storeDownAt, func() {
			b.rec.printf("the store is down")
			b.store.SetDown(true)
			b.sleep(storeDownTime)
			b.rec.printf("the store is back")
			b.store.SetDown(false)
		})
	}
	var mu sync.Mutex
	var accepted []fleet.JobID
	var clients sync.WaitGroup
	began := time.Now()
	count := 0
	for at := time.Duration(0); at < trafficTime; {
		n := count
		count++
		b.sleep(time.Until(began.Add(at)))
		rate := betweenRate
		if at >= turnAt && at < turnAt+turnTime {
			rate = turnRate
		}
		at += time.Second / time.Duration(rate)
		clients.Go(func() {
			id := fleet.JobID(fmt.Sprintf("%016x", n+1))
			b.mu.Lock()
			b.plans[id] = standin.TaskPlan{Needs: needs, Duration: 640 * time.Millisecond}
			b.mu.Unlock()
			step := fleet.Step{Count: 2, Needs: needs, Estimate: 640 * time.Millisecond}
			second := step
			second.After = []int{0}
			if b.submit(id, n, &fleet.JobSpec{Text: surveyText(n), Steps: []fleet.Step{step, second}}) {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		})
	}
	b.rec.printf("the last job is sent")
	ended := time.Now()
	b.sleep(finishTime)
	mu.Lock()
	ids := accepted
	mu.Unlock()
	b.rec.printf("%d of %d jobs were accepted %.1f s after the end of the traffic", len(ids), count, time.Since(ended).Seconds())
	violations := b.stuckJobs(ids, needs)
	b.stop()
	clients.Wait()
	return violations, nil
}

// stuckJobs returns the accepted jobs that are not known or not answered, or of which
// nothing runs for 3 s although under half of the runners' capacity is in use.
func (b *bed) stuckJobs(ids []fleet.JobID, needs fleet.Capacity) []string {
	var out []string
	before := b.states(ids)
	from := time.Now()
	b.sleep(3 * time.Second)
	after := b.states(ids)
	ran := make(map[fleet.JobID]bool)
	atWork := 0
	for task, runs := range b.intervals() {
		for _, r := range runs {
			if r.end.After(from) {
				ran[task.Job] = true
				atWork++
			}
		}
	}
	free := 8*64_000 - int64(atWork)*needs.CPU
	stuck, unknown := 0, 0
	example := fleet.JobID("")
	for _, id := range ids {
		switch state := after[id]; {
		case state == string(fleet.JobQueued) || state == string(fleet.JobRunning):
			if before[id] == state && !ran[id] && 2*free > 8*64_000 {
				stuck++
				example = id
			}
		case state != string(fleet.JobDone):
			unknown++
			b.rec.printf("job %s: %s", id, state)
		}
	}
	b.rec.printf("of %d accepted jobs %d stand still and %d are unknown, not answered or failed; %d runs at work in these 3 s", len(ids), stuck, unknown, atWork)
	if stuck > 0 {
		out = append(out, fmt.Sprintf("LOST: %d of %d accepted jobs, such as %s, are not done and have nothing running for 3 s, %v after the end of the traffic, with %d of %d thousandths of a core free",
			stuck, len(ids), example, finishTime, free, 8*64_000))
	}
	if unknown > 0 {
		out = append(out, fmt.Sprintf("LOST: %d of %d accepted jobs are unknown, not answered or failed", unknown, len(ids)))
	}
	return out
}

// states asks for the states of jobs, some at a time.
func (b *bed) states(ids []fleet.JobID) map[fleet.JobID]string {
	var mu sync.Mutex
	out := make(map[fleet.JobID]string, len(ids))
	var asking sync.WaitGroup
	next := make(chan fleet.JobID)
	for i := range 16 {
		asking.Go(func() {
			for id := range next {
				s := b.state(id, i, 5*time.Second)
				mu.Lock()
				out[id] = s
				mu.Unlock()
			}
		})
	}
	for _, id := range ids {
		next <- id
	}
	close(next)
	asking.Wait()
	return out
}
