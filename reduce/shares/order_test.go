package shares_test

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/admission"
	"github.com/banyanrail/banyanrail/reduce/shares"
	"github.com/shoenig/test/must"
)

var allCores = cores(100)

// drawEntries returns work of some accounts, much of it equal in rank.
func drawEntries(rng *rand.Rand, n int, accounts ...*shares.Account) []shares.Entry {
	classes := []admission.ValueClass{admission.ClassLongRunning, admission.ClassOnTime, admission.ClassLate, admission.ClassNoValue}
	out := make([]shares.Entry, 0, n)
	for i := range n {
		out = append(out, shares.Entry{Index: i, Account: accounts[rng.Intn(len(accounts))], Waiting: admission.Waiting{
			Class: classes[rng.Intn(len(classes))], Priority: rng.Intn(3), Started: rng.Intn(2) == 0,
			LatestStart: start.Add(time.Duration(rng.Intn(10)) * time.Second),
		}})
	}
	return out
}

// rest returns the indexes of the entries that are left.
func rest(q *shares.Order) []int {
	var out []int
	for e, ok := q.Next(); ok; e, ok = q.Next() {
		out = append(out, e.Index)
	}
	return out
}

// TestOrderOfOneTenantIsThatOfBefore compares the order on drawn queues with the stable sort
// that was in force before there were tenants. It guards earlier deployments against any change.
func TestOrderOfOneTenantIsThatOfBefore(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for n := range 200 {
		entries := drawEntries(rng, n, shares.NewAccounts().Of(""))
		before := slices.Clone(entries)
		slices.SortStableFunc(before, func(a, b shares.Entry) int {
			return cmp.Or(
				cmp.Compare(a.Class, b.Class), cmp.Compare(a.Priority, b.Priority), -compareBool(a.Started, b.Started),
				a.LatestStart.Compare(b.LatestStart),
			)
		})
		var want []int
		for _, e := range before {
			want = append(want, e.Index)
		}
		must.Eq(t, want, rest(shares.NewOrder(start, fleet.Capacity{}, entries)))
	}
}

// TestOrderYieldsEachEntryOnceByClassAndPriority draws queues of several tenants whose use grows
// as their work is placed.
func TestOrderYieldsEachEntryOnceByClassAndPriority(t *testing.T) {
	rng := rand.New(rand.NewSource(2))
	for n := range 200 {
		all := shares.NewAccounts()
		entries := drawEntries(rng, n, all.Of("a"), all.Of("b"), all.Of("c"), all.Of(""))
		q := shares.NewOrder(start, allCores, entries)
		seen := make(map[int]bool)
		var last admission.Waiting
		for e, ok := q.Next(); ok; e, ok = q.Next() {
			must.False(t, seen[e.Index])
			seen[e.Index] = true
			must.LessEq(t, 0, cmp.Or(cmp.Compare(last.Class, e.Class), cmp.Compare(last.Priority, e.Priority)))
			last = e.Waiting
			if rng.Intn(2) == 0 {
				e.Account.Change(start, none, planned, cores(1+int64(rng.Intn(5))))
			}
		}
		must.MapLen(t, n, seen)
	}
}

// TestPlacedTasksFollowTheWeights places work of two tenants with the weights 1 and 3, all in one
// pass. It guards against shares that are read once for a pass.
func TestPlacedTasksFollowTheWeights(t *testing.T) {
	all := shares.NewAccounts()
	all.Configure(tenants(t, &fleet.Tenant{Name: "a", Weight: 1}, &fleet.Tenant{Name: "b", Weight: 3}))
	var entries []shares.Entry
	for i := range 80 {
		name := fleet.TenantName("a")
		if i >= 40 {
			name = "b"
		}
		entries = append(entries, shares.Entry{Index: i, Account: all.Of(name), Waiting: admission.Waiting{Class: admission.ClassOnTime}})
	}
	q := shares.NewOrder(start, allCores, entries)
	placed := make(map[fleet.TenantName]int)
	for range 40 {
		e, _ := q.Next()
		placed[e.Account.Name()]++
		e.Account.Change(start, none, planned, cores(1))
	}
	must.Eq(t, map[fleet.TenantName]int{"a": 10, "b": 30}, placed)
}

