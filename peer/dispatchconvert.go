package peer

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/peer/peerpb"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

func encodeOrder(o *effect.OrderTask) *peerpb.RunnerCall {
	return &peerpb.RunnerCall{
		Epoch: o.Token, Runner: string(o.Runner), Address: o.Address, Deadline: o.LeaseDeadline,
		Call: &peerpb.RunnerCall_Order{Order: &peerpb.TaskOrder{
			Kind: uint32(o.Kind), Task: encodeTask(o.Task), Attempt: o.Attempt, Text: o.Text, Saved: o.Checkpoint, Ticket: o.Ticket,
			Percent: int64(o.Percent),
		}},
	}
}

func encodePoll(l *effect.PollRunner) *peerpb.RunnerCall {
	return &peerpb.RunnerCall{
		Epoch: l.Token, Runner: string(l.Runner), Address: l.Address, Deadline: l.LeaseDeadline,
		Call: &peerpb.RunnerCall_Look{Look: &peerpb.RunnerLook{Acknowledged: l.Acknowledged, WaitMs: l.Wait.Milliseconds()}},
	}
}

func decodeOrder(c *peerpb.RunnerCall, o *peerpb.TaskOrder, sendDeadline time.Time) effect.OrderTask {
	return effect.OrderTask{
		Token: c.GetEpoch(), Runner: fleet.RunnerID(c.GetRunner()), Address: c.GetAddress(), LeaseDeadline: c.GetDeadline(),
		Kind: effect.OrderKind(o.GetKind()), Task: decodeTask(o.GetTask()), Attempt: o.GetAttempt(), Text: o.GetText(),
		Checkpoint: o.GetSaved(), Ticket: o.GetTicket(), Percent: int(o.GetPercent()), SendDeadline: sendDeadline,
	}
}

func decodePoll(c *peerpb.RunnerCall, l *peerpb.RunnerLook, sendDeadline time.Time) effect.PollRunner {
	return effect.PollRunner{
		Token: c.GetEpoch(), Runner: fleet.RunnerID(c.GetRunner()), Address: c.GetAddress(), LeaseDeadline: c.GetDeadline(),
		Acknowledged: l.GetAcknowledged(), Wait: fleet.Milliseconds(l.GetWaitMs()), SendDeadline: sendDeadline,
	}
}

func encodeTask(t fleet.TaskID) *peerpb.TaskName {
	return &peerpb.TaskName{Job: string(t.Job), Occurrence: int64(t.Occurrence), Step: int64(t.Step), Index: int64(t.Index)}
}

func decodeTask(t *peerpb.TaskName) fleet.TaskID {
	return fleet.TaskID{
		Job: fleet.JobID(t.GetJob()), Occurrence: int(t.GetOccurrence()), Step: int(t.GetStep()), Index: int(t.GetIndex()),
	}
}

func encodeOrderResult(b *event.TaskOrdered) *peerpb.RunnerResult {
	return &peerpb.RunnerResult{Outcome: uint32(b.Outcome), Reason: b.Reason, Clock: b.Clock.Reading}
}

func encodePollResult(b *event.RunnerPolled) *peerpb.RunnerResult {
	r := &peerpb.RunnerResult{
		Outcome: uint32(b.Outcome), Reason: b.Reason, Clock: b.Clock.Reading, Incarnated: int64(b.Incarnation),
		Running: make([]*peerpb.RunningTask, 0, len(b.Running)), Ended: make([]*peerpb.EndedTask, 0, len(b.Ended)),
	}
	for _, t := range b.Running {
		r.Running = append(r.Running, &peerpb.RunningTask{
			Task: encodeTask(t.Task), Attempt: t.Attempt, Saved: t.Checkpoint, Percent: int64(t.Percent), Load: t.Load,
		})
	}
	for _, t := range b.Ended {
		r.Ended = append(r.Ended, &peerpb.EndedTask{
			Number: t.Number, Task: encodeTask(t.Task), Attempt: t.Attempt, How: string(t.Outcome), Saved: t.Checkpoint,
		})
	}
	return r
}

// decodeOrderResult returns the event with the result of an order. An outcome
// that this version does not define becomes event.OrderUnknown.
func decodeOrderResult(o *effect.OrderTask, r *peerpb.RunnerResult, clock event.Clock) event.TaskOrdered {
	return event.TaskOrdered{
		Epoch: o.Epoch, Token: o.Token, Runner: o.Runner, Incarnation: o.Incarnation, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt, Outcome: decodeOutcome(r),
		Clock: clock, Reason: r.GetReason(),
	}
}

func decodePollResult(l *effect.PollRunner, r *peerpb.RunnerResult, clock event.Clock) event.RunnerPolled {
	b := event.RunnerPolled{
		Epoch: l.Epoch, Runner: l.Runner, Number: l.Number, Outcome: decodeOutcome(r),
		Incarnation: fleet.Incarnation(r.GetIncarnated()), Clock: clock, Reason: r.GetReason(),
		Running: make([]fleet.RunningTask, 0, len(r.GetRunning())), Ended: make([]fleet.EndedTask, 0, len(r.GetEnded())),
	}
	for _, t := range r.GetRunning() {
		b.Running = append(b.Running, fleet.RunningTask{
			Task: decodeTask(t.GetTask()), Attempt: t.GetAttempt(), Checkpoint: t.GetSaved(), Percent: int(t.GetPercent()), Load: t.GetLoad(),
		})
	}
	for _, t := range r.GetEnded() {
		b.Ended = append(b.Ended, fleet.EndedTask{
			Number: t.GetNumber(), Task: decodeTask(t.GetTask()), Attempt: t.GetAttempt(), Outcome: fleet.RunOutcome(t.GetHow()), Checkpoint: t.GetSaved(),
		})
	}
	return b
}

func decodeOutcome(r *peerpb.RunnerResult) event.OrderOutcome {
	outcome := event.OrderOutcome(r.GetOutcome())
	if outcome < event.OrderDone || outcome > event.OrderNotSent {
		return event.OrderUnknown
	}
	return outcome
}
