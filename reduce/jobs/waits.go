package jobs

import (
	"time"

	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/shares"
)

const (
	// waitLogInterval is the time between two lines about the waiting work of a tenant.
	waitLogInterval = time.Second
	// minLoggedWait is the wait from which it is logged why work waits. Under the usual load
	// work waits for some milliseconds.
	minLoggedWait = 500 * time.Millisecond
)

// Reasons for which the work of a tenant waits.
const (
	waitsForCap      effect.Reason = "cap"
	waitsForShare    effect.Reason = "share"
	waitsForOrder    effect.Reason = "order"
	waitsForCapacity effect.Reason = "capacity"
)

// wait is why the work of a tenant waits in a pool.
type wait struct {
	account *shares.Account
	// first is the first of the tenant's steps in the order, and steps their number.
	first  *step
	steps  int
	reason effect.Reason
	oldest time.Time
}

// explainWaits logs why the work of each tenant waits in a pool, unless it was logged lately.
func (o *ownership) explainWaits(p *pool) {
	if len(p.queue) == 0 || o.s.queues == nil || o.s.queues.Tenants.Count() == 0 || o.now().Sub(p.explainedAt) < waitLogInterval {
		return
	}
	p.explainedAt = o.now()
	for _, w := range o.waitsIn(p) {
		if w.account.Name() == "" || o.now().Sub(w.oldest) < minLoggedWait || !w.account.MayLog(o.now(), waitLogInterval) {
			continue
		}
		o.s.logDecision(effect.Decision{
			Name: "work waits", Tenant: w.account.Name(), Job: w.first.occ.job.id, Queue: w.first.occ.job.queue, Reason: w.reason,
			Count: w.steps, Age: o.now().Sub(w.oldest), Epoch: o.epoch,
		})
	}
}

// waitsIn returns why the work of each tenant waits in a pool, in the order of their first steps.
func (o *ownership) waitsIn(p *pool) []*wait {
	var waits []*wait
	byAccount := make(map[*shares.Account]*wait)
	order := o.rank(p.queue)
	for next, ok := order.Next(); ok; next, ok = order.Next() {
		st := p.queue[next.Index]
		w := byAccount[next.Account]
		if w == nil {
			w = &wait{account: next.Account, first: st, oldest: st.queuedAt, reason: waitReason(st, len(waits) > 0)}
			byAccount[next.Account] = w
			waits = append(waits, w)
		}
		w.steps++
		if st.queuedAt.Before(w.oldest) {
			w.oldest = st.queuedAt
		}
	}
	return waits
}

// waitReason returns why the first step of a tenant waits. othersAhead is set if steps of others
// come before it.
func waitReason(st *step, othersAhead bool) effect.Reason {
	switch {
	case st.held:
		return waitsForCap
	case othersAhead && st.occ.job.beyond:
		return waitsForShare
	case othersAhead:
		return waitsForOrder
	default:
		return waitsForCapacity
	}
}
