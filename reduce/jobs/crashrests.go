package jobs

import (
	"time"

	"github.com/banyanrail/banyanrail/reduce/effect"
)

// crashRestMemory is how long after the end of a rest another crash doubles the next one.
const crashRestMemory = 30 * time.Second

// crashRest keeps tasks from an instance whose runner crashes under one task again and again. It outlasts
// the incarnation of the runner, unlike health.
type crashRest struct {
	until time.Time
	rests int
}

// restAfterCrash keeps tasks from being started on the instance of a runner that has crashed under the same task as
// the last time. The length doubles as that of a quarantine does.
func (o *ownership) restAfterCrash(r *runner) {
	o.dropCrashRests()
	rest := o.crashRests[r.lastingID()]
	pause := min(minQuarantine<<min(rest.rests, maxDoublings), maxQuarantine)
	o.crashRests[r.lastingID()] = crashRest{until: o.now().Add(pause), rests: rest.rests + 1}
	o.s.logDecision(effect.Decision{Name: "runner rests", Runner: r.ID, Reason: reasonCrashesAgain, Count: rest.rests + 1, Age: pause, Epoch: o.epoch})
	o.s.count("runners_rested", reasonCrashesAgain)
}

// reasonCrashesAgain is the reason for a rest after a crash.
const reasonCrashesAgain effect.Reason = "crashed under a task again"

// restsAfterCrash reports whether the instance of a runner rests after a crash.
func (o *ownership) restsAfterCrash(r *runner) bool {
	return len(o.crashRests) > 0 && o.now().Before(o.crashRests[r.lastingID()].until)
}

// dropCrashRests drops the rests that ended long ago, also of instances that are gone.
func (o *ownership) dropCrashRests() {
	for id, rest := range o.crashRests {
		if o.now().Sub(rest.until) > crashRestMemory {
			delete(o.crashRests, id)
		}
	}
}
