package shares

import (
	"math"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

const (
	// recentTime is the time constant with which former use is forgotten, and recentPart the
	// part of it that counts beside the present use. Time constants of 1, 3 and 10 s and
	// parts of 0 to 2 differ by less than 0.3 % of the jobs on time in the replays of
	// replay_test.go; this is the middle.
	recentTime = 3 * time.Second
	recentPart = 0.5
	// burstTime is the time in which the jobs that a tenant is owed may come all at once.
	burstTime = 5 * time.Second
)

// amounts is a capacity that is not whole.
type amounts struct{ cpu, memory, accelerators float64 }

// forget brings the average of the former use to a time.
func (a *Account) forget(now time.Time) {
	passed := now.Sub(a.recentAt)
	if passed <= 0 {
		return
	}
	use := a.Use()
	if a.recentAt.IsZero() {
		use = fleet.Capacity{}
	}
	a.recentAt = now
	toward := 1 - math.Exp(-passed.Seconds()/recentTime.Seconds())
	a.recent.cpu += toward * (float64(use.CPU) - a.recent.cpu)
	a.recent.memory += toward * (float64(use.Memory) - a.recent.memory)
	a.recent.accelerators += toward * (float64(use.Accelerators) - a.recent.accelerators)
}

// Level returns the tenant's dominant share divided by its weight: the largest share of a
// resource of all runners that its tasks use, with a part of what they used lately. Short tasks
// leave nothing to see of a large use between two passes; the former use does.
func (a *Account) Level(now time.Time, total fleet.Capacity) float64 {
	a.forget(now)
	use := a.Use()
	share := max(
		shareOf(use.CPU, a.recent.cpu, total.CPU),
		shareOf(use.Memory, a.recent.memory, total.Memory),
		shareOf(use.Accelerators, a.recent.accelerators, total.Accelerators),
	)
	return share / a.weight
}

func shareOf(use int64, recent float64, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return (float64(use) + recentPart*recent) / float64(total)
}

// Accept counts a job that was accepted at a time, and reports whether it is within the tenant's
// share: as many jobs a second as its weight, of which those of burstTime may come at once. A
// tenant without a weight has no limit. Times are in ascending order; an earlier one counts as
// the last.
func (a *Account) Accept(at time.Time) bool {
	if a.rate == 0 {
		return true
	}
	burst := max(1, a.rate*burstTime.Seconds())
	switch {
	case a.filledAt.IsZero():
		a.tokens, a.filledAt = burst, at
	case at.After(a.filledAt):
		a.tokens += a.rate * at.Sub(a.filledAt).Seconds()
		a.filledAt = at
	}
	a.tokens = min(a.tokens, burst)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
