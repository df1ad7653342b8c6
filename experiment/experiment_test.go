package experiment

import (
	"os"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/load"
	"github.com/banyanrail/banyanrail/services"
	"github.com/shoenig/test/must"
)

// reserveTime is long enough for the planner to return instances that bursts do
// not need.
const reserveTime = 20 * time.Minute

func exampleText(t *testing.T, name string) *fleet.Text {
	t.Helper()
	src, err := os.ReadFile("../examples/" + name)
	must.NoError(t, err)
	text, err := services.Parse(name, src)
	must.NoError(t, err)
	return text
}

func TestPlannerKeepsFewerIdleInstancesWhereBufferIsExpensive(t *testing.T) {
	text := exampleText(t, "lawa.hcl")
	planned := Reserve{Text: text, Duration: reserveTime}.Run()
	fixed := Reserve{Text: text, Fixed: true, Duration: reserveTime}.Run()
	must.Less(t, fixed.Price, planned.Price)
	must.LessEq(t, fixed.FailedPPM, planned.FailedPPM)
}

func TestPlannerMovesNothingUnderBurstsWhereMovesAreExpensive(t *testing.T) {
	must.EqOp(t, 0, Reserve{Text: exampleText(t, "chaudhry.hcl"), Duration: reserveTime}.Run().Moves)
}

func TestWatchCountsRequestsOnDrainingInstances(t *testing.T) {
	s := &watchState{leaving: make(map[fleet.InstanceID]time.Time)}
	s.reduce(epoch, instanceDrained{"a"})
	s.reduce(epoch.Add(time.Second), requestSent{"a"})
	s.reduce(epoch.Add(time.Second), requestSent{"b"})
	s.reduce(epoch.Add(leavingGrace+time.Second), requestSent{"a"})
	s.reduce(epoch.Add(5*time.Second), instanceReturned{"a"})
	s.reduce(epoch.Add(9*time.Second), requestSent{"a"})
	got := s.reduce(epoch, lateCountRequested{call: 7})
	must.Eq(t, []lateCount{{call: 7, late: 1, last: leavingGrace + time.Second}}, got)
}

func TestJainIndex(t *testing.T) {
	same := map[fleet.MemberName]load.MemberSummary{"a": {InTime: 5}, "b": {InTime: 5}}
	must.EqOp(t, 1, jainIndex(same))
	one := map[fleet.MemberName]load.MemberSummary{"a": {InTime: 5}, "b": {}}
	must.EqOp(t, 0.5, jainIndex(one))
}
