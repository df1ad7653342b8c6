package jobs

import (
	"slices"

	"github.com/banyanrail/banyanrail/fleet"
)

// stepsThatMayFit returns the steps of which a task might fit on some runner. With many
// steps waiting for full runners, most events leave none.
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

// shortages are the needs for which one pass over a queue found no runner. Room
// only shrinks during a pass, so steps that need as much find none either.
type shortages struct{ needs []shortage }

type shortage struct {
	label string
	needs fleet.Capacity
}

// add notes that a task of a step found no runner. Steps with conditions of
// their own say nothing about others.
func (s *shortages) add(st *step) {
	if st.occ.job.requiresAdvice || st.spec.MaxPerRunner > 0 {
		return
	}
	s.needs = append(s.needs, shortage{label: st.spec.Label, needs: st.spec.Reservation()})
}

// covers reports whether a step can find no runner either.
func (s *shortages) covers(st *step) bool {
	return slices.ContainsFunc(s.needs, func(n shortage) bool {
		return (n.label == "" || n.label == st.spec.Label) && st.spec.Reservation().Fits(n.needs)
	})
}
