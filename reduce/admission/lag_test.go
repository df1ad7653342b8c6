package admission_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/reduce/admission"
	"github.com/shoenig/test/must"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestLagDeclinesLikeAQueueThatNothingJoins(t *testing.T) {
	var lag admission.Lag
	must.Eq(t, 0, lag.At(start))
	lag.Observe(start, 300*time.Millisecond)
	lag.Observe(start.Add(10*time.Millisecond), 5*time.Millisecond)
	must.Eq(t, 200*time.Millisecond, lag.At(start.Add(100*time.Millisecond)))
	must.Eq(t, 0, lag.At(start.Add(time.Second)))
	lag.Observe(start.Add(time.Second), 50*time.Millisecond)
	must.Eq(t, 50*time.Millisecond, lag.At(start.Add(time.Second)))
}

func TestPlanningGetsRarerBeforePlacing(t *testing.T) {
	const base, lag = 100 * time.Millisecond, 200 * time.Millisecond
	must.Eq(t, base, admission.Interval(base, 0, admission.PlanningWeight))
	placing := admission.Interval(base, lag, admission.PlacingWeight)
	must.Greater(t, base, placing)
	must.Greater(t, placing, admission.Interval(base, lag, admission.PlanningWeight))
}
