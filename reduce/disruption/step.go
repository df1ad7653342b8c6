package disruption

import (
	"github.com/banyanrail/banyanrail/fleet"
)

// NextStep returns the pending instances that a wave drains next. Pending is ordered
// by data centre and rack. A step stays within one data centre, so that a fault
// that it brings stays within one failure domain. It takes no more than the text's MaxStep
// and the pools' allowance. A data centre of which none can be spared is passed
// over for a later step.
func NextStep(in Input, pending []fleet.InstanceID) []fleet.InstanceID {
	centre := make(map[fleet.InstanceID]fleet.DataCentre, len(in.Text.Instances))
	for _, i := range in.Text.Instances {
		centre[i.ID] = i.DataCentre
	}
	left := Allowance(in)
	limit := max(1, in.Text.Maintenance.MaxStep)
	var step []fleet.InstanceID
	for _, id := range pending {
		pool, known := in.Pools[id]
		if !known || in.Out[id] || left[pool] < 1 {
			continue
		}
		if len(step) > 0 && centre[id] != centre[step[0]] {
			break
		}
		step = append(step, id)
		left[pool]--
		if len(step) == limit {
			break
		}
	}
	return step
}
