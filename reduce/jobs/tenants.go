package jobs

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/banyanrail/banyanrail/reduce/shares"
)

// countedRun is an unresolved run that counts at the account of its task's tenant.
type countedRun struct {
	task  *task
	since time.Time
}

// recount applies to the account of a task's tenant what the task uses now. It is called
// whenever that may have changed.
func (o *ownership) recount(t *task) {
	account := t.job().account
	claim := o.claimOf(t)
	if claim == t.claim || account == nil {
		return
	}
	from := t.claim
	t.claim = claim
	if account.Change(o.now(), from, claim, t.step.spec.Reservation()) {
		o.retryHeld(account)
	}
}

// retryHeld has all pools placed again: the cap of a tenant holds work of several pools. What it
// held counts as demand again, since a pool without room for it would not try it.
func (o *ownership) retryHeld(account *shares.Account) {
	for _, p := range o.sortedPools {
		p.dirty = true
		for _, st := range p.queue {
			if st.occ.job.account == account {
				st.held = false
			}
		}
	}
}

// claimOf returns what a task counts at its tenant's account. A task that does not run in
// several copies counts once, however many of its runs and starts may still be carried out:
// no two of them can run at the same time (mayStartOn, and the leases of unresolved runs have
// expired). So the restart of a task needs no more of the cap than the task had.
func (o *ownership) claimOf(t *task) shares.Claim {
	sent := t.attached - t.planned + len(t.lateStarts)
	for i := range t.unresolved {
		if u := &t.unresolved[i]; !u.expired(o.now()) && t.lateStart(u.attempt) == nil {
			sent++
		}
	}
	spec := t.step.spec
	switch {
	case spec.Speculative:
		return shares.Claim{Sent: sent, Planned: t.planned, Several: true}
	case sent > 0:
		return shares.Claim{Sent: 1}
	case t.planned > 0:
		return shares.Claim{Planned: 1}
	case spec.LongRunning && t.phase == taskWaiting && t.attempt > 0 && !t.job().state.Final():
		return shares.Claim{Kept: 1}
	default:
		return shares.Claim{}
	}
}

// expireCounted stops counting the unresolved runs whose outcome is waited for no longer.
func (o *ownership) expireCounted() {
	n := 0
	for n < len(o.countedUnresolved) && o.now().Sub(o.countedUnresolved[n].since) > resolveLimit {
		o.recount(o.countedUnresolved[n].task)
		n++
	}
	o.countedUnresolved = o.countedUnresolved[n:]
}

// releaseKept stops keeping capacity for the restarts of a job that has ended.
func (o *ownership) releaseKept(j *job) {
	for _, occ := range j.occurrences {
		for _, st := range occ.steps {
			if !st.spec.LongRunning {
				continue
			}
			for _, t := range st.tasks {
				o.recount(t)
			}
		}
	}
}

// capAllows reports whether the cap of its tenant lets a run be planned for a task.
func (o *ownership) capAllows(t *task, pass *pass) bool {
	account := t.job().account
	if !account.Capped() {
		return true
	}
	allows := account.MayPlan(t.claim, t.step.spec.Reservation(), o.unknownUse(t.job().tenant, pass))
	o.noteHeld(t.step, !allows)
	return allows
}

// noteHeld notes whether the cap of its tenant holds a step, and counts the steps that it does.
func (o *ownership) noteHeld(st *step, held bool) {
	if held && !st.heldCounted {
		st.heldCounted = true
		o.s.count("tenant_steps_held", effect.Reason(o.s.tenantLabels.Of(st.occ.job.tenant)))
	}
	st.held = held
}

// capAllowsGang reports whether the cap lets the runs of all tasks of a gang be planned.
func (o *ownership) capAllowsGang(st *step, pass *pass) bool {
	account := st.occ.job.account
	if !account.Capped() {
		return true
	}
	need := st.spec.Reservation()
	trial := *account
	for _, t := range st.tasks {
		if !trial.MayPlan(t.claim, need, o.unknownUse(t.job().tenant, pass)) {
			account.Hold()
			o.noteHeld(st, true)
			return false
		}
		next := t.claim
		if next.Planned++; !next.Several {
			next.Planned, next.Kept = 1-next.Sent, 0
		}
		trial.Change(o.now(), t.claim, next, need)
	}
	o.noteHeld(st, false)
	return true
}

// formerStopTime is how long after a job has ended a run of it may still be stopping: its lease
// expires after ten seconds at most, and the clocks of two owners differ by some seconds.
const formerStopTime = 20 * time.Second

