// Package ledger defines what the store keeps of jobs, so that a new owner can
// go on where the last one ended. Package codec maps it to bytes.
package ledger

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// Record is one keyed record of the ledger. The newest of each key counts.
type Record struct {
	// Job is the job that the record is about.
	Job fleet.JobID
	// Definition is set in the record that stores the job itself.
	Definition *Definition
	// Progress is set in the record that stores how far it has come.
	Progress *Progress
	// DropDefinition and DropProgress remove the record of that kind.
	DropDefinition bool
	DropProgress   bool
	// Wave is set in a record about a maintenance wave; Job is empty then.
	Wave *Wave
	// RecentlyOrdered is set in the record of what was ordered lately; Job is empty then.
	RecentlyOrdered *RecentlyOrdered
}

// RecentlyOrdered are the instances about which the owner may have given orders lately.
type RecentlyOrdered struct{ Instances []fleet.InstanceID }

// Wave is how far a maintenance wave is.
type Wave struct {
	ID int64
	// Done lists the instances whose maintenance has begun.
	Done []fleet.InstanceID
}

// Definition is a job as it was accepted. It never changes.
type Definition struct {
	Queue fleet.QueueName
	// Service and Attempts are what the configuration said of the queue, for an
	// owner whose configuration has no such queue any more.
	Service     fleet.ServiceName
	MaxAttempts int
	Accepted    time.Time
	Spec        *fleet.JobSpec
}

// Progress is how far a job has come.
type Progress struct {
	Queue fleet.QueueName
	State fleet.JobState
	// Ended is when the state became final; zero before.
	Ended       time.Time
	Occurrences []Occurrence
}

// Occurrence is one run of a job's steps.
type Occurrence struct {
	Number int
	// Done marks the tasks that are done, by their number over all steps.
	Done []bool
	// Tasks lists the tasks with anything else to remember.
	Tasks []Task
}

// Task is what is remembered of a task that is not done.
type Task struct {
	// Number counts over all steps of the job.
	Number int
	// Attempt is the number of its last start; zero when there was none.
	Attempt int64
	// Failures is the number of its runs that failed.
	Failures int
	// Runner is where it runs or may run; empty when it runs nowhere.
	Runner      fleet.RunnerID
	Incarnation fleet.Incarnation
	// Checkpoint resumes it; empty when it has saved nothing.
	Checkpoint string
	// Unresolved lists the runs of which it is not known how they ended.
	Unresolved []Run
}

// Run names one run of a task.
type Run struct {
	Attempt int64
	Runner  fleet.RunnerID
}

// StoredJob is all that the ledger holds of one job.
type StoredJob struct {
	Job        fleet.JobID
	Definition *Definition
	Progress   *Progress
}