// TestDominantShareDecides: a tenant that holds much memory and little CPU time has a large
// share.
func TestDominantShareDecides(t *testing.T) {
	all := shares.NewAccounts()
	a, b := all.Of("a"), all.Of("b")
	a.Change(start, none, sent, fleet.Capacity{CPU: 1000, Memory: 5000})
	b.Change(start, none, sent, fleet.Capacity{CPU: 20_000, Memory: 100})
	entries := []shares.Entry{{Index: 0, Account: a}, {Index: 1, Account: b}}
	must.Eq(t, []int{1, 0}, rest(shares.NewOrder(start, allCores, entries)))
}

// TestFormerUseCounts: a tenant whose tasks have just ended comes after one that had none, for
// some seconds.
func TestFormerUseCounts(t *testing.T) {
	all := shares.NewAccounts()
	a, b := all.Of("a"), all.Of("b")
	a.Change(start, none, sent, cores(50))
	now := start.Add(2 * time.Second)
	a.Change(now, sent, none, cores(50))
	b.Change(now, none, sent, cores(1))
	order := func(now time.Time) []int {
		return rest(shares.NewOrder(now, allCores, []shares.Entry{{Index: 0, Account: a}, {Index: 1, Account: b}}))
	}
	must.Eq(t, []int{1, 0}, order(now))
	must.Eq(t, []int{0, 1}, order(now.Add(time.Minute)))
}

// TestJobsBeyondTheWeightAreMarked hands in jobs at twice the weight: five seconds' worth and half
// of the rest are within the share. It guards against a rate that a replay changes.
func TestJobsBeyondTheWeightAreMarked(t *testing.T) {
	count := func() (within int) {
		all := shares.NewAccounts()
		all.Configure(tenants(t, &fleet.Tenant{Name: "ann", Weight: 10}))
		for n := range 400 {
			if all.Of("ann").Accept(start.Add(time.Duration(n) * 50 * time.Millisecond)) {
				within++
			}
		}
		return within
	}
	must.Eq(t, 50+199, count())
	must.Eq(t, count(), count())
}

// TestTenantsWithoutWeightHaveNoLimit: neither a tenant that the configuration gives no weight,
// one that has left it, nor the jobs of public queues have a limit. A small weight allows a job
// at a time, and times out of order are harmless.
func TestTenantsWithoutWeightHaveNoLimit(t *testing.T) {
	all := shares.NewAccounts()
	all.Configure(tenants(t, &fleet.Tenant{Name: "ann"}, &fleet.Tenant{Name: "small", Weight: 0.01}))
	for range 1000 {
		for _, name := range []fleet.TenantName{"ann", "gone", ""} {
			must.True(t, all.Of(name).Accept(start))
		}
	}
	small := all.Of("small")
	must.True(t, small.Accept(start))
	must.False(t, small.Accept(start.Add(-time.Hour)))
	must.False(t, small.Accept(start.Add(time.Second)))
	must.True(t, small.Accept(start.Add(101*time.Second)))
}

// TestLabelsAreBounded: clients choose no labels, but operators may list many tenants.
func TestLabelsAreBounded(t *testing.T) {
	var l shares.Labels
	got := make(map[string]bool)
	for n := range 100 {
		got[l.Of(fleet.TenantName(fmt.Sprint(n%50)))] = true
	}
	must.MapLen(t, 33, got)
	must.Eq(t, "7", l.Of("7"))
	must.Eq(t, "other", l.Of("40"))
}

// BenchmarkOrder orders the steps that wait under overload, of many tenants, and places a tenth of
// them.
func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{1, 30, 300} {
		b.Run(fmt.Sprint("tenants=", n), func(b *testing.B) {
			all := shares.NewAccounts()
			var accounts []*shares.Account
			for i := range n {
				accounts = append(accounts, all.Of(fleet.TenantName(fmt.Sprint(i))))
			}
			entries := drawEntries(rand.New(rand.NewSource(3)), 400, accounts...)
			work := make([]shares.Entry, len(entries))
			b.ReportAllocs()
			for b.Loop() {
				copy(work, entries)
				q := shares.NewOrder(start, allCores, work)
				for i := range entries {
					e, _ := q.Next()
					if i%10 == 0 {
						e.Account.Change(start, none, planned, cores(1))
						e.Account.Change(start, planned, none, cores(1))
					}
				}
			}
		})
	}
}
