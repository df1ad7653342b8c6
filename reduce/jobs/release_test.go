package jobs_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

// TestBacklogOfOnePoolLeavesInstancesToOthers gives one pool a backlog that needs the whole
// fleet for long, and then work to another pool that has one instance. The first pool kept
// all instances until its backlog was done, because none of them was ever idle.
func TestBacklogOfOnePoolLeavesInstancesToOthers(t *testing.T) {
	w := newWorld(t, 131, 1, 8)
	w.withInstances(0)
	w.queues = fleet.NewQueues(3, []*fleet.Queue{
		{Name: "desk", Host: "host", Prefix: "/desk/", Service: "desk", MaxAttempts: 2, Stretch: 20, Slack: time.Minute},
		{Name: "lane", Host: "host", Prefix: "/lane/", Service: "lane", MaxAttempts: 2, Stretch: 20, Slack: time.Minute},
	}, []*fleet.JobService{{Name: "desk", EnforcesCapacity: true}, {Name: "lane", EnforcesCapacity: true}})
	w.rebootAll()
	w.run(8 * time.Second)
	spec := oneTaskJob(800 * time.Millisecond)
	spec.Steps[0].Count = 40
	for n := range 60 {
		w.submitTo("desk", jobID(n), spec)
	}
	w.run(2 * time.Second)
	before := w.instancesIn("lane")
	for n := range 20 {
		w.submitTo("lane", jobID(100+n), spec)
	}
	w.run(5 * time.Second)
	must.LessEq(t, 2, before)
	must.GreaterEq(t, 3, w.instancesIn("lane"))
	must.GreaterEq(t, 3, w.instancesIn("desk"), must.Sprint("the other pool keeps its share"))
	w.checkInvariants()
}
