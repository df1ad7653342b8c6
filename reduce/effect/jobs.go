package effect

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/banyanrail/banyanrail/reduce/tenure"
)

// AppendOutcome says how an append to the store ended.
type AppendOutcome uint8

// Outcomes of an append.
const (
	AppendDone AppendOutcome = iota + 1
	// AppendConflict means that the log does not end at the expected offset;
	// nothing was appended.
	AppendConflict
	// AppendFenced means that a writer with a higher epoch has written; nothing
	// was appended.
	AppendFenced
	// AppendOutOfSequence means that the store expects another sequence number;
	// nothing was appended.
	AppendOutOfSequence
	// AppendRefused means that nothing was appended and a retry may succeed.
	AppendRefused
	// AppendRejected means that nothing was appended and no retry of the same records
	// will succeed.
	AppendRejected
	// AppendUnknown means that the records may have been appended, or may still
	// be.
	AppendUnknown
	// AppendStale means that the append was not sent, because its SendDeadline had
	// passed.
	AppendStale
)

// FollowStore starts reading the tenure log and the operators' records
// continuously.
type FollowStore struct{}

// ReadTenure makes the next read of the tenure log begin at once.
type ReadTenure struct{}

// AppendTenure appends a record to the tenure log if it ends at an offset.
type AppendTenure struct {
	Record tenure.Record
	At     fleet.Offset
	// SendDeadline is the time after which the append must not be sent.
	SendDeadline time.Time
}

// FenceLedger makes the store refuse writes to the ledger by lower epochs.
type FenceLedger struct{ Epoch int64 }

// LoadLedger reads the newest state of all jobs from the ledger.
type LoadLedger struct{ Epoch int64 }

// AppendLedger appends a group of records to the ledger atomically.
type AppendLedger struct {
	Epoch    int64
	Sequence int64
	Records  []ledger.Record
	// Delay is the time to wait before the append is sent.
	Delay time.Duration
	// Timeout is how long to wait for the store's answer.
	Timeout time.Duration
}

// DispatchFor offers this entry as a dispatcher to the owner at an address, and
// withdraws the offer to an earlier owner. An empty address only withdraws it.
type DispatchFor struct {
	Epoch   int64
	Address string
}

// FollowRunners starts reading the list of runners continuously for a tenure;
// epoch 0 stops it.
type FollowRunners struct{ Epoch int64 }

// CallKind is the operation that a client requests.
type CallKind uint8

// Kinds of clients' calls.
const (
	CallSubmit CallKind = iota + 1
	CallState
	CallCancel
	CallWaiting
)

// AnswerKind is the outcome of a client's call.
type AnswerKind uint8

// Kinds of answers.
const (
	// AnswerAccepted means that the job is stored.
	AnswerAccepted AnswerKind = iota + 1
	// AnswerState carries the state of a job.
	AnswerState
	// AnswerCancelled means that the job is cancelled, or had ended before.
	AnswerCancelled
	// AnswerWaiting carries the number of waiting jobs.
	AnswerWaiting
	// AnswerNoQueue means that no such queue exists.
	AnswerNoQueue
	// AnswerNoJob means that no such job exists.
	AnswerNoJob
	// AnswerRefused means that the call was not carried out and never will be.
	AnswerRefused
	// AnswerUnknown means that the call may have been carried out.
	AnswerUnknown
	// AnswerInvalid means that the call could not be parsed.
	AnswerInvalid
	// AnswerNotOwner means that the entry does not own the jobs and did nothing.
	// The peer that forwarded the call has to determine the owner again.
	AnswerNotOwner
	// AnswerUnauthorized means that the call's key identifies no tenant.
	AnswerUnauthorized
)

// CallAnswer is the answer to a client's call.
type CallAnswer struct {
	Kind    AnswerKind
	State   fleet.JobState
	Waiting int
	// RetryAfter is set with AnswerRefused.
	RetryAfter time.Duration
	Reason     Reason
	// Delay is how long calls wait for their turn at the owner, in its answers to
	// forwarded calls.
	Delay time.Duration
}

// ReplyCall sends an answer to a client, or to the entry that forwarded the call.
type ReplyCall struct {
	Call   uint64
	Answer CallAnswer
}

// Forward forwards a client's call to the owner.
type Forward struct {
	Call    uint64
	Address string
	Kind    CallKind
	Queue   fleet.QueueName
	Version int64
	Job     fleet.JobID
	Spec    *fleet.JobSpec
	// Host and Path are those of the client's call if Queue is empty: this entry cannot
	// tell whether the queue exists.
	Host, Path string
	// Key is the caller's API key. Verified is set when this entry has checked it, with
	// Tenant as the result.
	Key      string
	Verified bool
	Tenant   fleet.TenantName
	Timeout  time.Duration
}

// OrderKind is the kind of an order about a task.
type OrderKind uint8

// Kinds of orders.
const (
	OrderStart OrderKind = iota + 1
	OrderStop
	OrderPace
)

