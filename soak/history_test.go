package soak_test

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/standin"
)

// history is all that runners and clients saw.
type history struct {
	mu     sync.Mutex
	runs   []standin.RunEvent
	deaths []death
	jobs   map[fleet.JobID]*jobHistory
	faults []string
}

// death is the end of a runner's life, with all that it ran.
type death struct {
	at         time.Time
	incarnated fleet.Incarnation
}

// jobHistory is what a client knows of its job.
type jobHistory struct {
	spec *fleet.JobSpec
	// fails is set if its tasks fail.
	fails bool
	// accepted is when it was first confirmed; refused is set while all answers
	// said that nothing was done.
	accepted time.Time
	refused  bool
	// cancelling is when its cancellation was first sent, cancelled when it was
	// confirmed.
	cancelling, cancelled time.Time
	// shownDone is when it was first shown as done.
	shownDone time.Time
	state     fleet.JobState
}

func newHistory() *history { return &history{jobs: make(map[fleet.JobID]*jobHistory)} }

func (h *history) ran(e standin.RunEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, e)
}

func (h *history) died(incarnated fleet.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deaths = append(h.deaths, death{at: time.Now(), incarnated: incarnated})
}

func (h *history) fault(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, fmt.Sprintf(format, args...))
}

// with reads or changes what is known of a job.
func (h *history) with(id fleet.JobID, f func(*jobHistory)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.jobs[id])
}

// check holds the history against the promises and returns all that it breaks.
func (h *history) check() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := checker{jobs: h.jobs, tasks: make(map[fleet.TaskID]*taskHistory), faults: slices.Clone(h.faults)}
	slices.SortStableFunc(h.runs, func(a, b standin.RunEvent) int { return a.At.Compare(b.At) })
	slices.SortFunc(h.deaths, func(a, b death) int { return a.at.Compare(b.at) })
	deaths := h.deaths
	for _, e := range h.runs {
		for len(deaths) > 0 && deaths[0].at.Before(e.At) {
			c.died(deaths[0].incarnated)
			deaths = deaths[1:]
		}
		c.step(e)
	}
	c.finish()
	return c.faults
}

// checker folds the history.
type checker struct {
	jobs   map[fleet.JobID]*jobHistory
	tasks  map[fleet.TaskID]*taskHistory
	faults []string
}

type taskHistory struct {
	// running holds the runs by the life of the runner that they are on.
	running map[fleet.Incarnation]int64
	done    time.Time
	// noted is set once the end `done` was acknowledged.
	noted  bool
	failed int
}

func (c *checker) fault(e standin.RunEvent, format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf("%v attempt %d at %s (%d), %s: ", e.Task, e.Attempt, e.Runner, e.Incarnation,
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

func (c *checker) died(incarnated fleet.Incarnation) {
	for _, t := range c.tasks {
		delete(t.running, incarnated)
	}
}

func (c *checker) step(e standin.RunEvent) {
	t := c.task(e.Task)
	switch {
	case e.Started:
		c.began(e, t)
		t.running[e.Incarnation] = e.Attempt
	case e.Acknowledged:
		// An owner cannot know that a lease was over between an end and its
		// acknowledgement; the platform holds that in its favour.
		t.noted = t.noted || (e.Outcome == fleet.RunDone && !e.LeaseExpired)
		if e.Outcome == fleet.RunFailed {
			t.failed++
		}
	default:
		delete(t.running, e.Incarnation)
		if e.Outcome == fleet.RunDone && t.done.IsZero() {
			t.done = e.At
		}
	}
}

const (
	// attempts is the number of runs after which a task has failed, as the
	// queue says.
	attempts = 2
	// cancelTime is how long after a confirmed cancellation a task may still be
	// started: an order may be held on its way, and the owner be replaced.
	cancelTime = 2*holdTime + 3*time.Second
)

func (c *checker) began(e standin.RunEvent, t *taskHistory) {
	j := c.jobs[e.Task.Job]
	if j == nil {
		c.fault(e, "started, though nobody handed it in")
		return
	}
	lasting := j.spec.Steps[e.Task.Step].LongRunning
	switch {
	case len(t.running) > 0:
		c.fault(e, "started, though it runs: %v", t.running)
	case t.noted:
		c.fault(e, "started after its end was acknowledged")
	case t.failed >= attempts && !lasting:
		c.fault(e, "started after %d acknowledged failures", t.failed)
	case !j.cancelled.IsZero() && e.At.Sub(j.cancelled) > cancelTime:
		c.fault(e, "started %v after it was cancelled", e.At.Sub(j.cancelled))
	case j.refused:
		c.fault(e, "started, though all answers refused it")
	}
	for _, before := range j.spec.Steps[e.Task.Step].After {
		if missing := c.notDone(e.Task.Job, before, e.At); missing > 0 {
			c.fault(e, "started while %d tasks of step %d are not done", missing, before)
		}
	}
}

// notDone counts the tasks of a step that had not ended well by then.
func (c *checker) notDone(job fleet.JobID, step int, by time.Time) int {
	missing := 0
	for i := range c.jobs[job].spec.Steps[step].Count {
		t := c.tasks[fleet.TaskID{Job: job, Step: step, Index: i}]
		if t == nil || t.done.IsZero() || t.done.After(by) {
			missing++
		}
	}
	return missing
}

// finish checks how each job ended.
func (c *checker) finish() {
	for id, j := range c.jobs {
		want := fleet.JobDone
		if j.fails {
			want = fleet.JobFailed
		}
		cancelled := !j.cancelling.IsZero()
		switch {
		case j.accepted.IsZero():
			continue
		case j.state == want, cancelled && j.state == fleet.JobCancelled:
		default:
			c.faults = append(c.faults, fmt.Sprintf("job %s ended as %q, not %q", id, j.state, want))
		}
		if j.shownDone.IsZero() {
			continue
		}
		for step := range j.spec.Steps {
			if missing := c.notDone(id, step, j.shownDone); missing > 0 {
				c.faults = append(c.faults, fmt.Sprintf("job %s was shown as done while %d tasks of step %d were not", id, missing, step))
			}
		}
	}
}
