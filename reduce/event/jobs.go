package event

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/banyanrail/banyanrail/reduce/tenure"
)

// Job is an event about jobs. Package reduce/jobs handles them.
type Job interface {
	Body
	isJob()
}

// JobsStarted is the first event of an entry that manages jobs.
type JobsStarted struct{}

// TenureRead reports the newest record of the tenure log.
type TenureRead struct {
	// Record is the zero value when the log is empty.
	Record tenure.Record
	// End is the offset of the next append.
	End fleet.Offset
}

// TenureReadFailed reports a read of the tenure log that was not answered.
type TenureReadFailed struct{ Reason string }

// TenureAppended reports the outcome of an append to the tenure log.
type TenureAppended struct {
	Record  tenure.Record
	Sent    time.Time
	Outcome effect.AppendOutcome
	End     fleet.Offset
}

// QueuesRead reports a version of the configuration of queues.
type QueuesRead struct{ Queues *fleet.Queues }

// QueuesConfirmed reports that the newest configuration that was read is at least as new as
// what the store held at a time, because a read that was sent then has been answered.
type QueuesConfirmed struct{ At time.Time }

// QueuesReadFailed reports that changes of the configuration could not be read.
type QueuesReadFailed struct{ Reason string }

// WavesRead reports maintenance waves that operators requested.
type WavesRead struct{ Waves []fleet.MaintenanceWave }

// RunnersRead reports changes of the list of runners.
type RunnersRead struct {
	Epoch int64
	// Full is set when Runners is the complete list.
	Full    bool
	Runners []fleet.Runner
	Removed []fleet.RunnerID
}

// RunnersReadFailed reports that the list of runners could not be read.
type RunnersReadFailed struct {
	Epoch  int64
	Reason string
}

// LedgerFenced reports the outcome of fencing the ledger.
type LedgerFenced struct {
	Epoch   int64
	Outcome effect.AppendOutcome
}

// LedgerLoaded reports the contents of the ledger.
type LedgerLoaded struct {
	Epoch int64
	// Failed is set when the ledger could not be read; Jobs is empty then.
	Failed bool
	Jobs   []ledger.StoredJob
	Waves  []ledger.Wave
	// RecentlyOrdered lists the instances about which the previous owner recently
	// gave an order. OrdersUnreadable is set if the list is not known.
	RecentlyOrdered  []fleet.InstanceID
	OrdersUnreadable bool
	// Unreached holds the runners that an owner did not reach.
	Unreached ledger.Unreached
	// Restarted holds the runners that had restarted lately.
	Restarted []fleet.RunnerID
	// Holds holds the ends that were not to be acknowledged.
	Holds []ledger.Hold
	// Parts holds the number of records of each list.
	Parts ledger.ListParts
	// RunTimes is what an owner has learned of run times; nil without a record.
	RunTimes *ledger.RunTimes
}

// LedgerAppended reports the outcome of an append to the ledger.
type LedgerAppended struct {
	Epoch    int64
	Sequence int64
	Outcome  effect.AppendOutcome
	// Expected is the sequence number that the store expects; it is set with the
	// outcome AppendOutOfSequence.
	Expected int64
	// Reason is set with the outcome AppendRejected.
	Reason  string
	Elapsed time.Duration
}

// ClientCalled reports a client's call.
type ClientCalled struct {
	Call uint64
	// Forwarded is set when another entry forwarded the call. Queue names the
	// queue then, and Host and Path are empty.
	Forwarded bool
	Queue     fleet.QueueName
	Version   int64
	Host      string
	Path      string
	Kind      effect.CallKind
	Job       fleet.JobID
	Spec      *fleet.JobSpec
	// Fault is the reason why a submission has no valid spec, by the names of its front end's fields.
	Fault string
	// Key is the caller's API key; empty if the call carries none.
	Key string
	// Verified is set when the forwarding entry has checked the key. Tenant is the
	// result; it is empty for calls to public queues.
	Verified bool
	Tenant   fleet.TenantName
	// Timeout is how long the client waits from Received on; zero means the queue's
	// limit.
	Timeout time.Duration
	// Received is when the entry received the call; zero means just now.
	Received time.Time
}

// ClientGone reports that a client no longer waits for the answer to its call.
type ClientGone struct{ Call uint64 }

// ForwardFinished reports the outcome of forwarding a call to the owner.
type ForwardFinished struct {
	Call   uint64
	Answer effect.CallAnswer
	// Failed is set when there was no answer. Sent is set when the owner may have
	// received the call.
	Failed bool
	Sent   bool
	Reason string
}

// DispatcherJoined reports that an entry offers to carry out calls to runners.
type DispatcherJoined struct {
	// Dispatcher identifies the offer, which ends when its connection is closed.
	Dispatcher uint64
	Entry      fleet.EntryID
}

// DispatcherLeft reports that a dispatcher accepts no more calls.
type DispatcherLeft struct {
	Dispatcher uint64
	Reason     string
}

// OrderOutcome says how an order to a runner ended.
type OrderOutcome uint8

