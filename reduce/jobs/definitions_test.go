package jobs_test

import (
	"maps"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

// TestJobWhoseDefinitionOutlivesItsFinalStateDoesNotRunAgain has an owner die between the
// batches that store the final state of a job and drop its definition. Nobody dropped the
// definition later, and once the final state had expired, the next owner ran the job again.
func TestJobWhoseDefinitionOutlivesItsFinalStateDoesNotRunAgain(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 281, 2, 2)
	w.run(2 * time.Second)
	w.submit(jobID(0), twoStepJob())
	w.run(20 * time.Millisecond)
	begun := maps.Clone(w.store.records)
	w.run(6 * time.Second)
	w.mustState(jobID(0), fleet.JobDone)
	for key, r := range begun {
		if now, ok := w.store.records[key]; ok && now.Value == nil && key[0] == 'd' {
			w.store.records[key] = r
		}
	}
	must.NotNil(t, w.store.content().Jobs[0].Definition)
	starts := w.starts
	for range 3 {
		epoch, owner := w.store.newest().Epoch, w.owner()
		owner.kill()
		w.after(time.Second, owner.restart)
		w.runUntilOwnedAfter(epoch)
		w.run(3 * time.Minute)
	}
	must.Eq(t, starts, w.starts)
	must.SliceEmpty(t, w.store.content().Jobs)
}
