package openclients_test

import (
	"net/http"
	"sync"
	"testing"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/peer"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/shoenig/test/must"
)

const (
	// otherEntries is the number of entries that forward calls, and forwards the number
	// of calls that each forwards at once.
	otherEntries = 8
	forwards     = 32
)

// TestOwnerHoldsForwardedCalls guards against the largest jobs from many entries at once,
// which an owner decodes.
func TestOwnerHoldsForwardedCalls(t *testing.T) {
	p := startEntry(t)
	spec := &fleet.JobSpec{Steps: make([]fleet.Step, fleet.MaxJobTasks)}
	for i := range spec.Steps {
		spec.Steps[i].Count = 1
	}
	var calls sync.WaitGroup
	for range otherEntries {
		client := peer.NewJobsClient()
		t.Cleanup(client.Close)
		for range forwards {
			calls.Go(func() {
				// The queue does not exist, so that the owner keeps no job. A refusal or an
				// unknown outcome is right as well.
				_, _, _ = client.Forward(t.Context(), effect.Forward{
					Address: address(peers), Kind: effect.CallSubmit, Queue: "none", Version: 1, Job: "00000000000000b1", Spec: spec, Timeout: answerTimeout,
				})
			})
		}
	}
	calls.Wait()
	p.checkAlive(t)
	must.Eq(t, http.StatusOK, p.submit(t))
	peak := p.peakMB(t)
	t.Logf("peak resident memory %d MB", peak)
	must.LessEq(t, memoryMB, peak, must.Sprint("peak resident memory in MB"))
}
