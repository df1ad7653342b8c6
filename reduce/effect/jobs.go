package effect

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/banyanrail/banyanrail/reduce/tenure"
)

// AppendOutcome says how an append ended.
type AppendOutcome uint8

// Outcomes of an append.
const (
	AppendDone AppendOutcome = iota + 1
	// AppendConflict means that the log has another end; nothing was appended.
	AppendConflict
	// AppendFenced means that a higher epoch writes; nothing was appended.
	AppendFenced
	// AppendOutOfSequence means that the store expects another sequence number.
	AppendOutOfSequence
	// AppendRefused means that nothing was done and a later try may succeed.
	AppendRefused
	// AppendUnknown means that it may have been done, or will be.
	AppendUnknown
	// AppendStale means that it was not sent, since its time had passed.
	AppendStale
)

// FollowStore asks to follow the tenure log and the operators' records.
type FollowStore struct{}

// AppendTenure appends a record to the tenure log if it ends at an offset.
type AppendTenure struct {
	Record tenure.Record
	At     fleet.Offset
	// SendDeadline is the time after which it must not be sent.
	SendDeadline time.Time
}

// FenceLedger keeps lower epochs from writing to the ledger.
type FenceLedger struct{ Epoch int64 }

// LoadLedger reads the newest state of all jobs.
type LoadLedger struct{ Epoch int64 }

// AppendLedger appends a group of records, all or nothing.
type AppendLedger struct {
	Epoch    int64
	Sequence int64
	Records  []ledger.Record
	// Delay is the pause before it is sent.
	Delay time.Duration
	// Timeout is how long its answer is waited for.
	Timeout time.Duration
}

// DispatchFor offers this entry to an owner as a dispatcher, in place of the
// owner before; an empty address offers it to none.
type DispatchFor struct {
	Epoch   int64
	Address string
}

// FollowRunners asks to follow the list of runners for a tenure; epoch 0 ends
// the following.
type FollowRunners struct{ Epoch int64 }

// CallKind is what a client asks.
type CallKind uint8

// Kinds of clients' calls.
const (
	CallSubmit CallKind = iota + 1
	CallState
	CallCancel
	CallWaiting
)

// AnswerKind is how a client's call was settled.
type AnswerKind uint8

// Kinds of answers.
const (
	// AnswerAccepted means that the job is stored.
	AnswerAccepted AnswerKind = iota + 1
	// AnswerState carries the state of a job.
	AnswerState
	// AnswerCancelled means that the job is cancelled, or had ended.
	AnswerCancelled
	// AnswerWaiting carries the number of waiting jobs.
	AnswerWaiting
	// AnswerNoQueue means that no such queue exists.
	AnswerNoQueue
	// AnswerNoJob means that no such job exists.
	AnswerNoJob
	// AnswerRefused means that nothing was done, for good.
	AnswerRefused
	// AnswerUnknown means that the call may have been carried out.
	AnswerUnknown
	// AnswerInvalid means that the call could not be read.
	AnswerInvalid
	// AnswerNotOwner tells a peer to look for the owner again; nothing was
	// done.
	AnswerNotOwner
)

// CallAnswer is the answer to a client's call.
type CallAnswer struct {
	Kind    AnswerKind
	State   fleet.JobState
	Waiting int
	// RetryAfter is set with AnswerRefused.
	RetryAfter time.Duration
	Reason     Reason
}

// ReplyCall hands an answer to a client, or to the entry that forwarded the call.
type ReplyCall struct {
	Call   uint64
	Answer CallAnswer
}

// Forward sends a call to the owner.
type Forward struct {
	Call    uint64
	Address string
	Kind    CallKind
	Queue   fleet.QueueName
	Version int64
	Job     fleet.JobID
	Spec    *fleet.JobSpec
	Timeout time.Duration
}

// OrderKind is an order about a task.
type OrderKind uint8

// Kinds of orders.
const (
	OrderStart OrderKind = iota + 1
	OrderStop
	OrderPace
)

// OrderTask orders a runner to do something with a task.
type OrderTask struct {
	Epoch   int64
	Kind    OrderKind
	Runner  fleet.RunnerID
	Address string
	Task    fleet.TaskID
	Attempt int64
	// Text, Deadline, Saved and Ticket go with a start. The deadline is in
	// milliseconds of the runner's clock.
	Text          string
	LeaseDeadline int64
	Checkpoint    string
	Ticket        string
	// Percent goes with a pace.
	Percent int
	// Dispatcher is the dispatcher that carries it out; zero means this entry.
	Dispatcher uint64
	// SendDeadline is the time after which the order must not be sent.
	SendDeadline time.Time
}

