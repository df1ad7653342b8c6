package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/reduce/allocation"
)

// releaseMargin is the number of instances by which a pool has to exceed its need before
// busy ones are released. A pool near its need would release instances and get them back.
const releaseMargin = 2

// releaseTime is how long a runner stays released without another plan. An owner that cannot
// be sure of its tenure for a while makes no plans, and moves no instances.
const releaseTime = time.Second

// limitNeeds limits the needs of pools to their shares if they exceed the supply.
func limitNeeds(plans []*poolPlan, spare *poolPlan) {
	supply, total := 0, 0
	needs := make([]allocation.Need, 0, len(plans))
	for _, p := range plans {
		supply += p.have
		total += p.need
		needs = append(needs, p.ranked)
	}
	if spare != nil {
		supply += spare.have
	}
	if total <= supply {
		return
	}
	for i, share := range allocation.Divide(supply, needs) {
		plans[i].need = share
	}
}

// releaseSurplus makes runners of pools with more instances than they need take no new
// tasks, as far as other pools lack instances and no idle ones are left. Tasks that run
// there end as usual. The choice is made anew with each plan.
//
// Load pattern: the queue whose turn has just ended still has a few tasks on each of its
// many runners, so that none of them becomes idle while the next queue waits for them.
func (o *ownership) releaseSurplus(plans []*poolPlan) {
	lacking := 0
	for _, p := range plans {
		lacking += max(0, p.missing())
	}
	for _, p := range plans {
		surplus := -p.missing()
		if surplus < releaseMargin {
			surplus = 0
		}
		n := min(surplus, lacking)
		lacking -= n
		o.release(p, n)
	}
}

// release makes n runners of a pool take no new tasks, and lets the others take them again.
// It chooses those with the least work that have no long-running tasks; those that were
// chosen before stay if they are still wanted.
func (o *ownership) release(p *poolPlan, n int) {
	pool := o.pool(p.name)
	candidates := make([]*runner, 0, len(pool.runners))
	for _, r := range pool.runners {
		if r.listed && !r.Draining && !r.vacating && r.counts.longRunning == 0 && (len(r.runs) > 0 || o.released(r)) {
			candidates = append(candidates, r)
		} else {
			o.setReleased(r, pool, false)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *runner) int {
		return cmp.Or(b.releasedUntil.Compare(a.releasedUntil), cmp.Compare(a.used.CPU, b.used.CPU))
	})
	for i, r := range candidates {
		o.setReleased(r, pool, i < n)
	}
}

// released reports whether a runner takes no new tasks because its instance is to move.
func (o *ownership) released(r *runner) bool { return o.now().Before(r.releasedUntil) }

func (o *ownership) setReleased(r *runner, p *pool, released bool) {
	switch {
	case released:
		if !o.released(r) {
			o.s.count("runners_released", "")
		}
		r.releasedUntil = o.now().Add(releaseTime)
	case o.released(r):
		r.releasedUntil = time.Time{}
		p.dirty = true // its room can be used again
	default:
		r.releasedUntil = time.Time{}
	}
}
