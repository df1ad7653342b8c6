package disruption

import (
	"github.com/banyanrail/banyanrail/fleet"
)

// NextStep returns the pending instances that a wave drains next. The pending
// instances have to be ordered by data centre and rack. A step stays within one
// data centre, so that a fault that it causes stays within one failure domain.
// It takes at most MaxStep instances and no more than the pools' allowance. A
// data centre that can spare no instance is skipped until a later step.
func NextStep(in Input, pending []fleet.InstanceID) []fleet.InstanceID {
	centre := make(map[fleet.InstanceID]fleet.DataCentre, len(in.Text.Instances))
	for _, i := range in.Text.Instances {
		centre[i.ID] = i.DataCentre
	}
	allowance := Allowance(in)
	limit := max(1, in.Text.Maintenance.MaxStep)
	var step []fleet.InstanceID
	for _, id := range pending {
		pool, known := in.Pools[id]
		if !known || in.Unavailable[id] || allowance[pool] < 1 {
			continue
		}
		if len(step) > 0 && centre[id] != centre[step[0]] {
			break
		}
		step = append(step, id)
		allowance[pool]--
		if len(step) == limit {
			break
		}
	}
	return step
}
