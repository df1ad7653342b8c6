package dev_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

func startFleet(t *testing.T) *dev.Fleet {
	t.Helper()
	f, err := dev.Start(dev.Config{Entries: 3, Runners: 2, Slots: 8, ProcessingTime: time.Millisecond})
	must.NoError(t, err)
	t.Cleanup(f.Stop)
	return f
}

func publish(t testing.TB, n *dev.EntryInstance, base, text string) (int, entry.OperatorResult) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, n.OperatorsURL+"/v1/text?base="+base, strings.NewReader(text))
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	var res entry.OperatorResult
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&res))
	return resp.StatusCode, res
}

func waitReady(t testing.TB, f *dev.Fleet) {
	t.Helper()
	for _, n := range f.Entries {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(n.Entry.Ready), wait.Timeout(10*time.Second)))
	}
}

func call(t *testing.T, n *dev.EntryInstance, service, body string) (*http.Response, string) {
	t.Helper()
	url := n.CallersURL + "/v1/services/" + service + "/requests"
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewBufferString(body))
	must.NoError(t, err)
	req.Header.Set("Banyanrail-Member", "lawa")
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp, string(got)
}

func TestPublishedTextServesOnEveryEntry(t *testing.T) {
	f := startFleet(t)
	status, res := publish(t, f.Entries[0], "0", f.Text(8))
	must.EqOp(t, http.StatusOK, status)
	must.EqOp(t, "accepted", res.Outcome)
	waitReady(t, f)
	for _, n := range f.Entries {
		resp, body := call(t, n, "survey", "sediment")
		must.EqOp(t, http.StatusOK, resp.StatusCode)
		must.EqOp(t, "sediment", body)
		must.EqOp(t, "yes", resp.Header.Get("Banyanrail-Ran"))
	}
}

func TestEntriesFindEachOther(t *testing.T) {
	f := startFleet(t)
	for _, n := range f.Entries {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
			return len(status(t, n).Peers) == len(f.Entries)
		}), wait.Timeout(10*time.Second)))
	}
}

func status(t testing.TB, n *dev.EntryInstance) effect.Status {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, n.OperatorsURL+"/v1/status", nil)
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	var st effect.Status
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&st))
	return st
}

func TestRacingPublishConflicts(t *testing.T) {
	f := startFleet(t)
	status, _ := publish(t, f.Entries[0], "0", f.Text(8))
	must.EqOp(t, http.StatusOK, status)
	status, res := publish(t, f.Entries[1], "0", f.Text(4))
	must.EqOp(t, http.StatusConflict, status)
	must.EqOp(t, "conflict", res.Outcome)
}

func TestUnknownServiceDidNotRun(t *testing.T) {
	f := startFleet(t)
	publish(t, f.Entries[0], "0", f.Text(8))
	waitReady(t, f)
	resp, _ := call(t, f.Entries[2], "nothing", "x")
	must.EqOp(t, http.StatusNotFound, resp.StatusCode)
	must.EqOp(t, "no", resp.Header.Get("Banyanrail-Ran"))
}

func TestGracefulStopFinishesRequests(t *testing.T) {
	f := startFleet(t)
	publish(t, f.Entries[0], "0", f.Text(8))
	waitReady(t, f)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	must.NoError(t, f.Entries[0].Entry.Stop(ctx))
	resp, _ := call(t, f.Entries[0], "survey", "x")
	must.EqOp(t, http.StatusServiceUnavailable, resp.StatusCode)
	must.EqOp(t, "no", resp.Header.Get("Banyanrail-Ran"))
}
