// Package crashes decides which tasks may have crashed the runners that they ran on, how
// their next runs are isolated to find out, and when such a task is given up.
//
// A crash ends all runs on the runner. The ones that had begun just before it are the likely
// cause, so their tasks are suspected: each next runs on a runner where nothing else has just
// begun, until the run has lasted longer than the one before the crash. A second crash in
// that time has no other likely cause.
package crashes

import "time"

const (
	// SettleTime is how long a run has to last before a crash of its runner is more likely
	// due to another run. Tasks that end their process do so within milliseconds of their
	// start; answers take as long.
	SettleTime = 100 * time.Millisecond
	// maxStartCrash is how long after its planning a run of a long-running task may have lasted
	// for a crash at its beginning: the time until its start is carried out and a broken
	// connection noticed. Giving such a task up stops others at work.
	maxStartCrash = 300 * time.Millisecond
	// atWorkAfter is the run time of a long-running task from which a crash is not counted: the
	// platform limits the starts of tasks that end, and giving up one that lasts stops others.
	atWorkAfter = 500 * time.Millisecond
	// maxTrial bounds how long a suspected task keeps other tasks from a runner.
	maxTrial = 1500 * time.Millisecond
	// healthyAfter is the run time of a long-running task after which its earlier crashes count
	// no more. Any of them loses some runners in its life.
	healthyAfter = 10 * time.Second
	// certainLimit is the number of runners that crashed as the task began there, the last
	// of them on trial, after which it is given up. It is longRunningLimit for
	// long-running tasks, since giving one up stops others at work.
	certainLimit     = 2
	longRunningLimit = 3
	// MaxCrashes bounds the crashes under a task, whatever else may have caused them. The
	// platform allows no sixth start of a task that has crashed a runner at each start.
	MaxCrashes = 5
)

// Record is what is known of the crashes under a task.
type Record struct {
	// Crashes counts the runners that crashed while the task ran or may have run there, and
	// Certain those that did so at the beginning of a run.
	Crashes, Certain int
	// Trial is how long the next run has to last until the task is no longer suspected;
	// zero if it is not.
	Trial time.Duration
}

// Suspected reports whether the task may have crashed its last runner.
func (r Record) Suspected() bool { return r.Trial > 0 }

// Run is a run whose runner crashed.
type Run struct {
	// Began is set if the runner has confirmed the start. One that crashed before may have
	// crashed under another task.
	Began bool
	// Proven is how long the run has certainly lasted, and Longest how long it may have.
	Proven, Longest time.Duration
	// Estimate is the estimated run time of the task.
	Estimate time.Duration
	// Alone is set if all runs on the runner had settled.
	Alone bool
	// LongRunning is set for a run of a long-running task.
	LongRunning bool
	// SameRunner is set if the last crash under the task was of the same runner: it may crash
	// whatever runs there.
	SameRunner bool
}

// unendedShare is the part of its estimated run time, as a divisor, within which a run has
// hardly ended.
const unendedShare = 2

// certain reports whether the run had just begun and was certainly in progress when its runner
// crashed. It may also have ended before, and the runner not have told so. A crash some time
// into the run says little about its task: other runners crash for other reasons too.
func (r Run) certain() bool {
	switch {
	case !r.Began || Settled(r.Proven):
		return false
	case r.LongRunning:
		return r.Longest <= maxStartCrash
	default:
		return unendedShare*(r.Longest-r.Proven) <= r.Estimate
	}
}

// Settled reports whether a run that has lasted for a time is unlikely to crash its runner
// by its start.
func Settled(ran time.Duration) bool { return ran >= SettleTime }

// Add records a crash under a run of the task. It reports whether the task is to be given
// up.
func (r *Record) Add(run Run) bool {
	if run.LongRunning && run.Proven >= atWorkAfter {
		if run.Proven >= healthyAfter {
			*r = Record{}
		}
		return false
	}
	onTrial := r.Suspected()
	r.Crashes++
	if run.certain() && !run.SameRunner {
		r.Certain++
	}
	r.Trial = 0
	if !Settled(run.Proven) || run.Alone || r.Crashes > 1 {
		r.Trial = min(run.Longest+SettleTime, maxTrial)
	}
	limit := certainLimit
	if run.LongRunning {
		limit = longRunningLimit
	}
	return (onTrial && r.Certain >= limit) || r.Crashes >= MaxCrashes
}

// AddLate records a crash that showed only after the run was given up. It reports whether
// the task is to be given up.
func (r *Record) AddLate() bool {
	r.Crashes++
	return r.Crashes >= MaxCrashes
}

// Lost records that a run was lost without a sign of what became of its runner. The next
// run is isolated if the task may have ended the runner by its start.
func (r *Record) Lost(proven time.Duration) {
	if !Settled(proven) {
		r.Trial = max(r.Trial, SettleTime)
	}
}

// LostForGood records that a run was lost with the instance of its runner. It reports whether
// the task is to be given up: platforms remove instances too, but seldom several in a row as a
// task begins there.
func (r *Record) LostForGood(proven time.Duration) bool {
	if Settled(proven) {
		return false
	}
	r.Lost(proven)
	return r.AddLate()
}

// Lasted records that a run has lasted for a time without its runner crashing, and reports
// whether that changes the record.
func (r *Record) Lasted(ran time.Duration, longRunning bool) bool {
	switch {
	case *r == Record{}:
		return false
	case longRunning && ran >= healthyAfter:
		*r = Record{}
		return true
	case !r.Suspected() || ran < r.Trial:
		return false
	default:
		r.Trial = 0
		return true
	}
}
