package dev_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/infra"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// callOperators calls an operators' interface and returns the answer and its body.
func callOperators(t *testing.T, method, url string, body []byte) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(body))
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp, string(got)
}

// textInForce returns the services text that is in force at an entry, and its
// version.
func textInForce(t *testing.T, n *dev.EntryInstance) (string, fleet.Version) {
	t.Helper()
	resp, body := callOperators(t, http.MethodGet, n.OperatorsURL+"/v1/text", nil)
	version, err := strconv.ParseInt(resp.Header.Get(entry.HeaderVersion), 10, 64)
	must.NoError(t, err)
	return body, fleet.Version(version)
}

func waitVersion(t testing.TB, n *dev.EntryInstance, version fleet.Version) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		return status(t, n).Version == version
	}), wait.Gap(time.Millisecond), wait.Timeout(30*time.Second)))
}

func TestRacingPublishesGetOneOutcomeEach(t *testing.T) {
	const (
		rounds    = 200
		operators = 2
		// loseEvery is the number of rounds between two lost answers to an append.
		loseEvery = 3
	)
	f := startFleet(t)
	_, res := publish(t, f.Entries[0], "0", f.Text(8))
	base := res.Version
	for round := range rounds {
		for _, n := range f.Entries {
			waitVersion(t, n, base)
		}
		if round%loseEvery == 0 {
			must.NoError(t, f.Platform.SetLogFault(standin.LogFault{LoseAnswers: 1}))
		}
		var results [operators]entry.OperatorResult
		var wg sync.WaitGroup
		for op := range operators {
			wg.Go(func() {
				text := f.Text(100 + round*operators + op)
				_, results[op] = publish(t, f.Entries[op], strconv.FormatInt(int64(base), 10), text)
			})
		}
		wg.Wait()
		outcomes := results[0].Outcome + " " + results[1].Outcome
		winner := 0
		if results[1].Outcome == "accepted" {
			winner = 1
		}
		must.SliceContains(t, []string{"accepted conflict", "conflict accepted"}, outcomes)
		base = results[winner].Version
		last := f.Entries[2]
		waitVersion(t, last, base)
		text, version := textInForce(t, last)
		must.EqOp(t, base, version)
		must.StrContains(t, text, fmt.Sprintf("slots       = %d\n", 100+round*operators+winner))
	}
}

func TestTextPublishedDuringOutageIsNeverInForce(t *testing.T) {
	f := startFleet(t)
	_, res := publish(t, f.Entries[0], "0", f.Text(8))
	waitReady(t, f)
	must.NoError(t, f.Platform.SetLogFault(standin.LogFault{Down: true}))
	code, refused := publish(t, f.Entries[0], strconv.FormatInt(int64(res.Version), 10), f.Text(4))
	must.EqOp(t, http.StatusServiceUnavailable, code)
	must.EqOp(t, "log-unavailable", refused.Outcome)
	resp, _ := call(t, f.Entries[1], "survey", "served from the text in force")
	must.EqOp(t, http.StatusOK, resp.StatusCode)

	must.NoError(t, f.Platform.SetLogFault(standin.LogFault{}))
	code, next := publish(t, f.Entries[1], strconv.FormatInt(int64(res.Version), 10), f.Text(6))
	must.EqOp(t, http.StatusOK, code)
	for _, n := range f.Entries {
		waitVersion(t, n, next.Version)
		text, _ := textInForce(t, n)
		must.StrContains(t, text, "slots       = 6\n")
	}
}

func TestInvalidTextIsRefusedWithAllErrors(t *testing.T) {
	f := startFleet(t)
	text := []byte("pool \"p\" { slots = 0 }\nmember \"m\" { weight = 0 }\n")
	resp, detail := callOperators(t, http.MethodPut, f.Entries[0].OperatorsURL+"/v1/text?base=0", text)
	must.EqOp(t, http.StatusUnprocessableEntity, resp.StatusCode)
	must.StrContains(t, detail, `"line":1,"column":20`)
	must.StrContains(t, detail, `"line":2,"column":23`)
}

func TestEntryStartedAfterTrimInstallsTheSnapshot(t *testing.T) {
	f, err := dev.Start(dev.Config{
		Entries: 2, Runners: 1, Slots: 8, ProcessingTime: time.Millisecond, SnapshotInterval: 100 * time.Millisecond,
	})
	must.NoError(t, err)
	t.Cleanup(f.Stop)
	_, res := publish(t, f.Entries[0], "0", f.Text(8))
	waitReady(t, f)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		return status(t, f.Entries[1]).Offset > res.Version
	}), wait.Timeout(30*time.Second)))
	must.NoError(t, f.Platform.Trim(infra.StreamControl, res.Version+1))
	n, err := f.AddEntry(false)
	must.NoError(t, err)
	waitReady(t, f)
	text, version := textInForce(t, n)
	must.EqOp(t, res.Version, version)
	must.StrContains(t, text, "slots       = 8\n")
}

// patch publishes a change of the text in force.
func patch(t *testing.T, n *dev.EntryInstance, base fleet.Version, d *fleet.Delta) (int, string) {
	t.Helper()
	data, err := codec.EncodeDelta(d)
	must.NoError(t, err)
	resp, body := callOperators(t, http.MethodPatch, fmt.Sprintf("%s/v1/text?base=%d", n.OperatorsURL, base), data)
	return resp.StatusCode, body
}

func TestPatchChangesTheTextInForce(t *testing.T) {
	f := startFleet(t)
	n := f.Entries[0]
	add := &fleet.Delta{Members: []fleet.Member{{Name: "guagua", Weight: 2}}}
	code, _ := patch(t, n, 0, add)
	must.EqOp(t, http.StatusServiceUnavailable, code)
	_, first := publish(t, n, "0", f.Text(8))
	code, body := patch(t, n, first.Version, add)
	must.EqOp(t, http.StatusOK, code, must.Sprint(body))
	text, _ := textInForce(t, n)
	must.StrContains(t, text, `member "guagua"`)

	code, _ = patch(t, n, first.Version, add)
	must.EqOp(t, http.StatusConflict, code)
	code, body = patch(t, n, first.Version+1, &fleet.Delta{RemovedPools: []fleet.PoolName{"main"}})
	must.EqOp(t, http.StatusUnprocessableEntity, code)
	must.StrContains(t, body, "Unknown pool")
}

// A process may be paused between the decision to append and the append itself. An
// append whose deadline has passed must not be sent.
func TestAppendAfterItsDeadlineIsNotSent(t *testing.T) {
	late := func(ev event.Event, out []effect.Effect) []effect.Effect {
		for i, e := range out {
			if a, ok := e.(effect.Append); ok {
				a.Deadline = ev.Now.Add(-time.Second)
				out[i] = a
			}
		}
		return out
	}
	f, err := dev.Start(dev.Config{Entries: 1, Runners: 1, Slots: 8, ProcessingTime: time.Millisecond, Deps: entry.Deps{Tap: late}})
	must.NoError(t, err)
	t.Cleanup(f.Stop)
	code, res := publish(t, f.Entries[0], "0", f.Text(8))
	must.EqOp(t, http.StatusServiceUnavailable, code)
	must.EqOp(t, "log-unavailable", res.Outcome)
	must.EqOp(t, 0, status(t, f.Entries[0]).Offset)
}