// Outcomes of an order.
const (
	OrderDone OrderOutcome = iota + 1
	// OrderUnknown means that the order may have been carried out, or may still
	// be.
	OrderUnknown
	// OrderStale means that the order was not sent, because its SendDeadline had
	// passed.
	OrderStale
	// OrderFenced means that the runner has seen a higher fencing token.
	OrderFenced
	// OrderSuperseded means that the run is not newer than one of the same task
	// that ended on the runner.
	OrderSuperseded
	// OrderLate means that the order's LeaseDeadline had passed on the runner's
	// clock.
	OrderLate
	// OrderNoRoom means that the runner does not have the capacity for the task.
	OrderNoRoom
	// OrderNoTicket means that the ticket of the advice service has expired.
	OrderNoTicket
	// OrderOtherIncarnation means that another runner listens at the address.
	OrderOtherIncarnation
	// OrderUnhealthy means that the runner refused and did nothing.
	OrderUnhealthy
	// OrderInvalid means that the runner could not parse the order.
	OrderInvalid
	// OrderNotSent means that no connection was made, so the runner did not receive the
	// order.
	OrderNotSent
)

// Clock is a reading of a runner's monotonic clock, from an answer of the runner.
type Clock struct {
	// Reading is in milliseconds; zero when the answer has none.
	Reading int64
	// Sent and Received are when the call was sent and its answer received.
	Sent, Received time.Time
}

// TaskOrdered reports the outcome of an order about a task.
type TaskOrdered struct {
	Epoch int64
	// Token is the fencing token of the order.
	Token  int64
	Runner fleet.RunnerID
	// Incarnation is that of the order.
	Incarnation fleet.Incarnation
	Kind        effect.OrderKind
	Task        fleet.TaskID
	Attempt     int64
	Outcome     OrderOutcome
	Clock       Clock
	Reason      string
}

// RunnerPolled reports the outcome of a poll of a runner: the tasks that it runs
// and those that ended.
type RunnerPolled struct {
	Epoch  int64
	Runner fleet.RunnerID
	// Number is the number of the poll.
	Number      uint64
	Outcome     OrderOutcome
	Incarnation fleet.Incarnation
	Clock       Clock
	Running     []fleet.RunningTask
	Ended       []fleet.EndedTask
	Reason      string
}

// InstancesRead reports the platform's list of instances.
type InstancesRead struct {
	Epoch     int64
	Failed    bool
	Instances []fleet.ManagedInstance
}

// InstanceOrdered reports the outcome of an order about an instance.
type InstanceOrdered struct {
	Epoch    int64
	Instance fleet.InstanceID
	Kind     effect.InstanceOrderKind
	Wave     int64
	Outcome  effect.InstanceOutcome
}

// AdviceReceived reports which runners may run a step, according to the advice
// service.
type AdviceReceived struct {
	Epoch  int64
	Job    fleet.JobID
	Step   string
	Failed bool
	// Tickets holds a ticket for each runner that may run the step.
	Tickets map[fleet.RunnerID]string
	// Runners lists the runners that the request named.
	Runners  []fleet.RunnerID
	ValidFor time.Duration
}

// StatusWritten reports the outcome of publishing the status of a maintenance
// wave.
type StatusWritten struct {
	Epoch  int64
	Wave   int64
	Done   bool
	Failed bool
}

// JobsStopRequested reports a request to hand over the tenure and stop.
type JobsStopRequested struct{}

func (JobsStarted) isEvent()       {}
func (TenureRead) isEvent()        {}
func (TenureReadFailed) isEvent()  {}
func (TenureAppended) isEvent()    {}
func (QueuesRead) isEvent()        {}
func (QueuesConfirmed) isEvent()   {}
func (QueuesReadFailed) isEvent()  {}
func (WavesRead) isEvent()         {}
func (RunnersRead) isEvent()       {}
func (RunnersReadFailed) isEvent() {}
func (DispatcherJoined) isEvent()  {}
func (DispatcherLeft) isEvent()    {}
func (LedgerFenced) isEvent()      {}
func (LedgerLoaded) isEvent()      {}
func (LedgerAppended) isEvent()    {}
func (ClientCalled) isEvent()      {}
func (ClientGone) isEvent()        {}
func (ForwardFinished) isEvent()   {}
func (TaskOrdered) isEvent()       {}
func (RunnerPolled) isEvent()      {}
func (InstancesRead) isEvent()     {}
func (InstanceOrdered) isEvent()   {}
func (AdviceReceived) isEvent()    {}
func (StatusWritten) isEvent()     {}
func (JobsStopRequested) isEvent() {}

func (JobsStarted) isJob()       {}
func (TenureRead) isJob()        {}
func (TenureReadFailed) isJob()  {}
func (TenureAppended) isJob()    {}
func (QueuesRead) isJob()        {}
func (QueuesConfirmed) isJob()   {}
func (QueuesReadFailed) isJob()  {}
func (WavesRead) isJob()         {}
func (RunnersRead) isJob()       {}
func (RunnersReadFailed) isJob() {}
func (DispatcherJoined) isJob()  {}
func (DispatcherLeft) isJob()    {}
func (LedgerFenced) isJob()      {}
func (LedgerLoaded) isJob()      {}
func (LedgerAppended) isJob()    {}
func (ClientCalled) isJob()      {}
func (ClientGone) isJob()        {}
func (ForwardFinished) isJob()   {}
func (TaskOrdered) isJob()       {}
func (RunnerPolled) isJob()      {}
func (InstancesRead) isJob()     {}
func (InstanceOrdered) isJob()   {}
func (AdviceReceived) isJob()    {}
func (StatusWritten) isJob()     {}
func (JobsStopRequested) isJob() {}
