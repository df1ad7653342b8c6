package dev_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/infra"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// quickMaintenance shortens probation and the time limit of requests.
func quickMaintenance(f *dev.Fleet) string {
	text := strings.Replace(f.Text(8), "idempotent = true", "idempotent = true\n  time_limit = \"2s\"", 1)
	return text + "\nmaintenance {\n  max_step  = 2\n  probation = \"200ms\"\n}\n"
}

func startMaintenanceFleet(t *testing.T, work time.Duration) *dev.Fleet {
	t.Helper()
	f, err := dev.Start(dev.Config{Entries: 3, Runners: 4, Slots: 8, ProcessingTime: work})
	must.NoError(t, err)
	t.Cleanup(f.Stop)
	code, _ := publish(t, f.Entries[0], "0", quickMaintenance(f))
	must.EqOp(t, http.StatusOK, code)
	waitReady(t, f)
	return f
}

func order(t testing.TB, n *dev.EntryInstance, path string, body any) (int, entry.OperatorResult) {
	t.Helper()
	data, err := json.Marshal(body)
	must.NoError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, n.OperatorsURL+path, bytes.NewReader(data))
	must.NoError(t, err)
	return sendOrder(t, req)
}

func sendOrder(t testing.TB, req *http.Request) (int, entry.OperatorResult) {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	var res entry.OperatorResult
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&res))
	return resp.StatusCode, res
}

func phaseOf(st effect.Status, id fleet.InstanceID) string {
	for _, in := range st.Instances {
		if in.ID == id {
			return in.Phase
		}
	}
	return ""
}

func waitPhase(t *testing.T, n *dev.EntryInstance, id fleet.InstanceID, phase string) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		return phaseOf(status(t, n), id) == phase
	}), wait.Timeout(30*time.Second), wait.Gap(10*time.Millisecond)))
}

// load sends requests to the entries until stop is called, which returns the
// number of answers with a status other than 200.
func load(t *testing.T, entries []*dev.EntryInstance, callers int) (stop func() (failed int)) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-done:
					return
				default:
				}
				resp, body := call(t, entries[i%len(entries)], "survey", "x")
				if resp.StatusCode != http.StatusOK {
					t.Logf("status %d: %s", resp.StatusCode, body)
					mu.Lock()
					failed++
					mu.Unlock()
				}
			}
		}()
	}
	return func() int {
		close(done)
		wg.Wait()
		return failed
	}
}

func cutOffRequests(t *testing.T, f *dev.Fleet) int {
	t.Helper()
	n := 0
	for _, r := range f.Runners {
		runs, err := r.Runs(t.Context())
		must.NoError(t, err)
		n += runs.CutOff
	}
	return n
}

func TestRebootUnderLoadCutsOffNoRequest(t *testing.T) {
	f := startMaintenanceFleet(t, 200*time.Millisecond)
	stop := load(t, f.Entries, 18)
	code, _ := order(t, f.Entries[1], "/v1/drains", entry.DrainRequest{Instance: "runner-01", Purpose: "reboot"})
	must.EqOp(t, http.StatusOK, code)
	waitPhase(t, f.Entries[0], "runner-01", "probation")
	waitPhase(t, f.Entries[0], "runner-01", "in-service")
	must.EqOp(t, 0, stop())
	must.EqOp(t, 0, cutOffRequests(t, f))
	ordered, err := f.Platform.ExecutedCommands(t.Context())
	must.NoError(t, err)
	must.Len(t, 1, ordered)
}

func TestKilledEntryDoesNotStopADrain(t *testing.T) {
	f := startMaintenanceFleet(t, 100*time.Millisecond)
	f.Entries[2].Kill()
	must.NoError(t, f.Platform.SetListed([]infra.ListedInstance{
		{ID: string(f.Entries[0].ID), Role: infra.RoleEntry, Address: f.Entries[0].PeerAddress},
		{ID: string(f.Entries[1].ID), Role: infra.RoleEntry, Address: f.Entries[1].PeerAddress},
	}))
	stop := load(t, f.Entries[:2], 18)
	order(t, f.Entries[0], "/v1/drains", entry.DrainRequest{Instance: "runner-01", Purpose: "reboot"})
	waitPhase(t, f.Entries[1], "runner-01", "probation")
	waitPhase(t, f.Entries[1], "runner-01", "in-service")
	must.EqOp(t, 0, stop())
	must.EqOp(t, 0, cutOffRequests(t, f))
}

func TestLostAnswersOfTheWorkerControlRebootOnce(t *testing.T) {
	f := startMaintenanceFleet(t, time.Millisecond)
	must.NoError(t, f.Platform.SetWorkerFault(standin.WorkerFault{LoseAnswers: 2}))
	order(t, f.Entries[0], "/v1/drains", entry.DrainRequest{Instance: "runner-01", Purpose: "reboot"})
	waitPhase(t, f.Entries[0], "runner-01", "probation")
	waitPhase(t, f.Entries[0], "runner-01", "in-service")
	ordered, err := f.Platform.ExecutedCommands(t.Context())
	must.NoError(t, err)
	must.Len(t, 1, ordered)
}

func TestWorkerControlThatIsDownDelaysAReboot(t *testing.T) {
	f := startMaintenanceFleet(t, time.Millisecond)
	must.NoError(t, f.Platform.SetWorkerFault(standin.WorkerFault{Down: true}))
	order(t, f.Entries[0], "/v1/drains", entry.DrainRequest{Instance: "runner-01", Purpose: "reboot"})
	waitPhase(t, f.Entries[1], "runner-01", "drained")
	must.NoError(t, f.Platform.SetWorkerFault(standin.WorkerFault{}))
	waitPhase(t, f.Entries[1], "runner-01", "in-service")
}

func TestWaveUnderLoadWithABrokenInstance(t *testing.T) {
	f := startMaintenanceFleet(t, 20*time.Millisecond)
	must.NoError(t, f.Platform.SetWorkerFault(standin.WorkerFault{Break: 1}))
	stop := load(t, f.Entries, 6)
	code, res := order(t, f.Entries[0], "/v1/waves", entry.WaveRequest{Pools: []fleet.PoolName{"main"}})
	must.EqOp(t, http.StatusOK, code)
	code, _ = order(t, f.Entries[1], "/v1/waves", entry.WaveRequest{})
	must.EqOp(t, http.StatusConflict, code)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		waves := status(t, f.Entries[2]).Waves
		return len(waves) == 1 && waves[0].Phase != "running"
	}), wait.Timeout(60*time.Second), wait.Gap(10*time.Millisecond)))
	wave := status(t, f.Entries[2]).Waves[0]
	must.EqOp(t, "done", wave.Phase)
	must.Len(t, 1, wave.Failed)
	must.EqOp(t, 3, wave.Done)
	must.EqOp(t, 0, stop())
	must.EqOp(t, 0, cutOffRequests(t, f))
	code, _ = order(t, f.Entries[0], "/v1/waves/"+strconv.FormatInt(int64(res.Offset), 10)+"/pause", struct{}{})
	must.EqOp(t, http.StatusConflict, code)
}
