package fleet

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// JobID is the identifier that a client chose for its job.
type JobID string

// QueueName names a queue of jobs.
type QueueName string

// JobSpec is a job as its client submitted it. It is immutable.
type JobSpec struct {
	// Text is passed to each task unparsed. It has at most 4,000 bytes.
	Text  string
	Steps []Step
	// Repeats is the number of occurrences; zero means a single one that is due
	// immediately.
	Repeats int
	// FirstAt is when the first occurrence of a repeated job is due.
	FirstAt time.Time
	// Interval is the time between occurrences.
	Interval time.Duration
}

// Tasks returns the number of tasks of all steps.
func (s *JobSpec) Tasks() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// Step is a set of tasks with the same requirements.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Needs is the capacity that each task requires of its runner.
	Needs Capacity
	// Estimate is the client's rough guess of a task's run time.
	Estimate time.Duration
	// After lists the earlier steps whose tasks must all be done first.
	After []int
	// Checkpoints is set when the tasks save their progress.
	Checkpoints bool
	// Gang is set when the tasks have to run all at the same time.
	Gang bool
	// SameRack is set for a gang that runs slowly when spread over racks.
	SameRack bool
	// Label is a label that a runner must have; empty means any runner.
	Label string
	// Affinity is the rack that holds the data; empty means none.
	Affinity Rack
	// MaxPerRunner bounds the step's tasks on one runner; zero means no bound.
	MaxPerRunner int
	// Speculative is set when a task may run in several copies at once.
	Speculative bool
	// LongRunning is set when the tasks run until their job is cancelled.
	LongRunning bool
	// Image is the name of the image that the tasks run.
	Image string
	// LatencyTarget is the upper bound for the tail latency of a serving task;
	// zero means that the tasks serve no requests.
	LatencyTarget time.Duration
	// BestEffort is set when the tasks use only the CPU time that other tasks on
	// their runner leave unused.
	BestEffort bool
	// MaxUnavailable is the largest number of long-running tasks that may be
	// down at once because of decisions of the manager.
	MaxUnavailable int
}

// Capacity is an amount of a runner's resources.
type Capacity struct {
	// CPU is in thousandths of a core.
	CPU int64
	// Memory is in mebibytes.
	Memory int64
	// Accelerators counts whole devices.
	Accelerators int64
}

// Plus returns the sum.
func (c Capacity) Plus(o Capacity) Capacity {
	return Capacity{c.CPU + o.CPU, c.Memory + o.Memory, c.Accelerators + o.Accelerators}
}

// Minus returns the difference.
func (c Capacity) Minus(o Capacity) Capacity {
	return Capacity{c.CPU - o.CPU, c.Memory - o.Memory, c.Accelerators - o.Accelerators}
}

// Fits reports whether an amount is no larger than c in each resource.
func (c Capacity) Fits(need Capacity) bool {
	return need.CPU <= c.CPU && need.Memory <= c.Memory && need.Accelerators <= c.Accelerators
}

// Max returns the larger amount of each resource.
func (c Capacity) Max(o Capacity) Capacity {
	return Capacity{max(c.CPU, o.CPU), max(c.Memory, o.Memory), max(c.Accelerators, o.Accelerators)}
}

// Reservation returns the capacity that a task reserves on its runner. A
// best-effort task reserves no CPU time.
func (s *Step) Reservation() Capacity {
	need := s.Needs
	if s.BestEffort {
		need.CPU = 0
	}
	return need
}

// TaskID identifies a task of a job.
type TaskID struct {
	Job JobID
	// Occurrence counts from 0.
	Occurrence int
	Step       int
	Index      int
}

// String returns "job.occurrence.step.index".
func (t TaskID) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// ErrTaskName means that a task's name is not job.occurrence.step.index.
var ErrTaskName = errors.New("fleet: task name is not job.occurrence.step.index")

// taskParts is the number of parts of a task's name.
const taskParts = 4

// ParseTaskID parses the form that TaskID.String returns. Its error wraps
// ErrTaskName.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != taskParts {
		return TaskID{}, ErrTaskName
	}
	var n [taskParts - 1]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, errors.Join(ErrTaskName, err)
		}
		n[i] = v
	}
	return TaskID{Job: JobID(parts[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// StepName returns "job.occurrence.step".
func (t TaskID) StepName() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// JobState is the state of a job.
type JobState string

// States of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final reports whether a job in this state never changes its state again.
func (s JobState) Final() bool {
	return s == JobDone || s == JobFailed || s == JobCancelled
}
