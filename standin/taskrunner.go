package standin

import (
	"context"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// TaskRunnerConfig configures a stand-in runner.
type TaskRunnerConfig struct {
	ID          fleet.RunnerID
	Incarnation fleet.Incarnation
	Capacity    fleet.Capacity
	// ClockRate is the speed of the runner's clock relative to Clock. Zero means 1.
	ClockRate float64
	// StopDuration is the time that a task takes to stop.
	StopDuration time.Duration
	// Plan returns the behaviour of a task. It must not block.
	Plan func(fleet.TaskID) TaskPlan
	// OnRunEvent, if not nil, is called with each event of a run. It must not block.
	OnRunEvent func(RunEvent)
	// Clock is the source of time.
	Clock loop.Clock
}

// TaskPlan is the behaviour of a task.
type TaskPlan struct {
	Needs fleet.Capacity
	// Duration is the time that the task runs. A LongRunning task runs until it is
	// stopped.
	Duration    time.Duration
	LongRunning bool
	// Fails makes the run end with fleet.RunFailed.
	Fails bool
}

// RunEvent is a start or an end of a run, or the acknowledgement of its end.
type RunEvent struct {
	// At is the time of the event by the stand-in's clock. It may be earlier than
	// the call of OnRunEvent.
	At          time.Time
	Runner      fleet.RunnerID
	Incarnation fleet.Incarnation
	Task        fleet.TaskID
	Attempt     int64
	// Started is set for a start. Otherwise Outcome says how the run ended.
	Started bool
	Outcome fleet.RunOutcome
	// Acknowledged is set when the owner has acknowledged the end of the run.
	Acknowledged bool
	// LeaseExpired is set together with Acknowledged if the lease expired between
	// the end and its acknowledgement.
	LeaseExpired bool
}

// TaskRunner is a stand-in for a runner of tasks, with the contract that package
// jobs relies on: fencing tokens, leases on the runner's own clock, numbered ends
// that are listed until they are acknowledged, and idempotent starts.
type TaskRunner struct {
	cfg    TaskRunnerConfig
	loop   *loop.Loop[taskRunnerEvent, taskRunnerEffect]
	orders *loop.Calls[event.TaskOrdered]
	polls  *loop.Calls[event.RunnerPolled]
}

// NewTaskRunner returns a runner that processes nothing until Run is called.
func NewTaskRunner(cfg TaskRunnerConfig) *TaskRunner {
	r := &TaskRunner{cfg: cfg, orders: loop.NewCalls[event.TaskOrdered](), polls: loop.NewCalls[event.RunnerPolled]()}
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

// Run processes events until the context ends. All running tasks end with it,
// without an event.
func (r *TaskRunner) Run(ctx context.Context) { r.loop.Run(ctx) }

// Order executes an order. The outcome is event.OrderUnknown once the runner has
// ended.
func (r *TaskRunner) Order(ctx context.Context, o effect.OrderTask) event.TaskOrdered {
	out, err := r.orders.Do(ctx, func(call uint64) error { return r.loop.Post(orderReceived{call: call, order: o}) })
	if err != nil {
		return event.TaskOrdered{Outcome: event.OrderUnknown, Reason: err.Error()}
	}
	return out
}

// Poll is a long poll. It returns at once if the runner has unacknowledged ends,
// otherwise at the next end or when the poll's Wait is over.
func (r *TaskRunner) Poll(ctx context.Context, p effect.PollRunner) event.RunnerPolled {
	out, err := r.polls.Do(ctx, func(call uint64) error { return r.loop.Post(pollReceived{call: call, poll: p}) })
	if err != nil {
		return event.RunnerPolled{Outcome: event.OrderUnknown, Reason: err.Error()}
	}
	return out
}

func (r *TaskRunner) act(e taskRunnerEffect) {
	switch e := e.(type) {
	case replyOrder:
		r.orders.Resolve(e.call, e.answer)
	case replyPoll:
		r.polls.Resolve(e.call, e.answer)
	case reportRun:
		if r.cfg.OnRunEvent != nil {
			r.cfg.OnRunEvent(e.event)
		}
	}
}
