// Package ledger defines the state of jobs that the store keeps, from which a new
// owner continues the work of the previous one. Package codec encodes it.
package ledger

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/runtimes"
)

// Record is one keyed record of the ledger. Only the newest record of each key is
// in force.
type Record struct {
	// Job is the job that the record concerns.
	Job fleet.JobID
	// Definition is set in the record that stores the job itself.
	Definition *Definition
	// Progress is set in the record that stores the progress of the job, and ProgressPart
	// in one that stores a part of it.
	Progress     *Progress
	ProgressPart *ProgressPart
	// Part numbers the parts of a job's progress, and the records of a list that needs
	// several of them.
	Part int
	// DropDefinition and DropProgress remove the job's record of that kind. DropPart
	// removes part number Part of the job's progress of DropGeneration.
	DropDefinition bool
	DropProgress   bool
	DropPart       bool
	DropGeneration int64
	// Wave is set in a record about a maintenance wave; Job is empty then.
	Wave *Wave
	// RecentlyOrdered is set in the record of the instances about which orders
	// may have been given; Job is empty then.
	RecentlyOrdered *RecentlyOrdered
	// Unreached is set in the record of the runners that the owner has not reached;
	// Job is empty then.
	Unreached *Unreached
	// Restarted is set in the record of the runners that have restarted lately; Job is
	// empty then.
	Restarted *Restarted
	// RunTimes is set in the record of what was learned of run times; Job is empty then.
	RunTimes *RunTimes
	// Hold is set in the record of a hold; Job is empty then. DropHold removes it.
	Hold     *Hold
	DropHold bool
}

// Hold keeps the ends of a task that has ended from being acknowledged to a runner, as long as
// a start of the task may still be carried out there. An acknowledged end is final.
type Hold struct {
	Task fleet.TaskID
	// Attempt is that of the start, and Epoch that of the last owner that may have ordered it.
	Attempt int64
	Runner  fleet.RunnerID
	Epoch   int64
}

// RunTimes is what an owner has learned of run times.
type RunTimes struct{ Entries []runtimes.Entry }

// Restarted lists the runners that have lately restarted under their ids. Leases of calls
// that were decided for their former incarnations may not have expired.
type Restarted struct{ Runners []fleet.RunnerID }

// Unreached lists runners to which an owner has granted no lease.
type Unreached struct {
	// Epoch is the epoch of that owner.
	Epoch int64
	// LeasedBy is, for each of them, the last epoch whose owner may have granted one.
	LeasedBy map[fleet.RunnerID]int64
}

// RecentlyOrdered lists the instances about which the owner may recently have
// given orders.
type RecentlyOrdered struct{ Instances []fleet.InstanceID }

// ListParts holds the number of records that each list consists of.
type ListParts struct{ RecentlyOrdered, Unreached, Restarted int }

// Wave is the progress of a maintenance wave.
type Wave struct {
	ID int64
	// Done lists the instances whose maintenance has begun.
	Done []fleet.InstanceID
}

// Definition is a job as it was accepted. It never changes.
type Definition struct {
	Queue fleet.QueueName
	// Service and MaxAttempts are the settings of the queue when the job was
	// accepted. They apply once the configuration has no such queue.
	Service     fleet.ServiceName
	MaxAttempts int
	Accepted    time.Time
	Spec        *fleet.JobSpec
	// Tenant is the tenant whose key the submission carried; empty for public queues.
	Tenant fleet.TenantName
	// ExpectedPath is the run time of the longest chain of steps, as expected when the job
	// was accepted; zero if that is not known.
	ExpectedPath time.Duration
}

// Progress is the progress of a job.
type Progress struct {
	Queue fleet.QueueName
	State fleet.JobState
	// Ended is when the state became final; zero before.
	Ended time.Time
	// Stopping is the capacity of the runs of a job that has ended that may not have
	// stopped when this was stored, and Tenant the tenant at whose cap they count.
	Stopping fleet.Capacity
	Tenant   fleet.TenantName
	// Begun is the number of occurrences that have begun. Those that are not in
	// Occurrences have ended.
	Begun       int
	Occurrences []Occurrence
	// NotBegun is set while no run of the job is known to have begun, whatever was planned.
	NotBegun bool
	// Parts is the number of parts that hold the occurrences instead of Occurrences, and
	// Generation the generation of these parts; zero if there are none.
	Parts      int
	Generation int64
}

// ProgressPart is a part of a job's progress that is too large for one record. The parts of
// two generations in a row are stored beside each other.
type ProgressPart struct {
	Generation  int64
	Occurrences []Occurrence
}

// GenerationSlots is the number of generations whose parts are stored beside each other.
const GenerationSlots = 2

// Occurrence is one run of a job's steps.
type Occurrence struct {
	Number int
	// Done marks the tasks that are done, indexed by their number over all steps.
	Done []bool
	// Tasks lists the tasks that are not done and were started at least once.
	Tasks []Task
}

// Task is the state of a task that is not done.
type Task struct {
	// Number is the index of the task over all steps of the job.
	Number int
	// Attempt is the number of the latest start; zero when there was none.
	Attempt int64
	// Failures is the number of runs of the task that failed, or of its gang.
	Failures int
	// FailedAttempts lists the attempts of the last failed runs of its gang.
	FailedAttempts []int64
	// Crashes counts the runners that crashed while the task ran or may have run there,
	// and CertainCrashes those on which it did. Trial is how long its next run has to last
	// until it is no longer suspected to be the cause.
	Crashes        int
	CertainCrashes int
	Trial          time.Duration
	// CrashedOn is the instance whose runner crashed last, or the runner's id if that is not known.
	CrashedOn fleet.InstanceID
	// Runner is the runner on which the task runs or may run; empty when it runs
	// nowhere. Incarnation is that runner's incarnation, and Address its address: a new
	// owner finds out there what became of a runner that is listed no longer.
	Runner      fleet.RunnerID
	Incarnation fleet.Incarnation
	Address     string
	// Instance is the instance of that runner; empty if it is not known. Lists of instances
	// show a new owner by it whether the runner has ended.
	Instance fleet.InstanceID
	// StaleLeases is set if that runner may have had leases by calls that were decided for
	// its former incarnations when the run was planned.
	StaleLeases bool
	// Settled is set if no start of the run can be carried out but that by which it runs.
	Settled bool
	// StartEpoch is otherwise the epoch of the last owner that may have ordered a start; zero
	// if that is not known.
	StartEpoch int64
	// Checkpoint is the latest checkpoint of the task; empty when there is none.
	Checkpoint string
	// Unresolved lists the runs whose outcome is not known.
	Unresolved []Run
	// LateStarts lists the runs that were given up of which a start may still be carried out.
	LateStarts []Run
}

// Run identifies one run of a task.
type Run struct {
	Attempt int64
	Runner  fleet.RunnerID
	// Instance is the instance of the runner; empty if it is not known.
	Instance fleet.InstanceID `json:",omitempty"`
	// Epoch is that of the last owner that may have ordered its start, or of the one that gave it up
	// without its outcome; zero if that is not known.
	Epoch int64 `json:",omitempty"`
}

// StoredJob is everything that the ledger holds of one job.
type StoredJob struct {
	Job        fleet.JobID
	Definition *Definition
	Progress   *Progress
	// Parts is the number of part records in the slot of each generation, whether the
	// progress consists of them or not.
	Parts [GenerationSlots]int
}
