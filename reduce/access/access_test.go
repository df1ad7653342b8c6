package access_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/access"
	"github.com/shoenig/test/must"
)

var start = time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)

func tenants(t testing.TB, list ...*fleet.Tenant) *fleet.Tenants {
	t.Helper()
	out, err := fleet.NewTenants(list)
	must.NoError(t, err)
	return &out
}

// strict is what a deployment with both limits requires.
var strict = access.Config{Required: true, RevocationLimit: 5 * time.Second, ApplyLimit: 3 * time.Second}

// TestVerdictsByTheAgeOfTheConfirmation guards against a withdrawn key that is served, or a
// new one that is denied, by a configuration that is too old for either.
func TestVerdictsByTheAgeOfTheConfirmation(t *testing.T) {
	lax := strict
	lax.RevocationLimit = 0
	one := tenants(t, &fleet.Tenant{Name: "one", Keys: []string{"k"}})
	none := tenants(t)
	const never = -1
	for name, c := range map[string]struct {
		cfg     access.Config
		tenants *fleet.Tenants
		public  bool
		key     string
		age     time.Duration
		want    access.Verdict
		tenant  fleet.TenantName
	}{
		"known key":                             {strict, one, false, "k", 4400 * time.Millisecond, access.Allowed, "one"},
		"known key, old":                        {strict, one, false, "k", 4500 * time.Millisecond, access.Undecided, ""},
		"known key, never confirmed":            {strict, one, false, "k", never, access.Undecided, ""},
		"known key, old, no limit":              {lax, one, false, "k", time.Hour, access.Allowed, "one"},
		"unknown key":                           {strict, one, false, "x", 2600 * time.Millisecond, access.Denied, ""},
		"unknown key, old":                      {strict, one, false, "x", 2700 * time.Millisecond, access.Undecided, ""},
		"unknown key, old, no limit":            {lax, one, false, "x", 2700 * time.Millisecond, access.Undecided, ""},
		"missing key":                           {strict, one, false, "", 0, access.Denied, ""},
		"missing key, never confirmed":          {strict, one, false, "", never, access.Undecided, ""},
		"no tenants, keys required":             {strict, none, false, "k", 0, access.Denied, ""},
		"no tenants, no keys required":          {access.Config{ApplyLimit: 2 * time.Second}, none, false, "", never, access.Allowed, ""},
		"tenants, no keys required":             {access.Config{ApplyLimit: 2 * time.Second}, one, false, "", 0, access.Denied, ""},
		"public queue":                          {strict, one, true, "", never, access.Allowed, ""},
		"public queue, unknown key":             {strict, one, true, "x", 0, access.Allowed, ""},
		"public queue, key that may be gone":    {strict, one, true, "k", never, access.Undecided, ""},
		"public queue, key, old, without limit": {lax, one, true, "k", never, access.Allowed, ""},
	} {
		checker := access.New(c.cfg)
		now := start
		if c.age != never {
			checker.Confirm(start)
			checker.Confirm(start.Add(-time.Minute)) // a read that was sent before a suspension
			now = start.Add(c.age)
		}
		tenant, verdict := checker.Check(now, c.tenants, c.public, c.key)
		must.Eq(t, c.want, verdict, must.Sprint(name))
		must.Eq(t, c.tenant, tenant, must.Sprint(name))
	}
}

// TestEntryWithAnsweredReadsAlwaysDecides: with long polls of 1.5 s a confirmation got 3 s old,
// and calls with unknown keys had no answer but 503 for a part of the time.
func TestEntryWithAnsweredReadsAlwaysDecides(t *testing.T) {
	none := tenants(t)
	for _, cfg := range []access.Config{
		strict, {Required: true, ApplyLimit: 2 * time.Second}, {Required: true, RevocationLimit: time.Second, ApplyLimit: 2 * time.Second},
	} {
		wait := cfg.ReadWait(none)
		checker := access.New(cfg)
		const latency = 100 * time.Millisecond
		// Each read is sent when the one before is answered, after its wait and the latency.
		for n := range 10 {
			sent := start.Add(time.Duration(n) * (wait + latency))
			answered, next := sent.Add(wait+latency), sent.Add(2*(wait+latency))
			checker.Confirm(sent)
			for now := answered; now.Before(next); now = now.Add(10 * time.Millisecond) {
				must.True(t, checker.MayDeny(now, none), must.Sprint(cfg))
				must.True(t, checker.MayAllow(now, none), must.Sprint(cfg))
			}
		}
	}
	must.Zero(t, (&access.Config{ApplyLimit: 2 * time.Second}).ReadWait(none), must.Sprint("a deployment without tenants reads as before"))
}

// TestCheckAllocatesNothing guards the owner's and each entry's time for a call.
func TestCheckAllocatesNothing(t *testing.T) {
	checker, list := access.New(strict), manyTenants(t)
	checker.Confirm(start)
	must.Zero(t, testing.AllocsPerRun(100, func() {
		checker.Check(start, list, false, "key-17-3")
		checker.Check(start, list, false, "unknown")
	}))
}

func manyTenants(t testing.TB) *fleet.Tenants {
	t.Helper()
	var list []*fleet.Tenant
	for i := range 200 {
		tenant := &fleet.Tenant{Name: fleet.TenantName("tenant-" + strconv.Itoa(i))}
		for k := range 8 {
			tenant.Keys = append(tenant.Keys, "key-"+strconv.Itoa(i)+"-"+strconv.Itoa(k))
		}
		list = append(list, tenant)
	}
	return tenants(t, list...)
}

func BenchmarkCheck(b *testing.B) {
	checker, list := access.New(strict), manyTenants(b)
	checker.Confirm(start)
	for name, key := range map[string]string{"known": "key-17-3", "unknown": "key-17-9"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				checker.Check(start, list, false, key)
			}
		})
	}
}
