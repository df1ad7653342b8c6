package standin

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

const (
	// maxLeaseMillis is the longest lease that a runner accepts, in milliseconds.
	// It follows from the platform's bounds.
	maxLeaseMillis = 10_000
	// maxListedEnds is the largest number of ended tasks in the answer to a poll.
	maxListedEnds = 500
	// fullPercent is the percentage of a finished task.
	fullPercent = 100
)

type (
	taskRunnerEvent  interface{ isTaskRunnerEvent() }
	taskRunnerEffect interface{ isTaskRunnerEffect() }
)

type orderReceived struct {
	call  uint64
	order effect.OrderTask
}

type pollReceived struct {
	call uint64
	poll effect.PollRunner
}

type taskRunnerTimer struct{}

func (orderReceived) isTaskRunnerEvent()   {}
func (pollReceived) isTaskRunnerEvent()    {}
func (taskRunnerTimer) isTaskRunnerEvent() {}

type replyOrder struct {
	call   uint64
	answer event.TaskOrdered
}

type replyPoll struct {
	call   uint64
	answer event.RunnerPolled
}

type taskRunnerSetTimer struct{ at time.Time }

type reportRun struct{ event RunEvent }

func (replyOrder) isTaskRunnerEffect()         {}
func (replyPoll) isTaskRunnerEffect()          {}
func (taskRunnerSetTimer) isTaskRunnerEffect() {}
func (reportRun) isTaskRunnerEffect()          {}

// taskRunnerState is the state of one incarnation of a runner.
type taskRunnerState struct {
	cfg       *TaskRunnerConfig
	startedAt time.Time
	now       time.Time
	fence     int64
	// leaseEnd is the end of the lease of all runs, on the runner's clock in
	// milliseconds.
	leaseEnd int64
	used     fleet.Capacity
	runs     map[fleet.TaskID]*taskRun
	// highestAttempt is the highest attempt of each task that ended or was stopped.
	highestAttempt map[fleet.TaskID]int64
	endedRuns      []endedRun
	// endCount is the number of the newest end.
	endCount int64
	// lastExpiry is the latest time at which the lease expired.
	lastExpiry time.Time
	waiting    []waitingPoll
	out        []taskRunnerEffect
}

type taskRun struct {
	attempt   int64
	plan      TaskPlan
	startedAt time.Time
	// endsAt is when the run ends. It is zero for a long-running task that was not
	// stopped.
	endsAt   time.Time
	stopping bool
}

type endedRun struct {
	fleet.EndedTask
	at time.Time
}

type waitingPoll struct {
	pollReceived
	deadline time.Time
}

func newTaskRunnerState(cfg *TaskRunnerConfig, now time.Time) *taskRunnerState {
	return &taskRunnerState{
		cfg: cfg, startedAt: now, now: now, runs: make(map[fleet.TaskID]*taskRun), highestAttempt: make(map[fleet.TaskID]int64),
	}
}

// reduce applies an event. The returned effects are valid until the next call.
func (s *taskRunnerState) reduce(now time.Time, e taskRunnerEvent) []taskRunnerEffect {
	s.now, s.out = now, s.out[:0]
	if expiry := s.leaseExpiry(); !expiry.After(now) {
		s.lastExpiry = expiry
	}
	s.endDueRuns()
	switch e := e.(type) {
	case orderReceived:
		s.order(e)
	case pollReceived:
		s.poll(e)
	case taskRunnerTimer:
	}
	s.answerPolls()
	s.setTimer()
	return s.out
}

// clock returns the reading of the runner's own clock in milliseconds.
func (s *taskRunnerState) clock() int64 {
	return int64(s.cfg.ClockRate * float64(s.now.Sub(s.startedAt).Milliseconds()))
}

// endDueRuns ends the runs that are due, and all runs when the lease has expired.
func (s *taskRunnerState) endDueRuns() {
	expiry := s.leaseExpiry()
	for _, id := range s.runningTasks() {
		run := s.runs[id]
		at, outcome := run.endsAt, run.outcome()
		if at.IsZero() || expiry.Before(at) {
			at, outcome = expiry, fleet.RunLeaseExpired
		}
		if !at.After(s.now) {
			s.end(id, outcome, at)
		}
	}
}

// outcome returns the outcome of the run when it ends as planned.
func (r *taskRun) outcome() fleet.RunOutcome {
	switch {
	case r.stopping:
		return fleet.RunStopped
	case r.plan.Fails:
		return fleet.RunFailed
	default:
		return fleet.RunDone
	}
}

// leaseExpiry returns the time at which the lease of all runs expires.
func (s *taskRunnerState) leaseExpiry() time.Time {
	return s.startedAt.Add(time.Duration(float64(s.leaseEnd) / s.cfg.ClockRate * float64(time.Millisecond)))
}

func (s *taskRunnerState) runningTasks() []fleet.TaskID {
	ids := make([]fleet.TaskID, 0, len(s.runs))
	for id := range s.runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b fleet.TaskID) int { return cmp.Compare(a.String(), b.String()) })
	return ids
}

func (s *taskRunnerState) end(id fleet.TaskID, outcome fleet.RunOutcome, at time.Time) {
	run := s.runs[id]
	delete(s.runs, id)
	s.used = s.used.Minus(run.plan.Needs)
	s.highestAttempt[id] = max(s.highestAttempt[id], run.attempt)
	s.endCount++
	s.endedRuns = append(s.endedRuns, endedRun{
		EndedTask: fleet.EndedTask{Number: s.endCount, Task: id, Attempt: run.attempt, Outcome: outcome}, at: at,
	})
	s.report(RunEvent{At: at, Task: id, Attempt: run.attempt, Outcome: outcome})
}