// PollRunner extends the lease of all that a runner runs and asks what that is.
type PollRunner struct {
	Epoch   int64
	Runner  fleet.RunnerID
	Address string
	Number  uint64
	// LeaseDeadline is in milliseconds of the runner's clock; zero extends nothing.
	LeaseDeadline int64
	// Acknowledged is the number of the last end that is stored.
	Acknowledged int64
	// Wait is how long the runner may wait for an end.
	Wait         time.Duration
	SendDeadline time.Time
	// Dispatcher is the dispatcher that carries it out; zero means this entry.
	Dispatcher uint64
}

// InstanceOrderKind is an order about an instance.
type InstanceOrderKind uint8

// Kinds of orders about instances.
const (
	InstanceMove InstanceOrderKind = iota + 1
	InstanceMaintain
)

// InstanceOutcome says how an order about an instance ended.
type InstanceOutcome uint8

// Outcomes of orders about instances.
const (
	InstanceOrderDone InstanceOutcome = iota + 1
	// InstanceFenced means that a higher fence was used for the instance.
	InstanceFenced
	// InstanceBusy means that the instance is not up.
	InstanceBusy
	// InstanceNotInWave means that the wave does not name the instance.
	InstanceNotInWave
	// InstanceInvalid means that there is no such instance or pool.
	InstanceInvalid
	// InstanceRefused means that nothing was done and a later try may succeed.
	InstanceRefused
	// InstanceUnknown means that it may have been done.
	InstanceUnknown
)

// ListInstances reads the platform's list of instances.
type ListInstances struct{ Epoch int64 }

// OrderInstance moves an instance to a pool or starts its maintenance.
type OrderInstance struct {
	Epoch        int64
	Kind         InstanceOrderKind
	Instance     fleet.InstanceID
	Pool         fleet.PoolName
	Wave         int64
	SendDeadline time.Time
}

// RequestAdvice asks which runners may run a step.
type RequestAdvice struct {
	Epoch   int64
	Job     fleet.JobID
	Step    string
	Runners []fleet.RunnerID
}

// WriteWaveStatus publishes how far a wave is.
type WriteWaveStatus struct {
	Epoch int64
	Wave  int64
	Done  bool
}

// JobsHandedOver means that the tenure was given up and the process may end.
type JobsHandedOver struct{}

// Reason is why a decision was taken.
type Reason string

// Decision is a line of the log: a decision with the inputs that it was taken
// on. Zero fields are left out.
type Decision struct {
	// Name is what was decided.
	Name    string
	Warning bool
	Job     fleet.JobID
	Task    string
	Queue   fleet.QueueName
	Runner  fleet.RunnerID
	Entry   fleet.EntryID
	Attempt int64
	Epoch   int64
	// Version is that of the configuration, or the number of the wave.
	Version int64
	Outcome string
	Reason  Reason
	// Age is that of the belief that decided.
	Age time.Duration
	// Count is how many things the decision is about.
	Count int
}

// CountJob adds to a counter of the job side.
type CountJob struct {
	Name   string
	Reason Reason
	N      int64
}

// Observe adds to a latency histogram of the job side.
type Observe struct {
	Name     string
	Duration time.Duration
}

func (FollowStore) isEffect()     {}
func (AppendTenure) isEffect()    {}
func (FenceLedger) isEffect()     {}
func (LoadLedger) isEffect()      {}
func (AppendLedger) isEffect()    {}
func (FollowRunners) isEffect()   {}
func (DispatchFor) isEffect()     {}
func (ReplyCall) isEffect()       {}
func (Forward) isEffect()         {}
func (OrderTask) isEffect()       {}
func (PollRunner) isEffect()      {}
func (ListInstances) isEffect()   {}
func (OrderInstance) isEffect()   {}
func (RequestAdvice) isEffect()   {}
func (WriteWaveStatus) isEffect() {}
func (JobsHandedOver) isEffect()  {}
func (Decision) isEffect()        {}
func (CountJob) isEffect()        {}
func (Observe) isEffect()         {}
