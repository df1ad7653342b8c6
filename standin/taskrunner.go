package standin

import (
	"context"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// TaskRunnerConfig says what a stand-in runner is like.
type TaskRunnerConfig struct {
	ID          fleet.RunnerID
	Incarnation fleet.Incarnation
	Capacity    fleet.Capacity
	// ClockRate is how fast its clock goes; zero means 1.
	ClockRate float64
	// StopDuration is how long a stop takes.
	StopDuration time.Duration
	// Plan tells what a task will do. It must not block.
	Plan func(fleet.TaskID) TaskPlan
	// OnRunEvent, if not nil, is told all that runs. It must not block.
	OnRunEvent func(RunEvent)
	// Clock tells the time.
	Clock loop.Clock
}

// TaskPlan is what a task does once it runs.
type TaskPlan struct {
	Needs fleet.Capacity
	// Duration is how long it runs; a lasting task runs until it is stopped.
	Duration    time.Duration
	LongRunning bool
	// Fails makes it end as failed.
	Fails bool
}

// RunEvent is something that happened to a run.
type RunEvent struct {
	// At is when it happened by the stand-in's clock, which may be earlier than
	// it is told.
	At          time.Time
	Runner      fleet.RunnerID
	Incarnation fleet.Incarnation
	Task        fleet.TaskID
	Attempt     int64
	// Started is set for a start, else How tells how the run ended.
	Started bool
	Outcome fleet.RunOutcome
	// Acknowledged is set when the owner lets the runner forget the end.
	Acknowledged bool
	// LeaseExpired goes with Noted: the lease was over at some time since the end.
	LeaseExpired bool
}

// TaskRunner stands in for a runner of tasks, by the contract that package jobs relies on:
// fences, leases on its own clock, numbered ends that are listed until they are
// acknowledged, and starts that may be repeated.
type TaskRunner struct {
	cfg    TaskRunnerConfig
	loop   *loop.Loop[taskRunnerEvent, taskRunnerEffect]
	orders *loop.Calls[event.TaskOrdered]
	looks  *loop.Calls[event.RunnerPolled]
}

// NewTaskRunner returns a runner that does nothing until Run.
func NewTaskRunner(cfg TaskRunnerConfig) *TaskRunner {
	r := &TaskRunner{cfg: cfg, orders: loop.NewCalls[event.TaskOrdered](), looks: loop.NewCalls[event.RunnerPolled]()}
	if cfg.ClockRate == 0 {
		cfg.ClockRate = 1
	}
	state := newTaskRunnerState(&cfg, cfg.Clock())
	r.loop = loop.New(loop.Config[taskRunnerEvent, taskRunnerEffect]{
		Reduce: state.reduce,
		Act:    r.act,
		Timer: func(e taskRunnerEffect) (time.Time, bool) {
			t, ok := e.(taskRunnerSetTimer)
			return t.at, ok
		},
		Wake:  taskRunnerTimer{},
		Clock: cfg.Clock,
	})
	return r
}

// Run works until the context ends, and everything that runs is gone with it.
func (r *TaskRunner) Run(ctx context.Context) { r.loop.Run(ctx) }

// Order carries out an order. Its outcome is unknown once the runner has ended.
func (r *TaskRunner) Order(ctx context.Context, o effect.OrderTask) event.TaskOrdered {
	out, err := r.orders.Do(ctx, func(call uint64) error { return r.loop.Post(runnerOrdered{call: call, order: o}) })
	if err != nil {
		return event.TaskOrdered{Outcome: event.OrderUnknown, Reason: err.Error()}
	}
	return out
}

// Poll answers at once if there is an end to tell, else when one comes or the
// look's wait is over.
func (r *TaskRunner) Poll(ctx context.Context, l effect.PollRunner) event.RunnerPolled {
	out, err := r.looks.Do(ctx, func(call uint64) error { return r.loop.Post(runnerLooked{call: call, look: l}) })
	if err != nil {
		return event.RunnerPolled{Outcome: event.OrderUnknown, Reason: err.Error()}
	}
	return out
}

func (r *TaskRunner) act(e taskRunnerEffect) {
	switch e := e.(type) {
	case replyOrder:
		r.orders.Resolve(e.call, e.answer)
	case replyLook:
		r.looks.Resolve(e.call, e.answer)
	case tellRun:
		if r.cfg.OnRunEvent != nil {
			r.cfg.OnRunEvent(e.event)
		}
	}
}