func (s *taskRunnerState) report(e RunEvent) {
	e.Runner, e.Incarnation = s.cfg.ID, s.cfg.Incarnation
	s.out = append(s.out, reportRun{event: e})
}

func (s *taskRunnerState) order(e orderReceived) {
	o := &e.order
	answer := event.TaskOrdered{
		Epoch: o.Epoch, Runner: o.Runner, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt, Clock: event.Clock{Reading: s.clock()},
	}
	switch {
	case o.Token < s.fence:
		answer.Outcome = event.OrderFenced
	case o.Kind == effect.OrderStart:
		answer.Outcome = s.start(o)
	case o.Kind == effect.OrderStop:
		answer.Outcome = s.stop(o)
	default:
		answer.Outcome = event.OrderDone // a pace has no effect on a stand-in
	}
	s.fence = max(s.fence, o.Token)
	s.out = append(s.out, replyOrder{call: e.call, answer: answer})
}

func (s *taskRunnerState) start(o *effect.OrderTask) event.OrderOutcome {
	if o.LeaseDeadline <= s.clock() {
		return event.OrderLate
	}
	s.extendLease(o.LeaseDeadline)
	if run, ok := s.runs[o.Task]; ok && run.attempt == o.Attempt {
		return event.OrderDone
	}
	if o.Attempt <= s.highestAttempt[o.Task] {
		return event.OrderSuperseded
	}
	plan := s.cfg.Plan(o.Task)
	if !s.cfg.Capacity.Minus(s.used).Fits(plan.Needs) {
		return event.OrderNoRoom
	}
	s.used = s.used.Plus(plan.Needs)
	run := &taskRun{attempt: o.Attempt, plan: plan, startedAt: s.now}
	if !plan.LongRunning {
		run.endsAt = s.now.Add(plan.Duration)
	}
	s.runs[o.Task] = run
	s.report(RunEvent{At: s.now, Task: o.Task, Attempt: o.Attempt, Started: true})
	return event.OrderDone
}

func (s *taskRunnerState) stop(o *effect.OrderTask) event.OrderOutcome {
	s.highestAttempt[o.Task] = max(s.highestAttempt[o.Task], o.Attempt)
	run, ok := s.runs[o.Task]
	if ok && run.attempt == o.Attempt && !run.stopping {
		run.stopping, run.endsAt = true, s.now.Add(s.cfg.StopDuration)
	}
	return event.OrderDone
}

func (s *taskRunnerState) extendLease(deadline int64) {
	s.leaseEnd = max(s.leaseEnd, min(deadline, s.clock()+maxLeaseMillis))
}

func (s *taskRunnerState) poll(e pollReceived) {
	if e.poll.Token < s.fence {
		s.out = append(s.out, replyPoll{call: e.call, answer: event.RunnerPolled{
			Outcome: event.OrderFenced, Clock: event.Clock{Reading: s.clock()},
		}})
		return
	}
	s.fence = e.poll.Token
	if e.poll.LeaseDeadline > 0 {
		s.extendLease(e.poll.LeaseDeadline)
	}
	s.acknowledge(e.poll.Acknowledged)
	s.waiting = append(s.waiting, waitingPoll{pollReceived: e, deadline: s.now.Add(e.poll.Wait)})
}

func (s *taskRunnerState) acknowledge(acknowledged int64) {
	for len(s.endedRuns) > 0 && s.endedRuns[0].Number <= acknowledged {
		e := s.endedRuns[0]
		s.endedRuns = s.endedRuns[1:]
		s.report(RunEvent{
			At: s.now, Task: e.Task, Attempt: e.Attempt, Outcome: e.Outcome, Acknowledged: true, LeaseExpired: s.lastExpiry.After(e.at),
		})
	}
}

func (s *taskRunnerState) answerPolls() {
	rest := s.waiting[:0]
	for _, w := range s.waiting {
		if len(s.endedRuns) == 0 && s.now.Before(w.deadline) {
			rest = append(rest, w)
			continue
		}
		s.out = append(s.out, replyPoll{call: w.call, answer: s.pollAnswer()})
	}
	s.waiting = rest
}

func (s *taskRunnerState) pollAnswer() event.RunnerPolled {
	out := event.RunnerPolled{
		Outcome: event.OrderDone, Incarnation: s.cfg.Incarnation, Clock: event.Clock{Reading: s.clock()},
	}
	for _, e := range s.endedRuns[:min(len(s.endedRuns), maxListedEnds)] {
		out.Ended = append(out.Ended, e.EndedTask)
	}
	for _, id := range s.runningTasks() {
		run := s.runs[id]
		percent := fullPercent
		if !run.plan.LongRunning && run.plan.Duration > 0 {
			percent = min(fullPercent, int(fullPercent*s.now.Sub(run.startedAt)/run.plan.Duration))
		}
		out.Running = append(out.Running, fleet.RunningTask{Task: id, Attempt: run.attempt, Percent: percent})
	}
	return out
}

// setTimer sets the timer to the next end of a run, of the lease or of a poll's
// wait.
func (s *taskRunnerState) setTimer() {
	var at time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	for _, run := range s.runs {
		earlier(run.endsAt)
	}
	if len(s.runs) > 0 {
		earlier(s.leaseExpiry())
	}
	for _, w := range s.waiting {
		earlier(w.deadline)
	}
	if !at.IsZero() {
		s.out = append(s.out, taskRunnerSetTimer{at: at})
	}
}
