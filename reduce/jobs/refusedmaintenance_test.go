package jobs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
)

// TestRefusedMaintenanceTakesNoPlaceOfItsWave: an instance whose order was refused kept a place of its wave for good.
func TestRefusedMaintenanceTakesNoPlaceOfItsWave(t *testing.T) {
	for _, places := range []int{1, 2} {
		for _, outcome := range []effect.InstanceOutcome{effect.InstanceNotInWave, effect.InstanceBusy} {
			t.Run(fmt.Sprint(places, " places, outcome ", outcome), func(t *testing.T) {
				w := newWorld(t, 924, 3, 3)
				w.waves = []fleet.MaintenanceWave{{ID: 1, MaxAtOnce: places, Within: 25 * time.Second, Instances: []fleet.InstanceID{"m-r0", "m-r1", "m-r2"}}}
				w.withInstances(0)
				refused := false
				w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
					o, ok := out.(effect.OrderInstance)
					if !ok || o.Kind != effect.InstanceMaintain || refused {
						return true
					}
					refused = true
					e.postAfter(2*time.Millisecond, event.InstanceOrdered{
						Epoch: o.Epoch, Instance: o.Instance, Kind: o.Kind, Wave: o.Wave, Outcome: outcome,
					})
					return false
				}
				w.run(25 * time.Second)
				must.True(t, refused)
				must.True(t, w.waveDone[1], must.Sprint("the wave is not done within its time"))
				w.checkInvariants()
			})
		}
	}
}
