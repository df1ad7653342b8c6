package dev_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

// raceCount is the number of races between two operators.
const raceCount = 200

// Two operators drain the same instance from the same epoch, for different purposes
// and through different entries. One order must be accepted, the other refused as a
// conflict.
func TestRacingDrainsGetOneOutcomeEach(t *testing.T) {
	f := startMaintenanceFleet(t, time.Millisecond)
	var epoch fleet.Offset
	won := [2]int{}
	for range raceCount {
		results := race(t, f, epoch)
		winner := 0
		if results[1].Outcome == "accepted" {
			winner = 1
		}
		won[winner]++
		must.EqOp(t, "accepted", results[winner].Outcome)
		must.EqOp(t, "conflict", results[1-winner].Outcome)
		epoch = undrain(t, f.Entries[winner])
	}
	t.Logf("won: %v", won)
}

func race(t *testing.T, f *dev.Fleet, epoch fleet.Offset) (results [2]entry.OperatorResult) {
	var wg sync.WaitGroup
	for i, purpose := range []string{"hold", "stop"} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, results[i] = order(t, f.Entries[i], "/v1/drains", entry.DrainRequest{
				Instance: "runner-01", Purpose: purpose, Epoch: &epoch, Force: true,
			})
		}()
	}
	wg.Wait()
	return results
}

// undrain ends the drain of the instance and returns the new epoch. It retries,
// because the instance may change from draining to drained meanwhile.
func undrain(t *testing.T, n *dev.EntryInstance) fleet.Offset {
	for range 100 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, n.OperatorsURL+"/v1/drains/runner-01", nil)
		must.NoError(t, err)
		if code, res := sendOrder(t, req); code == http.StatusOK {
			return res.Offset
		}
	}
	t.Fatal("the instance could not be undrained")
	return 0
}
