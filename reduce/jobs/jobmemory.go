package jobs

import "github.com/banyanrail/banyanrail/fleet"

// What the state of a job takes at the owner, in bytes: the job with its place in tables, each
// step as it was handed in and as it is kept, and each task.
const (
	jobMemory  = 800
	stepMemory = 500
	taskMemory = 240
)

// memoryOf returns an upper bound for what a job takes while it has not ended, in bytes. Of a
// repeated job, as many occurrences may be open as maxOpenTasks allows.
func memoryOf(spec *fleet.JobSpec) int64 {
	if spec == nil {
		return jobMemory
	}
	steps, tasks := int64(len(spec.Steps)), int64(spec.Tasks())
	open := int64(1)
	if tasks > 0 {
		open = max(1, min(int64(spec.Repeats), maxOpenTasks/tasks))
	}
	return jobMemory + int64(len(spec.Text)) + open*(steps*stepMemory+tasks*taskMemory)
}

// holds reports whether the memory for jobs that have not ended holds one more.
//
// Load pattern: jobs inside all limits of a call, each with thousands of steps or tasks, come
// faster than they end.
func (o *ownership) holds(spec *fleet.JobSpec) bool {
	if o.activeCount >= maxActive {
		return false
	}
	limit := o.s.cfg.MaxJobBytes
	return limit == 0 || o.activeBytes+memoryOf(spec) <= limit
}
