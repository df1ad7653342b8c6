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
	// longestLease is the longest lease in milliseconds that runners give, from
	// the platform's bounds.
	longestLease = 10_000
	// listedEnds is the number of ends that are listed at once.
	listedEnds = 500
	// allDone is the percentage of a task that has come to its end.
	allDone = 100
)

type (
	taskRunnerEvent  interface{ isTaskRunnerEvent() }
	taskRunnerEffect interface{ isTaskRunnerEffect() }
)

type runnerOrdered struct {
	call  uint64
	order effect.OrderTask
}

type runnerLooked struct {
	call uint64
	look effect.PollRunner
}

type taskRunnerTimer struct{}

func (runnerOrdered) isTaskRunnerEvent()   {}
func (runnerLooked) isTaskRunnerEvent()    {}
func (taskRunnerTimer) isTaskRunnerEvent() {}

type replyOrder struct {
	call   uint64
	answer event.TaskOrdered
}

type replyLook struct {
	call   uint64
	answer event.RunnerPolled
}

type taskRunnerSetTimer struct{ at time.Time }

type tellRun struct{ event RunEvent }

func (replyOrder) isTaskRunnerEffect()         {}
func (replyLook) isTaskRunnerEffect()          {}
func (taskRunnerSetTimer) isTaskRunnerEffect() {}
func (tellRun) isTaskRunnerEffect()            {}

// taskRunnerState is one life of a runner.
type taskRunnerState struct {
	cfg   *TaskRunnerConfig
	began time.Time
	now   time.Time
	fence int64
	// until is the end of the lease of all runs, on the runner's clock.
	until int64
	used  fleet.Capacity
	runs  map[fleet.TaskID]*standinRun
	// highest is the highest attempt of a task that ended or was stopped.
	highest map[fleet.TaskID]int64
	ends    []standinEnd
	ended   int64
	// lapsed is when the lease was last seen to be over.
	lapsed  time.Time
	waiting []waitingLook
	out     []taskRunnerEffect
}

type standinRun struct {
	attempt int64
	plan    TaskPlan
	began   time.Time
	// due is when it ends; zero for a lasting task that was not stopped.
	due     time.Time
	stopped bool
}

type standinEnd struct {
	fleet.EndedTask
	at time.Time
}

type waitingLook struct {
	runnerLooked
	until time.Time
}

func newTaskRunnerState(cfg *TaskRunnerConfig, now time.Time) *taskRunnerState {
	return &taskRunnerState{
		cfg: cfg, began: now, now: now, runs: make(map[fleet.TaskID]*standinRun), highest: make(map[fleet.TaskID]int64),
	}
}

// reduce folds one event. The effects are valid until the next call.
func (s *taskRunnerState) reduce(now time.Time, e taskRunnerEvent) []taskRunnerEffect {
	s.now, s.out = now, s.out[:0]
	if lapse := s.lapse(); !lapse.After(now) {
		s.lapsed = lapse
	}
	s.endDue()
	switch e := e.(type) {
	case runnerOrdered:
		s.order(e)
	case runnerLooked:
		s.look(e)
	case taskRunnerTimer:
	}
	s.answerWaiting()
	s.setTimer()
	return s.out
}

// clock is the runner's own clock in milliseconds.
func (s *taskRunnerState) clock() int64 {
	return int64(s.cfg.ClockRate * float64(s.now.Sub(s.began).Milliseconds()))
}

// endDue ends the runs whose time is over, and all when the lease is.
func (s *taskRunnerState) endDue() {
	lapse := s.lapse()
	for _, id := range s.running() {
		run := s.runs[id]
		at, how := run.due, run.ends()
		if at.IsZero() || lapse.Before(at) {
			at, how = lapse, fleet.RunLeaseExpired
		}
		if !at.After(s.now) {
			s.end(id, how, at)
		}
	}
}

// ends returns how a run ends when it is due.
func (r *standinRun) ends() fleet.RunOutcome {
	switch {
	case r.stopped:
		return fleet.RunStopped
	case r.plan.Fails:
		return fleet.RunFailed
	default:
		return fleet.RunDone
	}
}

// lapse returns when the lease of all runs is over.
func (s *taskRunnerState) lapse() time.Time {
	return s.began.Add(time.Duration(float64(s.until) / s.cfg.ClockRate * float64(time.Millisecond)))
}

func (s *taskRunnerState) running() []fleet.TaskID {
	ids := make([]fleet.TaskID, 0, len(s.runs))
	for id := range s.runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b fleet.TaskID) int { return cmp.Compare(a.String(), b.String()) })
	return ids
}

func (s *taskRunnerState) end(id fleet.TaskID, how fleet.RunOutcome, at time.Time) {
	run := s.runs[id]
	delete(s.runs, id)
	s.used = s.used.Minus(run.plan.Needs)
	s.highest[id] = max(s.highest[id], run.attempt)
	s.ended++
	s.ends = append(s.ends, standinEnd{
		EndedTask: fleet.EndedTask{Number: s.ended, Task: id, Attempt: run.attempt, Outcome: how}, at: at,
	})
	s.tell(RunEvent{At: at, Task: id, Attempt: run.attempt, Outcome: how})
}

