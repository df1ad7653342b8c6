package jobs_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

// withTenants gives the world's configuration tenants whose keys are their names, and lets
// keyOf tell which of them hands in a job.
func withTenants(keyOf func(fleet.JobID) string, tenants ...*fleet.Tenant) func(*world) {
	return func(w *world) {
		w.keyOf = keyOf
		w.useTenants(tenants...)
	}
}

// useTenants puts a configuration with tenants in force. Entries that run have to be told.
func (w *world) useTenants(tenants ...*fleet.Tenant) {
	for _, t := range tenants {
		t.Keys = []string{string(t.Name)}
	}
	w.setTenants(w.t, tenants...)
}

// TestStoredJobKeepsItsTenant: the record of a job's definition lacked the tenant, so a new
// owner took all jobs for those of public queues, which have no cap.
func TestStoredJobKeepsItsTenant(t *testing.T) {
	w := newWorld(t, 801, 2, 2, withTenants(func(fleet.JobID) string { return "ann" }, &fleet.Tenant{Name: "ann"}))
	w.run(2 * time.Second)
	w.submit(jobID(1), longRunningJob(1, 1))
	w.run(time.Second)
	stored := w.store.content().Jobs
	must.SliceLen(t, 1, stored)
	must.Eq(t, "ann", stored[0].Definition.Tenant)
	w.checkInvariants()
}
