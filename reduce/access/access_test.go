package access_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/access"
	"github.com/shoenig/test/must"
)

var (
	start = time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)
	// strict requires keys within both limits, lax without one for withdrawn keys, and optional
	// only of configurations with tenants.
	strict   = access.Config{Required: true, RevocationLimit: 5 * time.Second, ApplyLimit: 3 * time.Second}
	lax      = access.Config{Required: true, ApplyLimit: 3 * time.Second}
	optional = access.Config{ApplyLimit: 2 * time.Second}
	none     = &fleet.Tenants{}
)

func tenants(t testing.TB, list ...*fleet.Tenant) *fleet.Tenants {
	out, err := fleet.NewTenants(list)
	must.NoError(t, err)
	return &out
}

// TestVerdictsByTheAgeOfTheConfirmation guards against a withdrawn key that is served, or a
// new one that is denied, by a configuration that is too old for either.
func TestVerdictsByTheAgeOfTheConfirmation(t *testing.T) {
	one := tenants(t, &fleet.Tenant{Name: "one", Keys: []string{"k"}})
	letters := map[access.Verdict]string{access.Allowed: "a", access.Denied: "d", access.Undecided: "u"}
	for _, c := range []struct {
		cfg     access.Config
		tenants *fleet.Tenants
		public  bool
		key     string
		// want is the first letters of the verdicts right after the confirmation, after 1.7, 1.8,
		// 2.6, 2.7, 4.4 and 4.5 s and an hour, and without one.
		want string
	}{
		{strict, one, false, "k", "aaaaaauuu"},
		{strict, one, false, "x", "dddduuuuu"},
		{strict, one, false, "", "dddduuuuu"},
		{strict, none, false, "k", "dddduuuuu"},
		{strict, one, true, "", "aaaaaaaaa"},
		{strict, one, true, "x", "aaaaaauuu"},
		{strict, one, true, "k", "aaaaaauuu"},
		{lax, one, false, "k", "aaaaaaaaa"},
		{lax, one, false, "x", "dddduuuuu"},
		{lax, one, true, "k", "aaaaaaaaa"},
		{optional, none, false, "", "aaaaaaaaa"},
		{optional, one, false, "", "dduuuuuuu"},
	} {
		got := ""
		for _, ms := range []time.Duration{0, 1700, 1800, 2600, 2700, 4400, 4500, 3_600_000, -1} {
			checker := access.New(c.cfg)
			if ms >= 0 {
				checker.Confirm(start)
				checker.Confirm(start.Add(-time.Minute)) // a read that was sent before a suspension
			}
			tenant, verdict := checker.Check(start.Add(ms*time.Millisecond), c.tenants, c.public, c.key)
			got += letters[verdict]
			must.Eq(t, verdict == access.Allowed && c.key == "k" && !c.public, tenant == "one", must.Sprint(c))
		}
		must.Eq(t, c.want, got, must.Sprint(c))
	}
}

// TestEntryWithAnsweredReadsAlwaysDecides: with long polls of 1.5 s a confirmation got 3 s old,
// and calls with unknown keys had no answer but 503 for a part of the time.
func TestEntryWithAnsweredReadsAlwaysDecides(t *testing.T) {
	for _, cfg := range []access.Config{
		strict, {Required: true, ApplyLimit: 2 * time.Second}, {Required: true, RevocationLimit: time.Second, ApplyLimit: 2 * time.Second},
	} {
		checker := access.New(cfg)
		// Each read is sent when the one before is answered, after its wait and a latency of 100 ms.
		interval := cfg.ReadWait(none) + 100*time.Millisecond
		for n := range time.Duration(10) {
			checker.Confirm(start.Add(n * interval))
			for age := interval; age < 2*interval; age += 10 * time.Millisecond {
				must.True(t, checker.MayDeny(start.Add(n*interval+age), none), must.Sprint(cfg))
				must.True(t, checker.MayAllow(start.Add(n*interval+age), none), must.Sprint(cfg))
			}
		}
	}
	must.Zero(t, optional.ReadWait(none), must.Sprint("a deployment without tenants reads as before"))
}

// checkOfMany returns a check of a key at an entry with many keys.
func checkOfMany(t testing.TB) func(key string) {
	keys := make([]string, 1600)
	for i := range keys {
		keys[i] = "key-" + strconv.Itoa(i)
	}
	checker, list := access.New(strict), tenants(t, &fleet.Tenant{Name: "one", Keys: keys})
	checker.Confirm(start)
	return func(key string) { checker.Check(start, list, false, key) }
}

// TestCheckAllocatesNothing guards the owner's and each entry's time for a call.
func TestCheckAllocatesNothing(t *testing.T) {
	check := checkOfMany(t)
	must.Zero(t, testing.AllocsPerRun(100, func() { check("key-17"); check("unknown") }))
}

func BenchmarkCheck(b *testing.B) {
	for _, key := range []string{"key-17", "unknown"} {
		b.Run(key, func(b *testing.B) {
			check := checkOfMany(b)
			b.ReportAllocs()
			for b.Loop() {
				check(key)
			}
		})
	}
}
