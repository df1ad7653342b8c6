package soak_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/standin"
)

// history records the events at runners and clients.
type history struct {
	mu         sync.Mutex
	runs       []standin.RunEvent
	crashes    []crash
	jobs       map[fleet.JobID]*jobHistory
	violations []string
	lateStarts map[string][]lateStartCall
}

// lateStartCall is a start that was carried out late. A start between the two last times, on
// that runner, is due to the call.
type lateStartCall struct {
	runner                     string
	sent, carriedOut, answered time.Time
}

// crash is the end of a runner's incarnation and of all its runs.
type crash struct {
	at          time.Time
	incarnation fleet.Incarnation
}

// jobHistory holds the events of a job at its client.
type jobHistory struct {
	spec *fleet.JobSpec
	// fails is set if the job's tasks fail.
	fails bool
	// acceptedAt is when the job was first confirmed. refused is set while all
	// answers refused it.
	acceptedAt time.Time
	refused    bool
	// cancelSentAt is when the cancellation was first sent, cancelledAt when it was
	// confirmed.
	cancelSentAt, cancelledAt time.Time
	// reportedDoneAt is when an entry first reported the job as done.
	reportedDoneAt time.Time
	state          fleet.JobState
}

func newHistory() *history {
	return &history{jobs: make(map[fleet.JobID]*jobHistory), lateStarts: make(map[string][]lateStartCall)}
}

// addLateStart records a late call to start a task.
func (h *history) addLateStart(body []byte, call lateStartCall) {
	var start struct {
		Task string `json:"task"`
	}
	if json.Unmarshal(body, &start) != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lateStarts[start.Task] = append(h.lateStarts[start.Task], call)
}

func (h *history) addRun(e standin.RunEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, e)
}

func (h *history) addCrash(incarnated fleet.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashes = append(h.crashes, crash{at: time.Now(), incarnation: incarnated})
}

func (h *history) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// withJob calls f with a job's history, or nil, while it holds the lock.
func (h *history) withJob(id fleet.JobID, f func(*jobHistory)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.jobs[id])
}

// check checks the history against the guarantees and returns all violations.
func (h *history) check() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := checker{jobs: h.jobs, lateStarts: h.lateStarts, tasks: make(map[fleet.TaskID]*taskHistory), violations: slices.Clone(h.violations)}
	slices.SortStableFunc(h.runs, func(a, b standin.RunEvent) int { return a.At.Compare(b.At) })
	slices.SortFunc(h.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	deaths := h.crashes
	for _, e := range h.runs {
		for len(deaths) > 0 && deaths[0].at.Before(e.At) {
			c.endRuns(deaths[0].incarnation)
			deaths = deaths[1:]
		}
		c.apply(e)
	}
	c.checkJobs()
	return c.violations
}

// checker applies the events of the history in their order.
type checker struct {
	jobs       map[fleet.JobID]*jobHistory
	tasks      map[fleet.TaskID]*taskHistory
	violations []string
	lateStarts map[string][]lateStartCall
}

// orderedAt returns when the start was carried out, or when it was sent if that was late:
// the platform's bounds in time do not count for what a runner does late.
func (c *checker) orderedAt(e standin.RunEvent) time.Time {
	for _, l := range c.lateStarts[e.Task.String()] {
		if strings.HasPrefix(string(e.Runner), l.runner+"-") && !e.At.Before(l.carriedOut) && !e.At.After(l.answered) {
			return l.sent
		}
	}
	return e.At
}

type taskHistory struct {
	// running holds the attempt of each run in progress, by its runner's incarnation.
	running map[fleet.Incarnation]int64
	doneAt  time.Time
	// doneAcked is set once a run that ended as done was acknowledged.
	doneAcked     bool
	failuresAcked int
}

func (c *checker) addViolation(e standin.RunEvent, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v attempt %d at %s (%d), %s: ", e.Task, e.Attempt, e.Runner, e.Incarnation,
		e.At.Format("15:04:05.000"))+fmt.Sprintf(format, args...))
}