// OrderTask sends an order about a task to a runner.
type OrderTask struct {
	Epoch int64
	// Token is the fencing token of the order.
	Token  int64
	Kind   OrderKind
	Runner fleet.RunnerID
	// Incarnation is the incarnation of the runner that the order was decided for.
	Incarnation fleet.Incarnation
	Address     string
	Task        fleet.TaskID
	Attempt     int64
	// Text, LeaseDeadline, Checkpoint and Ticket are set for OrderStart. The
	// deadline is on the runner's clock, in milliseconds.
	Text          string
	LeaseDeadline int64
	Checkpoint    string
	Ticket        string
	// Percent is set for OrderPace.
	Percent int
	// Dispatcher is the dispatcher that sends the order; zero means this entry.
	Dispatcher uint64
	// SendDeadline is the time after which the order must not be sent.
	SendDeadline time.Time
}

// PollRunner extends the leases of all tasks that a runner runs, and fetches its
// running and ended tasks by a long poll.
type PollRunner struct {
	Epoch int64
	// Token is the fencing token of the poll.
	Token   int64
	Runner  fleet.RunnerID
	Address string
	Number  uint64
	// LeaseDeadline is on the runner's clock, in milliseconds; zero extends no
	// lease.
	LeaseDeadline int64
	// Acknowledged is the number of the last ended run that is stored. The runner
	// stops reporting ended runs up to this number.
	Acknowledged int64
	// Wait is how long the runner may hold back its answer until a run ends.
	Wait         time.Duration
	SendDeadline time.Time
	// Dispatcher is the dispatcher that sends the poll; zero means this entry.
	Dispatcher uint64
}

// CloseRunnerConnections closes the connections to runners that no call uses, now and as calls end,
// until the next call. A runner accepts a limited number of connections from all entries.
type CloseRunnerConnections struct{}

// InstanceOrderKind is the kind of an order about an instance.
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
	// InstanceFenced means that a higher fencing token was used for the instance.
	InstanceFenced
	// InstanceBusy means that the instance is not up.
	InstanceBusy
	// InstanceNotInWave means that the wave does not name the instance.
	InstanceNotInWave
	// InstanceInvalid means that there is no such instance or pool.
	InstanceInvalid
	// InstanceRefused means that nothing was done and a retry may succeed.
	InstanceRefused
	// InstanceUnknown means that the order may have been carried out.
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

// RequestAdvice asks the advice service which of the runners may run a step.
type RequestAdvice struct {
	Epoch   int64
	Job     fleet.JobID
	Step    string
	Runners []fleet.RunnerID
}

// WriteWaveStatus publishes the status of a maintenance wave.
type WriteWaveStatus struct {
	Epoch int64
	Wave  int64
	Done  bool
}

// JobsHandedOver reports that a stopping entry no longer owns the jobs, so that its
// process may end.
type JobsHandedOver struct{}

// Reason is why a decision was taken.
type Reason string

// Decision writes a log line: a decision with the inputs on which it was based.
// Fields with the zero value are left out.
type Decision struct {
	// Name is what was decided.
	Name    string
	Warning bool
	Job     fleet.JobID
	Task    string
	Queue   fleet.QueueName
	Tenant  fleet.TenantName
	Runner  fleet.RunnerID
	Entry   fleet.EntryID
	Attempt int64
	Epoch   int64
	// Version is the version of the configuration, or the number of the wave.
	Version int64
	// Incarnation is the incarnation of the runner that the owner knew.
	Incarnation fleet.Incarnation
	Outcome     string
	Reason      Reason
	// Age is the age of the information on which the decision was based.
	Age time.Duration
	// Ran is how long a run is known to have lasted.
	Ran time.Duration
	// Count is the number of things that the decision concerns.
	Count int
}

// CountJob adds to a counter of the job side.
type CountJob struct {
	Name   string
	Reason Reason
	N      int64
}

// SetJobGauge sets a gauge of the job side.
type SetJobGauge struct {
	Name   string
	Reason Reason
	Value  int64
}

// Observe adds a duration to a latency histogram of the job side.
type Observe struct {
	Name     string
	Duration time.Duration
}

func (FollowStore) isEffect()            {}
func (ReadTenure) isEffect()             {}
func (AppendTenure) isEffect()           {}
func (FenceLedger) isEffect()            {}
func (LoadLedger) isEffect()             {}
func (AppendLedger) isEffect()           {}
func (FollowRunners) isEffect()          {}
func (DispatchFor) isEffect()            {}
func (ReplyCall) isEffect()              {}
func (Forward) isEffect()                {}
func (OrderTask) isEffect()              {}
func (PollRunner) isEffect()             {}
func (CloseRunnerConnections) isEffect() {}
func (ListInstances) isEffect()          {}
func (OrderInstance) isEffect()          {}
func (RequestAdvice) isEffect()          {}
func (WriteWaveStatus) isEffect()        {}
func (JobsHandedOver) isEffect()         {}
func (Decision) isEffect()               {}
func (CountJob) isEffect()               {}
func (SetJobGauge) isEffect()            {}
func (Observe) isEffect()                {}
