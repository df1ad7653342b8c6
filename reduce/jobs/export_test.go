package jobs

import (
	"fmt"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/shares"
)

// AuditShares recomputes what the tenants use from all runs, late starts and unresolved runs,
// and compares it with their accounts.
func AuditShares(s *State) error {
	o := s.ownership
	if o == nil || o.phase != phaseActive {
		return nil
	}
	want := make(map[*shares.Account]*recomputed)
	for t := range o.auditedTasks() {
		w := want[t.job().account]
		if w == nil {
			w = &recomputed{}
			want[t.job().account] = w
		}
		w.add(o, t)
	}
	var err error
	o.accounts.Each(func(a *shares.Account) {
		w := want[a]
		if w == nil {
			w = &recomputed{}
		}
		got := recomputed{sent: a.Sent(), planned: a.Use().Minus(a.Sent()), kept: a.Kept()}
		if got != *w {
			err = fmt.Errorf("account of %q: %+v, but its tasks use %+v", a.Name(), got, *w)
		}
	})
	return err
}

// recomputed is what the tasks of a tenant use.
type recomputed struct{ sent, planned, kept fleet.Capacity }

// auditedTasks returns all tasks that may use something.
func (o *ownership) auditedTasks() map[*task]bool {
	tasks := make(map[*task]bool)
	for _, r := range o.runners {
		for _, run := range r.runs {
			tasks[run.task] = true
		}
		for _, late := range r.lateStarts {
			tasks[late.task] = true
		}
	}
	for _, j := range o.jobs {
		for _, occ := range j.occurrences {
			for _, t := range occ.allTasks() {
				tasks[t] = true
			}
		}
	}
	for _, c := range o.countedUnresolved {
		tasks[c.task] = true
	}
	return tasks
}

// add adds what a task uses, found from the runners' side.
func (w *recomputed) add(o *ownership, t *task) {
	sent, planned := make(map[int64]bool), make(map[int64]bool)
	for _, r := range o.runners {
		if run, ok := r.runs[t.id()]; ok && run.task == t {
			if run.phase == runIntent {
				planned[run.attempt] = true
			} else {
				sent[run.attempt] = true
			}
		}
		for _, late := range r.lateStarts {
			if late.task == t {
				sent[late.attempt] = true
			}
		}
	}
	for _, u := range t.unresolved {
		if o.now().Sub(u.since) <= resolveLimit {
			sent[u.attempt] = true
		}
	}
	need := t.step.spec.Reservation()
	waits := t.phase == taskWaiting && t.attempt > 0 && !t.job().state.Final()
	switch {
	case t.step.spec.Speculative:
		for range sent {
			w.sent = w.sent.Plus(need)
		}
		for range planned {
			w.planned = w.planned.Plus(need)
		}
	case len(sent) > 0:
		w.sent = w.sent.Plus(need)
	case len(planned) > 0:
		w.planned = w.planned.Plus(need)
	case waits && t.step.spec.LongRunning:
		w.kept = w.kept.Plus(need)
	}
}

// BeyondShare returns the jobs that the owner has marked as beyond the share of their tenant, in
// order of acceptance; false if the entry does not own the jobs.
func BeyondShare(s *State) ([]fleet.JobID, bool) {
	if s.ownership == nil || s.ownership.phase != phaseActive {
		return nil, false
	}
	var out []fleet.JobID
	s.ownership.eachActive(func(j *job) {
		if j.beyond {
			out = append(out, j.id)
		}
	})
	return out, true
}

// EpochOf returns the epoch of a fencing token.
func EpochOf(token int64) int64 { return token >> tokenBits }

// FirstToken returns the lowest fencing token of a tenure.
func FirstToken(epoch int64) int64 { return epoch << tokenBits }

// ExamineGates examines now what ready tasks wait for.
func ExamineGates(s *State) {
	s.ownership.gates.examinedAt = s.ownership.startedAt
	s.ownership.examineGates()
	s.out = s.out[:0]
}
