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
func drawEntries(rng *rand.Rand, n int, accounts ...*shares.Account) (out []shares.Entry) {
	classes := []admission.ValueClass{admission.ClassLongRunning, admission.ClassOnTime, admission.ClassLate, admission.ClassNoValue}
	for i := range n {
		out = append(out, shares.Entry{Index: i, Account: accounts[rng.Intn(len(accounts))], Waiting: admission.Waiting{
			Class: classes[rng.Intn(len(classes))], Priority: rng.Intn(3), Started: rng.Intn(2) == 0,
			LatestStart: start.Add(time.Duration(rng.Intn(10)) * time.Second),
		}})
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
		slices.SortStableFunc(before, compareBefore)
		q := shares.NewOrder(start, fleet.Capacity{}, entries)
		for _, want := range before {
			e, ok := q.Next()
			must.True(t, ok)
			must.Eq(t, want.Index, e.Index)
		}
		_, ok := q.Next()
		must.False(t, ok)
	}
}

// TestOrderYieldsEachEntryOnceByClassAndPriority draws queues of several tenants whose use grows
// as their work is placed.
func TestOrderYieldsEachEntryOnceByClassAndPriority(t *testing.T) {
	rng := rand.New(rand.NewSource(2))
	for n := range 200 {
		all, seen, last := shares.NewAccounts(), make(map[int]bool), admission.Waiting{}
		q := shares.NewOrder(start, allCores, drawEntries(rng, n, all.Of("a"), all.Of("b"), all.Of("c"), all.Of("")))
		for e, ok := q.Next(); ok; e, ok = q.Next() {
			must.False(t, seen[e.Index])
			must.LessEq(t, 0, cmp.Or(cmp.Compare(last.Class, e.Class), cmp.Compare(last.Priority, e.Priority)))
			seen[e.Index], last = true, e.Waiting
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
	all := configure(t, shares.NewAccounts(), &fleet.Tenant{Name: "a", Weight: 1}, &fleet.Tenant{Name: "b", Weight: 3})
	var entries []shares.Entry
	for i := range 80 {
		entries = append(entries, shares.Entry{Index: i, Account: all.Of([]fleet.TenantName{"a", "b"}[i/40]), Waiting: admission.Waiting{Class: admission.ClassOnTime}})
	}
	q, placed := shares.NewOrder(start, allCores, entries), make(map[fleet.TenantName]int)
	for range 40 {
		e, _ := q.Next()
		placed[e.Account.Name()]++
		e.Account.Change(start, none, planned, cores(1))
	}
	must.Eq(t, map[fleet.TenantName]int{"a": 10, "b": 30}, placed)
}

// TestLevelIsTheDominantShareAndFormerUse: a tenant that holds much memory and little CPU time has
// a large share. One whose tasks have just ended comes after one that had none, for some seconds.
func TestLevelIsTheDominantShareAndFormerUse(t *testing.T) {
	all := shares.NewAccounts()
	mustBeInOrder := func(now time.Time, first, second fleet.TenantName) {
		q := shares.NewOrder(now, allCores, []shares.Entry{{Account: all.Of(min(first, second))}, {Account: all.Of(max(first, second)), Index: 1}})
		e, _ := q.Next()
		must.Eq(t, first, e.Account.Name())
	}
	all.Of("a").Change(start, none, sent, fleet.Capacity{CPU: 1000, Memory: 5000})
	all.Of("b").Change(start, none, sent, fleet.Capacity{CPU: 20_000, Memory: 100})
	mustBeInOrder(start, "b", "a")
	all.Of("c").Change(start, none, sent, cores(50))
	now := start.Add(2 * time.Second)
	all.Of("c").Change(now, sent, none, cores(50))
	all.Of("d").Change(now, none, sent, cores(1))
	mustBeInOrder(now, "d", "c")
	mustBeInOrder(now.Add(time.Minute), "c", "d")
}

// TestJobsBeyondTheWeightAreMarked hands in jobs at twice the weight of a tenant: five seconds' worth
// and half of the rest are within its share. A small weight allows a job at a time, and times out of
// order are harmless. Neither a tenant without a weight, one that has left the configuration, nor the
// jobs of public queues have a limit. It guards against a rate that a replay changes, too.
func TestJobsBeyondTheWeightAreMarked(t *testing.T) {
	for range 2 {
		all := configure(t, shares.NewAccounts(), &fleet.Tenant{Name: "ann", Weight: 10}, &fleet.Tenant{Name: "small", Weight: 0.01}, &fleet.Tenant{Name: "free"})
		within := make(map[fleet.TenantName]int)
		for n := range time.Duration(400) {
			for _, name := range []fleet.TenantName{"ann", "small", "free", "gone", ""} {
				if all.Of(name).Accept(start.Add(n * 50 * time.Millisecond)) {
					within[name]++
				}
			}
		}
		must.Eq(t, map[fleet.TenantName]int{"ann": 50 + 199, "small": 1, "free": 400, "gone": 400, "": 400}, within)
		must.False(t, all.Of("small").Accept(start.Add(-time.Hour)))
		must.True(t, all.Of("small").Accept(start.Add(101*time.Second)))
	}
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

// BenchmarkOrder orders the steps that wait under overload, of many tenants, and places a tenth.
func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{1, 30, 300} {
		b.Run(fmt.Sprint("tenants=", n), func(b *testing.B) {
			all, accounts := shares.NewAccounts(), make([]*shares.Account, n)
			for i := range accounts {
				accounts[i] = all.Of(fleet.TenantName(fmt.Sprint(i)))
			}
			entries := drawEntries(rand.New(rand.NewSource(3)), 400, accounts...)
			work := make([]shares.Entry, len(entries))
			b.ReportAllocs()
			for b.Loop() {
				copy(work, entries)
				q := shares.NewOrder(start, allCores, work)
				for i := range entries {
					if e, _ := q.Next(); i%10 == 0 {
						e.Account.Change(start, none, planned, cores(1))
						e.Account.Change(start, planned, none, cores(1))
					}
				}
			}
		})
	}
}
