package jobentry

import (
	"testing"

	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"
)

// TestGaugesAreSetByReason sets a gauge for two reasons, up and down to zero.
func TestGaugesAreSetByReason(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newMetrics(scope)
	for _, g := range []effect.SetJobGauge{
		{Name: "tasks_waiting", Reason: "cap", Value: 3},
		{Name: "tasks_waiting", Reason: "gang", Value: 7},
		{Name: "tasks_waiting", Reason: "cap"},
		{Name: "runs_on_silent_runners", Value: 2},
	} {
		m.act(g)
	}
	got := map[string]float64{}
	for _, g := range scope.Snapshot().Gauges() {
		got[g.Name()+" "+g.Tags()["reason"]] = g.Value()
	}
	must.Eq(t, map[string]float64{"tasks_waiting cap": 0, "tasks_waiting gang": 7, "runs_on_silent_runners ": 2}, got)
}
