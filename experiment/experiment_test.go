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

// reserveTime is long enough for the planner to return what bursts do not need.
const reserveTime = 20 * time.Minute

func exampleText(t *testing.T, name string) *fleet.Text {
	t.Helper()
	src, err := os.ReadFile("../examples/" + name)
	must.NoError(t, err)
	text, err := services.Parse(name, src)
	must.NoError(t, err)
	return text
}

func TestPlannerHoldsLessInReserveWhereBufferIsDear(t *testing.T) {
	text := exampleText(t, "lawa.hcl")
	planned := Reserve{Text: text, Duration: reserveTime}.Run()
	fixed := Reserve{Text: text, Fixed: true, Duration: reserveTime}.Run()
	must.Less(t, fixed.Price, planned.Price)
	must.LessEq(t, fixed.FailedPPM, planned.FailedPPM)
}

func TestPlannerMovesNothingUnderBurstsWhereMovesAreDear(t *testing.T) {
	must.EqOp(t, 0, Reserve{Text: exampleText(t, "chaudhry.hcl"), Duration: reserveTime}.Run().Moves)
}

func TestWatchCountsRequestsOnLeavingInstances(t *testing.T) {
	s := &watchState{leaving: make(map[fleet.InstanceID]time.Time)}
	s.reduce(epoch, leftService{"a"})
	s.reduce(epoch.Add(time.Second), sent{"a"})
	s.reduce(epoch.Add(time.Second), sent{"b"})
	s.reduce(epoch.Add(leavingLimit+time.Second), sent{"a"})
	s.reduce(epoch.Add(5*time.Second), cameBack{"a"})
	s.reduce(epoch.Add(9*time.Second), sent{"a"})
	got := s.reduce(epoch, lateCountAsked{call: 7})
	must.Eq(t, []lateCount{{call: 7, late: 1, last: leavingLimit + time.Second}}, got)
}

func TestJainsIndex(t *testing.T) {
	same := map[fleet.MemberName]load.MemberSummary{"a": {InTime: 5}, "b": {InTime: 5}}
	must.EqOp(t, 1, jain(same))
	one := map[fleet.MemberName]load.MemberSummary{"a": {InTime: 5}, "b": {}}
	must.EqOp(t, 0.5, jain(one))
}
