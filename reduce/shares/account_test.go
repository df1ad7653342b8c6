package shares_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/shares"
	"github.com/shoenig/test/must"
)

var (
	start               = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	none, planned, sent = shares.Claim{}, shares.Claim{Planned: 1}, shares.Claim{Sent: 1}
	kept, copies        = shares.Claim{Kept: 1}, shares.Claim{Sent: 1, Several: true}
)

func cores(n int64) fleet.Capacity { return fleet.Capacity{CPU: 1000 * n, Memory: 100 * n} }

// configure applies a configuration of tenants to accounts.
func configure(t testing.TB, all *shares.Accounts, list ...*fleet.Tenant) *shares.Accounts {
	index, err := fleet.NewTenants(list)
	must.NoError(t, err)
	all.Configure(&index)
	return all
}

// capped returns the accounts of a tenant with a cap, and its account.
func capped(t *testing.T, limit fleet.Capacity) (*shares.Accounts, *shares.Account) {
	all := configure(t, shares.NewAccounts(), &fleet.Tenant{Name: "ann", Cap: limit})
	return all, all.Of("ann")
}

// TestUseExceedsACapByOneTaskAtMost plans and starts tasks of all sizes as the account allows. It
// guards against a rule that is met by the plans but not by the starts.
func TestUseExceedsACapByOneTaskAtMost(t *testing.T) {
	for largest := int64(1); largest < 30; largest++ {
		_, a := capped(t, cores(10))
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
	_, a := capped(t, fleet.Capacity{Memory: 100})
	a.Change(start, none, sent, fleet.Capacity{CPU: 1_000_000, Memory: 90})
	must.True(t, a.MayPlan(none, fleet.Capacity{CPU: 1_000_000, Memory: 10}, fleet.Capacity{}))
	must.False(t, a.MayPlan(none, fleet.Capacity{Memory: 11}, fleet.Capacity{}))
	must.False(t, a.MayPlan(none, fleet.Capacity{Memory: 10}, fleet.Capacity{Memory: 1}), must.Sprint("what is unknown counts"))
}

// TestRestartsHaveTheirRoom guards against kept capacity that is given away, restarts that wait for
// their former run or for one another, and copies of a task that replace one another.
func TestRestartsHaveTheirRoom(t *testing.T) {
	for _, c := range []struct {
		limit int64
		used  []shares.Claim // of tasks of 4 cores each
		task  shares.Claim
		need  int64
		may   bool
	}{
		{10, []shares.Claim{kept, kept}, none, 3, false},
		{10, []shares.Claim{kept, kept}, none, 2, true},
		{10, []shares.Claim{kept, kept}, kept, 4, true},
		{6, []shares.Claim{kept, kept}, kept, 4, true},
		{6, []shares.Claim{planned, kept}, kept, 4, false},
		{6, []shares.Claim{sent}, sent, 4, true},
		{6, []shares.Claim{sent}, copies, 4, false},
	} {
		_, a := capped(t, cores(c.limit))
		for _, claim := range c.used {
			a.Change(start, none, kept, cores(4))
			a.Change(start, kept, claim, cores(4))
		}
		must.Eq(t, c.may, a.MayPlan(c.task, cores(c.need), fleet.Capacity{}), must.Sprint(c))
		if c.task.Sent > 0 {
			must.Eq(t, c.may, a.MayStart(c.task, cores(c.need)), must.Sprint(c))
		}
	}
}

// TestLoweredCapLetsTheFirstPlannedRunsStart: of the planned runs, those start that still fit.
func TestLoweredCapLetsTheFirstPlannedRunsStart(t *testing.T) {
	all, a := capped(t, cores(10))
	a.Change(start, none, sent, cores(4))
	a.Change(start, none, planned, cores(2))
	a.Change(start, none, planned, cores(2))
	configure(t, all, &fleet.Tenant{Name: "ann", Cap: cores(6)})
	must.True(t, a.MayStart(planned, cores(2)))
	a.Change(start, planned, sent, cores(2))
	must.False(t, a.MayStart(planned, cores(2)))
	must.False(t, a.MayPlan(none, fleet.Capacity{}, fleet.Capacity{}), must.Sprint("above the cap, nothing is planned"))
	must.False(t, a.Change(start, sent, sent, cores(4)))
	must.True(t, a.Change(start, sent, none, cores(4)), must.Sprint("held work may go on"))
	configure(t, all)
	must.True(t, a.MayPlan(none, cores(100), fleet.Capacity{}), must.Sprint("a tenant that has left has no cap"))
}
