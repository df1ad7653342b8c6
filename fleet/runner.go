package fleet

import "time"

// RunnerID identifies a runner: the process on an instance that runs tasks.
type RunnerID string

// Incarnation tells the starts of a runner apart, which may keep its id.
type Incarnation int64

// Runner is a runner as it reports itself.
type Runner struct {
	ID          RunnerID
	Incarnation Incarnation
	Service     ServiceName
	// Address is the IP address and port that takes orders.
	Address    string
	DataCentre DataCentre
	Rack       Rack
	Labels     []string
	Capacity   Capacity
	// Draining runners take no new tasks and leave soon.
	Draining bool
	// Remaining is the least time that a draining runner stays.
	Remaining time.Duration
	// Instance is the machine that the runner is one life of; empty when it
	// does not say.
	Instance InstanceID
}

// HasLabel reports whether the runner has a label. The empty label is had by
// all.
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

// RunningTask is a row of what a runner says it runs.
type RunningTask struct {
	Task    TaskID
	Attempt int64
	// Checkpoint resumes the task elsewhere; empty means that nothing was saved.
	Checkpoint string
	// Percent is how far a task has come, and for a lasting one 100 when it is
	// at work.
	Percent int
	// Load is the tail of a serving task's response times in milliseconds, and
	// for other tasks the processor time in use, in thousandths of a core. Over
	// the last half second, and rough.
	Load int64
}

// RunOutcome says how a run ended.
type RunOutcome string

// Ways in which a run ends.
const (
	RunDone    RunOutcome = "done"
	RunFailed  RunOutcome = "failed"
	RunStopped RunOutcome = "stopped"
	// RunLeaseExpired means that the lease ran out.
	RunLeaseExpired RunOutcome = "lapsed"
	// RunGangBroken means that another member of the gang ended.
	RunGangBroken RunOutcome = "broken"
	// RunGangIncomplete means that the gang's other members did not come in time.
	RunGangIncomplete RunOutcome = "alone"
)

// EndedTask is a row of the ends that a runner lists.
type EndedTask struct {
	// Number counts the ends of one incarnation from 1.
	Number     int64
	Task       TaskID
	Attempt    int64
	Outcome    RunOutcome
	Checkpoint string
}

// ManagedInstance is a row of the platform's list of machines.
type ManagedInstance struct {
	ID     InstanceID
	Pool   PoolName
	State  InstanceState
	Runner RunnerID
}

// InstanceState says whether an instance can be ordered about.
type InstanceState string

// States of an instance.
const (
	InstanceUp          InstanceState = "up"
	InstanceMoving      InstanceState = "moving"
	InstanceMaintenance InstanceState = "maintenance"
	InstanceDown        InstanceState = "down"
)

// MaintenanceWave asks that each of its instances has its maintenance in time.
type MaintenanceWave struct {
	ID        int64
	Instances []InstanceID
	// Within is the time the wave may take from its publication.
	Within time.Duration
	// MaxAtOnce is the number of its instances that may be down for
	// maintenance at once.
	MaxAtOnce int
}