func (s *taskRunnerState) tell(e RunEvent) {
	e.Runner, e.Incarnation = s.cfg.ID, s.cfg.Incarnation
	s.out = append(s.out, tellRun{event: e})
}

func (s *taskRunnerState) order(e runnerOrdered) {
	o := &e.order
	answer := event.TaskOrdered{
		Epoch: o.Epoch, Runner: o.Runner, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt, Clock: event.Clock{Reading: s.clock()},
	}
	switch {
	case o.Epoch < s.fence:
		answer.Outcome = event.OrderFenced
	case o.Kind == effect.OrderStart:
		answer.Outcome = s.start(o)
	case o.Kind == effect.OrderStop:
		answer.Outcome = s.stop(o)
	default:
		answer.Outcome = event.OrderDone // a pace changes nothing that is watched
	}
	s.fence = max(s.fence, o.Epoch)
	s.out = append(s.out, replyOrder{call: e.call, answer: answer})
}

func (s *taskRunnerState) start(o *effect.OrderTask) event.OrderOutcome {
	if o.LeaseDeadline <= s.clock() {
		return event.OrderLate
	}
	s.extend(o.LeaseDeadline)
	if run, ok := s.runs[o.Task]; ok && run.attempt == o.Attempt {
		return event.OrderDone
	}
	if o.Attempt <= s.highest[o.Task] {
		return event.OrderSuperseded
	}
	plan := s.cfg.Plan(o.Task)
	if !s.cfg.Capacity.Minus(s.used).Fits(plan.Needs) {
		return event.OrderNoRoom
	}
	s.used = s.used.Plus(plan.Needs)
	run := &standinRun{attempt: o.Attempt, plan: plan, began: s.now}
	if !plan.LongRunning {
		run.due = s.now.Add(plan.Duration)
	}
	s.runs[o.Task] = run
	s.tell(RunEvent{At: s.now, Task: o.Task, Attempt: o.Attempt, Started: true})
	return event.OrderDone
}

func (s *taskRunnerState) stop(o *effect.OrderTask) event.OrderOutcome {
	s.highest[o.Task] = max(s.highest[o.Task], o.Attempt)
	run, ok := s.runs[o.Task]
	if ok && run.attempt == o.Attempt && !run.stopped {
		run.stopped, run.due = true, s.now.Add(s.cfg.StopDuration)
	}
	return event.OrderDone
}

func (s *taskRunnerState) extend(deadline int64) {
	s.until = max(s.until, min(deadline, s.clock()+longestLease))
}

func (s *taskRunnerState) look(e runnerLooked) {
	if e.look.Epoch < s.fence {
		s.out = append(s.out, replyLook{call: e.call, answer: event.RunnerPolled{
			Outcome: event.OrderFenced, Clock: event.Clock{Reading: s.clock()},
		}})
		return
	}
	s.fence = e.look.Epoch
	if e.look.LeaseDeadline > 0 {
		s.extend(e.look.LeaseDeadline)
	}
	s.forget(e.look.Acknowledged)
	s.waiting = append(s.waiting, waitingLook{runnerLooked: e, until: s.now.Add(e.look.Wait)})
}

func (s *taskRunnerState) forget(acknowledged int64) {
	for len(s.ends) > 0 && s.ends[0].Number <= acknowledged {
		e := s.ends[0]
		s.ends = s.ends[1:]
		s.tell(RunEvent{
			At: s.now, Task: e.Task, Attempt: e.Attempt, Outcome: e.Outcome, Acknowledged: true, LeaseExpired: s.lapsed.After(e.at),
		})
	}
}

func (s *taskRunnerState) answerWaiting() {
	rest := s.waiting[:0]
	for _, w := range s.waiting {
		if len(s.ends) == 0 && s.now.Before(w.until) {
			rest = append(rest, w)
			continue
		}
		s.out = append(s.out, replyLook{call: w.call, answer: s.lists()})
	}
	s.waiting = rest
}

func (s *taskRunnerState) lists() event.RunnerPolled {
	out := event.RunnerPolled{
		Outcome: event.OrderDone, Incarnation: s.cfg.Incarnation, Clock: event.Clock{Reading: s.clock()},
	}
	for _, e := range s.ends[:min(len(s.ends), listedEnds)] {
		out.Ended = append(out.Ended, e.EndedTask)
	}
	for _, id := range s.running() {
		run := s.runs[id]
		percent := allDone
		if !run.plan.LongRunning && run.plan.Duration > 0 {
			percent = min(allDone, int(allDone*s.now.Sub(run.began)/run.plan.Duration))
		}
		out.Running = append(out.Running, fleet.RunningTask{Task: id, Attempt: run.attempt, Percent: percent})
	}
	return out
}

// setTimer asks to be woken for the next end, lapse or answer.
func (s *taskRunnerState) setTimer() {
	var at time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	for _, run := range s.runs {
		earlier(run.due)
	}
	if len(s.runs) > 0 {
		earlier(s.lapse())
	}
	for _, w := range s.waiting {
		earlier(w.until)
	}
	if !at.IsZero() {
		s.out = append(s.out, taskRunnerSetTimer{at: at})
	}
}
