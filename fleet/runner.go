package fleet

import "time"

// RunnerID identifies a runner: the process on an instance that runs tasks.
type RunnerID string

// Incarnation distinguishes the starts of a runner, which may keep its id. A
// later start has a higher number.
type Incarnation int64

// Runner describes a runner, as the runner itself reports it.
type Runner struct {
	ID          RunnerID
	Incarnation Incarnation
	Service     ServiceName
	// Address is the IP address and port that accepts calls to the runner.
	Address    string
	DataCentre DataCentre
	Rack       Rack
	Labels     []string
	Capacity   Capacity
	// Draining is set when the runner accepts no new tasks and will shut down
	// soon.
	Draining bool
	// Remaining is the least time until a draining runner shuts down.
	Remaining time.Duration
	// Instance is the instance that the runner runs on; empty when the runner
	// does not report it.
	Instance InstanceID
}

// HasLabel reports whether the runner has a label. Every runner has the empty
// label.
func (r *Runner) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range r.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// RunningTask is one of the running tasks that a runner reports.
type RunningTask struct {
	Task    TaskID
	Attempt int64
	// Checkpoint is the latest checkpoint, from which another runner can resume
	// the task; empty means that there is none.
	Checkpoint string
	// Percent is the progress of the task. For a long-running task, 100 means
	// that it is at work.
	Percent int
	// Load is the tail latency of a serving task in milliseconds, and the CPU use
	// of another task in thousandths of a core. It is a rough estimate over the
	// last half second.
	Load int64
}

// RunOutcome says how a run ended.
type RunOutcome string

// Outcomes of a run.
const (
	RunDone    RunOutcome = "done"
	RunFailed  RunOutcome = "failed"
	RunStopped RunOutcome = "stopped"
	// RunLeaseExpired means that the run's lease expired.
	RunLeaseExpired RunOutcome = "lapsed"
	// RunGangBroken means that another task of the gang ended.
	RunGangBroken RunOutcome = "broken"
	// RunGangIncomplete means that the gang's other tasks did not start in time.
	RunGangIncomplete RunOutcome = "alone"
)

// EndedTask is one of the ended runs that a runner reports until they are
// acknowledged.
type EndedTask struct {
	// Number counts the ended runs of one incarnation, from 1.
	Number     int64
	Task       TaskID
	Attempt    int64
	Outcome    RunOutcome
	Checkpoint string
}

// ManagedInstance is an instance in the platform's list of instances.
type ManagedInstance struct {
	ID     InstanceID
	Pool   PoolName
	State  InstanceState
	Runner RunnerID
	// Capacity is that of its runner; zero if it is not known.
	Capacity Capacity
}

// InstanceState is the state of an instance in the platform's list. An instance
// can be moved or maintained only while it is up.
type InstanceState string

// States of an instance.
const (
	InstanceUp          InstanceState = "up"
	InstanceMoving      InstanceState = "moving"
	InstanceMaintenance InstanceState = "maintenance"
	InstanceDown        InstanceState = "down"
)

// MaintenanceWave requests the maintenance of each of its instances within a time
// limit.
type MaintenanceWave struct {
	ID        int64
	Instances []InstanceID
	// Within is the time that the wave may take, counted from its publication.
	Within time.Duration
	// MaxAtOnce is the number of its instances that may be down for
	// maintenance at once.
	MaxAtOnce int
}
