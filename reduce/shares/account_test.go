package shares_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/shares"
	"github.com/shoenig/test/must"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

var (
	none    = shares.Claim{}
	planned = shares.Claim{Planned: 1}
	sent    = shares.Claim{Sent: 1}
	kept    = shares.Claim{Kept: 1}
)

func cores(n int64) fleet.Capacity { return fleet.Capacity{CPU: 1000 * n, Memory: 100 * n} }

// accountOf returns the account of a tenant with a cap.
func accountOf(t *testing.T, limit fleet.Capacity) (*shares.Accounts, *shares.Account) {
	all := shares.NewAccounts()
	all.Configure(tenants(t, &fleet.Tenant{Name: "ann", Cap: limit}))
	return all, all.Of("ann")
}

func tenants(t *testing.T, list ...*fleet.Tenant) *fleet.Tenants {
	index, err := fleet.NewTenants(list)
	must.NoError(t, err)
	return &index
}

// TestUseExceedsACapByOneTaskAtMost draws tasks of all sizes, plans them as the account allows
// and starts them. It guards against a rule that is met by the plans but not by the starts.
func TestUseExceedsACapByOneTaskAtMost(t *testing.T) {
	for largest := int64(1); largest < 30; largest++ {
		_, a := accountOf(t, cores(10))
		for n := range int64(50) {
			need := cores(1 + (n*7+largest)%largest)
			if !a.MayPlan(none, need, fleet.Capacity{}) {
				continue
			}
			a.Change(start, none, planned, need)
			must.True(t, a.MayStart(planned, need))
			a.Change(start, planned, sent, need)
			must.LessEq(t, max(10_000, 5000+need.CPU), a.Sent().CPU)
		}
		must.GreaterEq(t, 5000, a.Sent().CPU, must.Sprint("the cap is used"))
	}
}

// TestEachResourceHasItsCap: a cap of zero in a resource is none.
func TestEachResourceHasItsCap(t *testing.T) {
	_, a := accountOf(t, fleet.Capacity{Memory: 100})
	a.Change(start, none, sent, fleet.Capacity{CPU: 1_000_000, Memory: 90})
	must.True(t, a.MayPlan(none, fleet.Capacity{CPU: 1_000_000, Memory: 10}, fleet.Capacity{}))
	must.False(t, a.MayPlan(none, fleet.Capacity{Memory: 11}, fleet.Capacity{}))
	must.False(t, a.MayPlan(none, fleet.Capacity{Memory: 10}, fleet.Capacity{Memory: 1}), must.Sprint("what is unknown counts"))
}

// TestLoweredCapLetsTheFirstPlannedRunsStart: of the planned runs, those start that still fit.
func TestLoweredCapLetsTheFirstPlannedRunsStart(t *testing.T) {
	all, a := accountOf(t, cores(10))
	a.Change(start, none, sent, cores(4))
	a.Change(start, none, planned, cores(2))
	a.Change(start, none, planned, cores(2))
	all.Configure(tenants(t, &fleet.Tenant{Name: "ann", Cap: cores(6)}))
	must.True(t, a.MayStart(planned, cores(2)))
	a.Change(start, planned, sent, cores(2))
	must.False(t, a.MayStart(planned, cores(2)))
	must.False(t, a.MayPlan(none, fleet.Capacity{}, fleet.Capacity{}), must.Sprint("above the cap, nothing is planned"))
	must.False(t, a.Change(start, sent, sent, cores(4)))
	must.True(t, a.Change(start, sent, none, cores(4)), must.Sprint("held work may go on"))
	all.Configure(tenants(t))
	must.True(t, a.MayPlan(none, cores(100), fleet.Capacity{}), must.Sprint("a tenant that has left has no cap"))
}

// TestRestartsHaveTheirRoom: what is kept for restarts is for them alone, and two restarts that
// no longer fit together do not wait for one another.
func TestRestartsHaveTheirRoom(t *testing.T) {
	all, a := accountOf(t, cores(10))
	a.Change(start, none, kept, cores(4))
	a.Change(start, none, kept, cores(4))
	must.False(t, a.MayPlan(none, cores(3), fleet.Capacity{}))
	must.True(t, a.MayPlan(none, cores(2), fleet.Capacity{}))
	must.True(t, a.MayPlan(kept, cores(4), fleet.Capacity{}))
	all.Configure(tenants(t, &fleet.Tenant{Name: "ann", Cap: cores(6)}))
	must.True(t, a.MayPlan(kept, cores(4), fleet.Capacity{}))
	a.Change(start, kept, planned, cores(4))
	must.False(t, a.MayPlan(kept, cores(4), fleet.Capacity{}))
}

// TestRestartNeedsNoMoreThanTheTaskHas: a task whose former run may still be carried out counts
// already. Copies of a task that may run in several do not replace one another.
func TestRestartNeedsNoMoreThanTheTaskHas(t *testing.T) {
	_, a := accountOf(t, cores(6))
	a.Change(start, none, sent, cores(4))
	must.True(t, a.MayPlan(sent, cores(4), fleet.Capacity{}))
	must.True(t, a.MayStart(sent, cores(4)))
	copies := shares.Claim{Sent: 1, Several: true}
	must.False(t, a.MayPlan(copies, cores(4), fleet.Capacity{}))
	must.False(t, a.MayStart(copies, cores(4)))
}
