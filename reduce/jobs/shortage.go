package jobs

import (
	"slices"

	"github.com/banyanrail/banyanrail/fleet"
)

// stepsThatMayFit returns the steps whose tasks may fit on some runner. When many
// steps wait for full runners, that is usually none.
func stepsThatMayFit(queue []*step, usable []*runner) []*step {
	var most fleet.Capacity
	for _, r := range usable {
		free := r.free()
		most.CPU = max(most.CPU, free.CPU)
		most.Memory = max(most.Memory, free.Memory)
		most.Accelerators = max(most.Accelerators, free.Accelerators)
	}
	out := make([]*step, 0, len(queue))
	for _, st := range queue {
		if most.Fits(st.spec.Reservation()) {
			out = append(out, st)
		}
	}
	return out
}

// leastNeeds returns an amount of each resource that every task of the steps needs.
func leastNeeds(queue []*step) fleet.Capacity {
	var least fleet.Capacity
	for i, st := range queue {
		needs := st.spec.Reservation()
		if i == 0 {
			least = needs
			continue
		}
		least.CPU = min(least.CPU, needs.CPU)
		least.Memory = min(least.Memory, needs.Memory)
		least.Accelerators = min(least.Accelerators, needs.Accelerators)
	}
	return least
}

// shortages holds the needs for which one pass over a queue found no runner.
// Free capacity only shrinks during a pass, so no runner has room for the tasks of
// steps that need as much or more.
type shortages struct{ needs []shortage }

type shortage struct {
	label string
	needs fleet.Capacity
}

// add records that no runner was found for a task of a step. It ignores steps with
// conditions beyond label and capacity, which say nothing about other steps.
func (s *shortages) add(st *step) {
	if st.occ.job.requiresAdvice || st.spec.MaxPerRunner > 0 {
		return
	}
	s.needs = append(s.needs, shortage{label: st.spec.Label, needs: st.spec.Reservation()})
}

// covers reports whether no runner can be found for a step because of a recorded
// shortage.
func (s *shortages) covers(st *step) bool {
	return slices.ContainsFunc(s.needs, func(n shortage) bool {
		return (n.label == "" || n.label == st.spec.Label) && st.spec.Reservation().Fits(n.needs)
	})
}
