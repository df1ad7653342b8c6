// Package gates determines at which gate a ready task waits, keeps how long it has waited there, and
// bounds the log lines about such waits. It takes part in no decision.
package gates

import "github.com/banyanrail/banyanrail/reduce/effect"

// Gate is what keeps a ready task from being started.
type Gate uint8

// Gates. A task at none of the others waits for capacity.
const (
	// None means that the task does not wait.
	None Gate = iota
	Capacity
	// Paused means that nothing is placed: the store does not answer, or the tenure is not
	// certain.
	Paused
	// Advice means that no runner has a ticket.
	Advice
	// Trial means that the task may have crashed a runner, and runs isolated next.
	Trial
	// Cap is that of the task's tenant.
	Cap
	// Gang means that another member of the task's gang cannot be started yet.
	Gang
	// LateStart means that an earlier start of the task may still be carried out.
	LateStart
	// Resolution means that the outcome of a lost run decides whether the task may run again.
	Resolution
	gateCount
)

var reasons = [gateCount]effect.Reason{
	Capacity: "capacity", Paused: "placing paused", Advice: "advice", Trial: "trial after a crash", Cap: "cap", Gang: "gang",
	LateStart: "late start", Resolution: "unresolved run",
}

// Reason returns the name of a gate in logs and metrics.
func (g Gate) Reason() effect.Reason { return reasons[g] }

// Shared reports whether tasks wait at the gate for what any of them could take, so that the wait
// of a single one says little.
func (g Gate) Shared() bool { return g == Capacity || g == Paused }

// OfRunner reports whether the gate depends on a certain runner, of which more may become known.
func (g Gate) OfRunner() bool { return g == LateStart || g == Resolution || g == Gang }

// All returns all gates, in a fixed order.
func All() []Gate {
	var all []Gate
	for g := None + 1; g < gateCount; g++ {
		all = append(all, g)
	}
	return all
}

// Facts are the conditions under which a ready task waits.
type Facts struct {
	Resolution, LateStart, Gang, Cap, Trial, Advice, Paused bool
}

// Gate returns the gate of a task under several conditions: the one that is the closest to the
// task.
func (f Facts) Gate() Gate {
	switch {
	case f.Resolution:
		return Resolution
	case f.LateStart:
		return LateStart
	case f.Gang:
		return Gang
	case f.Cap:
		return Cap
	case f.Trial:
		return Trial
	case f.Advice:
		return Advice
	case f.Paused:
		return Paused
	default:
		return Capacity
	}
}

// Counts holds a number of tasks for each gate.
type Counts [gateCount]int64

// Add counts one more task at a gate.
func (c *Counts) Add(g Gate) { c[g]++ }