// noteFormerlyStopping notes what runs of a job that has ended may still use, because the former
// owner died while it stopped them.
func (o *ownership) noteFormerlyStopping(j *job, p *ledger.Progress) {
	if p.Stopping == (fleet.Capacity{}) {
		return
	}
	j.tenant, j.formerlyStopping = p.Tenant, p.Stopping
	if o.now().Sub(p.Ended) < formerStopTime {
		o.formerlyStopping[p.Tenant] = o.formerlyStopping[p.Tenant].Plus(p.Stopping)
	}
}

// unknownUse returns what runs of a tenant's ended jobs may be using that no record lists as
// runs: those that a former owner was stopping when it died. They count until the leases of
// former owners have expired, on every runner: one that is not listed yet may run them too.
// Runners that have answered lengthen the leases of what they run, until it is stopped.
func (o *ownership) unknownUse(tenant fleet.TenantName, pass *pass) fleet.Capacity {
	use, ok := o.formerlyStopping[tenant]
	if !ok {
		return use
	}
	if !pass.formerStopsChecked {
		pass.formerStopsChecked = true
		runsStrays := func(r *runner) bool { return r.strays > 0 }
		if o.now().After(o.formerLeasesUntil) && !slices.ContainsFunc(o.sortedRunners, runsStrays) {
			clear(o.formerlyStopping)
		}
	}
	return o.formerlyStopping[tenant]
}

// stopping returns the capacity of the job's runs that may not have stopped, for the next owner.
func (j *job) stopping() fleet.Capacity {
	c := j.formerlyStopping
	for _, occ := range j.occurrences {
		for _, st := range occ.steps {
			for _, t := range st.tasks {
				if t.run != nil || len(t.lateStarts) > 0 {
					c = c.Plus(st.spec.Reservation())
				}
			}
		}
	}
	return c
}

// mayStart reports whether the cap of its tenant lets the start of a planned run be sent.
func (o *ownership) mayStart(run *run) bool {
	t := run.task
	return t.job().account.MayStart(t.claim, run.reserved)
}

// reasonAboveCap is the reason for giving up a planned run.
const reasonAboveCap effect.Reason = "its tenant is above the cap"

// dropPlanned gives up a run that was planned before the cap of its tenant was lowered, with the
// others of its gang whose starts were not sent.
func (o *ownership) dropPlanned(run *run) {
	t := run.task
	o.s.logDecision(effect.Decision{
		Name: "planned run given up", Task: t.id().String(), Attempt: run.attempt, Runner: run.runner.ID, Queue: t.job().queue,
		Reason: reasonAboveCap, Epoch: o.epoch, Age: o.now().Sub(run.createdAt),
	})
	o.s.count("planned_runs_given_up", reasonAboveCap)
	if !t.step.spec.Gang {
		o.requeueUnstarted(run)
		return
	}
	for _, member := range t.step.tasks {
		if r := member.run; r != nil && r.phase == runIntent && r.attempt == run.attempt {
			o.requeueUnstarted(r)
		}
	}
}

// markShare marks a job as within the share of its tenant or beyond it. A new owner does so for
// the jobs in the ledger by the times at which they were accepted.
func (o *ownership) markShare(j *job) { j.beyond = !j.account.Accept(j.accepted) }

// countAccepted counts a job that this owner has accepted.
func (o *ownership) countAccepted(j *job) {
	if j.tenant == "" {
		return
	}
	label := effect.Reason(o.s.tenantLabels.Of(j.tenant))
	o.s.count("tenant_jobs_accepted", label)
	if j.beyond {
		o.s.count("tenant_jobs_beyond_share", label)
	}
}

// capacityInterval is the time between two additions of the capacity of all runners. Shares are
// compared with one another, so a total that is a moment old does no harm.
const capacityInterval = 100 * time.Millisecond

// totalCapacity returns the capacity of all runners that are listed. It is not needed, and zero,
// while all jobs are those of one tenant.
func (o *ownership) totalCapacity() fleet.Capacity {
	if o.accounts.Count() <= 1 {
		return fleet.Capacity{}
	}
	if o.now().Sub(o.capacityAt) >= capacityInterval {
		o.capacity, o.capacityAt = fleet.Capacity{}, o.now()
		for _, r := range o.sortedRunners {
			if r.listed {
				o.capacity = o.capacity.Plus(r.Capacity)
			}
		}
	}
	return o.capacity
}
