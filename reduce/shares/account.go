package shares

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// Claim is what one task counts at the account of its tenant, in numbers of its reservation.
// A task that does not run in several copies has one of them set at most.
type Claim struct {
	// Sent counts copies that may be running: their starts were sent, and they are not known
	// to have ended.
	Sent int
	// Planned counts copies whose starts were not sent.
	Planned int
	// Kept is one for a long-running task that waits for its restart.
	Kept int
	// Several is set for a task that may run in several copies at once. The start of any
	// other task adds nothing to what the task uses already: the owner starts it again only
	// where and when no earlier copy can run beside the new one.
	Several bool
}

// replaced returns the number of reservations that the next start of the task replaces.
func (c Claim) replaced() int {
	if c.Several {
		return 0
	}
	return c.Sent + c.Planned
}

// Account is what one tenant uses of the fleet, and what it may use.
type Account struct {
	name fleet.TenantName
	// number is the account's place among all in the order in which they were opened.
	number int
	cap    fleet.Capacity
	// weight is the tenant's part where tenants share, and rate the number of jobs a second
	// that it is owed; zero for no limit.
	weight, rate float64

	sent, planned, kept fleet.Capacity
	// blocked is set once work was held by the cap, until less is in use.
	blocked bool
	// recent is the average of the former use at recentAt, in which older use counts less.
	recent   amounts
	recentAt time.Time
	// tokens is the number of jobs that the tenant was owed at filledAt.
	tokens   float64
	filledAt time.Time
	// loggedAt is when it was last logged why the tenant's work waits.
	loggedAt time.Time
}

// Name returns the name of the tenant; empty for the jobs of public queues.
func (a *Account) Name() fleet.TenantName { return a.name }

// Use returns the capacity that the tenant's tasks use or are planned to use.
func (a *Account) Use() fleet.Capacity { return a.sent.Plus(a.planned) }

// Sent returns the part of the use of which the starts were sent.
func (a *Account) Sent() fleet.Capacity { return a.sent }

// Kept returns the capacity that is kept for restarts.
func (a *Account) Kept() fleet.Capacity { return a.kept }

// Capped reports whether the tenant has a cap.
func (a *Account) Capped() bool { return a.cap != fleet.Capacity{} }

// Change replaces the claim of a task that needs a capacity. It returns true if work that was
// held by the cap may start now.
func (a *Account) Change(now time.Time, from, to Claim, need fleet.Capacity) bool {
	a.forget(now)
	a.sent = a.sent.Plus(times(need, to.Sent-from.Sent))
	a.planned = a.planned.Plus(times(need, to.Planned-from.Planned))
	a.kept = a.kept.Plus(times(need, to.Kept-from.Kept))
	less := to.Sent+to.Planned+to.Kept < from.Sent+from.Planned+from.Kept
	freed := less && a.blocked
	if freed {
		a.blocked = false
	}
	return freed
}

// MayPlan reports whether a run may be planned for a task with a claim that needs a capacity.
// unknown is what tasks of unknown tenants may be using. What is kept for restarts is left
// to them.
func (a *Account) MayPlan(claim Claim, need, unknown fleet.Capacity) bool {
	if !a.Capped() {
		return true
	}
	used := a.Use().Minus(times(need, claim.replaced())).Plus(unknown)
	if claim.Kept == 0 {
		used = used.Plus(a.kept)
	}
	ok := admits(a.cap, used, need)
	a.blocked = a.blocked || !ok
	return ok
}

// MayStart reports whether the start of a planned run may be sent, for a task with a claim that
// needs a capacity. Runs that are only planned are left out, so that of several that fit no
// more after the cap was lowered, the first ones start.
func (a *Account) MayStart(claim Claim, need fleet.Capacity) bool {
	if !a.Capped() {
		return true
	}
	used := a.sent
	if !claim.Several {
		used = used.Minus(times(need, claim.Sent))
	}
	ok := admits(a.cap, used, need)
	a.blocked = a.blocked || !ok
	return ok
}

// admits reports whether a task may be added to what is used. A task larger than what is left
// is admitted while less than half of the cap is in use, since it would wait forever
// otherwise. So the use exceeds the cap by one task at most.
func admits(limit, used, need fleet.Capacity) bool {
	return admitsOf(limit.CPU, used.CPU, need.CPU) &&
		admitsOf(limit.Memory, used.Memory, need.Memory) &&
		admitsOf(limit.Accelerators, used.Accelerators, need.Accelerators)
}

func admitsOf(limit, used, need int64) bool {
	return limit == 0 || used+need <= limit || 2*used < limit
}

func times(c fleet.Capacity, n int) fleet.Capacity {
	k := int64(n)
	return fleet.Capacity{CPU: k * c.CPU, Memory: k * c.Memory, Accelerators: k * c.Accelerators}
}

// Hold notes that work is held by the cap.
func (a *Account) Hold() { a.blocked = true }

// MayLog reports whether a line about the tenant's waiting work may be logged, and notes it. At
// most one is logged in an interval.
func (a *Account) MayLog(now time.Time, interval time.Duration) bool {
	if now.Sub(a.loggedAt) < interval {
		return false
	}
	a.loggedAt = now
	return true
}