func (c *checker) task(id fleet.TaskID) *taskHistory {
	t, ok := c.tasks[id]
	if !ok {
		t = &taskHistory{running: make(map[fleet.Incarnation]int64)}
		c.tasks[id] = t
	}
	return t
}

func (c *checker) endRuns(incarnated fleet.Incarnation) {
	for _, t := range c.tasks {
		delete(t.running, incarnated)
	}
}

func (c *checker) apply(e standin.RunEvent) {
	t := c.task(e.Task)
	switch {
	case e.Started:
		c.checkStart(e, t)
		t.running[e.Incarnation] = e.Attempt
	case e.Acknowledged:
		// An owner can't know that a lease expired between the end of a run and the
		// acknowledgement, so such a run does not count as acknowledged. The
		// platform has the same rule.
		t.doneAcked = t.doneAcked || (e.Outcome == fleet.RunDone && !e.LeaseExpired)
		if e.Outcome == fleet.RunFailed {
			t.failuresAcked++
		}
	default:
		delete(t.running, e.Incarnation)
		if e.Outcome == fleet.RunDone && t.doneAt.IsZero() {
			t.doneAt = e.At
		}
	}
}

const (
	// maxAttempts is the queue's number of failed runs after which a task fails.
	maxAttempts = 2
	// maxStartDelay is how long after a confirmed cancellation a task may still
	// start: a proxy may delay an order, and the owner may be replaced.
	maxStartDelay = 2*delayTime + 3*time.Second
)

func (c *checker) checkStart(e standin.RunEvent, t *taskHistory) {
	j := c.jobs[e.Task.Job]
	if j == nil {
		c.addViolation(e, "started, but its job was not submitted")
		return
	}
	longRunning := j.spec.Steps[e.Task.Step].LongRunning
	switch {
	case len(t.running) > 0:
		c.addViolation(e, "started while it runs: %v", t.running)
	case t.doneAcked:
		c.addViolation(e, "started after its end was acknowledged")
	case t.failuresAcked >= maxAttempts && !longRunning:
		c.addViolation(e, "started after %d acknowledged failures", t.failuresAcked)
	case !j.cancelledAt.IsZero() && c.orderedAt(e).Sub(j.cancelledAt) > maxStartDelay:
		c.addViolation(e, "ordered %v after it was cancelled", c.orderedAt(e).Sub(j.cancelledAt))
	case j.refused:
		c.addViolation(e, "started, though all answers refused it")
	}
	for _, before := range j.spec.Steps[e.Task.Step].After {
		if missing := c.notDone(e.Task.Job, before, e.At); missing > 0 {
			c.addViolation(e, "started while %d tasks of step %d are not done", missing, before)
		}
	}
}

// notDone returns the number of tasks of a step that were not done by a time.
func (c *checker) notDone(job fleet.JobID, step int, by time.Time) int {
	notDone := 0
	for i := range c.jobs[job].spec.Steps[step].Count {
		t := c.tasks[fleet.TaskID{Job: job, Step: step, Index: i}]
		if t == nil || t.doneAt.IsZero() || t.doneAt.After(by) {
			notDone++
		}
	}
	return notDone
}

// checkJobs checks the final state of each job.
func (c *checker) checkJobs() {
	for id, j := range c.jobs {
		want := fleet.JobDone
		if j.fails {
			want = fleet.JobFailed
		}
		cancelled := !j.cancelSentAt.IsZero()
		switch {
		case j.acceptedAt.IsZero():
			continue
		case j.state == want, cancelled && j.state == fleet.JobCancelled:
		default:
			c.violations = append(c.violations, fmt.Sprintf("job %s ended as %q, not %q", id, j.state, want))
		}
		if j.reportedDoneAt.IsZero() {
			continue
		}
		for step := range j.spec.Steps {
			if missing := c.notDone(id, step, j.reportedDoneAt); missing > 0 {
				c.violations = append(c.violations, fmt.Sprintf("job %s was reported as done while %d tasks of step %d were not", id, missing, step))
			}
		}
	}
}
