package jobs

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// Weights of racks and data centres in a runner's score. rackScore exceeds what packing
// long-running tasks on few runners counts; dataCentreScore does not.
const (
	rackScore       = -300_000
	dataCentreScore = -1000
)

// rackUse counts the runners of a pool with runs by rack, as of a pass that places tasks.
type rackUse struct {
	at   time.Time
	busy map[fleet.Rack]int
}

// domainScore spreads tasks over racks and data centres where that costs no runner. A
// long-running step uses a rack for as many tasks as it uses a runner for, before it uses the
// same rack for more; of two tasks, each has its own rack. Tasks that come and go are packed,
// and a runner without runs is chosen from the rack that has the fewest with runs. A gang is
// lost with any of its tasks, so it is not spread.
//
// Load pattern: a rack loses power for some seconds, and all tasks in it are away.
func (o *ownership) domainScore(st *step, r *runner) int64 {
	switch {
	case r.Rack == "" || st.spec.Gang:
		return 0
	case st.spec.LongRunning:
		return st.spreadScore(r)
	case len(r.runs) == 0:
		return -int64(o.busyInRack(o.pool(r.Service), r.Rack))
	default:
		return 0
	}
}

// spreadScore is the domainScore of a runner for a task of a long-running step.
func (st *step) spreadScore(r *runner) int64 {
	inRack, inDataCentre := 0, 0
	for _, t := range st.tasks {
		if t.run == nil || t.run.runner.DataCentre != r.DataCentre {
			continue
		}
		inDataCentre++
		if t.run.runner.Rack == r.Rack {
			inRack++
		}
	}
	together := max(1, min(maxStepTasksPerRunner, st.spec.Count/2))
	return int64(inRack/together)*rackScore + int64(inDataCentre)*dataCentreScore
}

// busyInRack returns the number of a pool's runners with runs in a rack, as of the last pass.
func (o *ownership) busyInRack(p *pool, rack fleet.Rack) int {
	if p.racks.busy == nil || !p.racks.at.Equal(p.placedAt) {
		p.racks = rackUse{at: p.placedAt, busy: make(map[fleet.Rack]int)}
		for _, r := range p.runners {
			if len(r.runs) > 0 {
				p.racks.busy[r.Rack]++
			}
		}
	}
	return p.racks.busy[rack]
}
