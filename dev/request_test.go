package dev_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// startSingleEntry starts a fleet with one entry and waits until it is ready.
func startSingleEntry(t *testing.T, runners, slots int) *dev.Fleet {
	t.Helper()
	f, err := dev.Start(dev.Config{Entries: 1, Runners: runners, Slots: slots, ProcessingTime: time.Millisecond})
	must.NoError(t, err)
	t.Cleanup(f.Stop)
	publish(t, f.Entries[0], "0", f.Text(slots))
	waitReady(t, f)
	return f
}

func runs(t *testing.T, r *dev.Runner) standin.Runs {
	t.Helper()
	got, err := r.Runs(t.Context())
	must.NoError(t, err)
	return got
}

func TestCorruptedAnswerNeverReachesTheCaller(t *testing.T) {
	for name, fault := range map[string]standin.EndpointFault{
		"truncated": {Truncate: 1}, "swapped": {Swap: 1}, "broken": {Break: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := startSingleEntry(t, 2, 8)
			for _, r := range f.Runners {
				must.NoError(t, r.SetFault(fault))
			}
			resp, body := call(t, f.Entries[0], "survey", "sediment")
			must.EqOp(t, http.StatusOK, resp.StatusCode)
			must.EqOp(t, "sediment", body)
			must.EqOp(t, "3", resp.Header.Get("Banyanrail-Attempts"))
		})
	}
}

func TestCancelledCallerFreesItsSlot(t *testing.T) {
	f := startSingleEntry(t, 1, 1)
	must.NoError(t, f.Runners[0].SetFault(standin.EndpointFault{Hang: true}))
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.Entries[0].CallersURL+"/v1/services/survey/requests", strings.NewReader("x"))
	must.NoError(t, err)
	req.Header.Set("Banyanrail-Member", "lawa")
	done := make(chan error, 1)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		done <- err
	}()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		return runs(t, f.Runners[0]).Started == 1
	}), wait.Timeout(10*time.Second)))
	cancel()
	must.ErrorIs(t, <-done, context.Canceled)
	must.NoError(t, f.Runners[0].SetFault(standin.EndpointFault{}))
	resp, _ := call(t, f.Entries[0], "survey", "next")
	must.EqOp(t, http.StatusOK, resp.StatusCode)
	must.EqOp(t, 0, status(t, f.Entries[0]).Running)
}

// A request whose body is shorter than its Content-Length must not be dispatched.
func TestTruncatedRequestIsNotDispatched(t *testing.T) {
	f := startSingleEntry(t, 1, 1)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.Entries[0].CallersURL, "http://"))
	must.NoError(t, err)
	defer conn.Close()
	fmt.Fprint(conn, "POST /v1/services/survey/requests HTTP/1.1\r\nHost: x\r\nBanyanrail-Member: lawa\r\nContent-Length: 100\r\n\r\nshort")
	must.NoError(t, conn.(*net.TCPConn).CloseWrite())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	must.NoError(t, err)
	must.EqOp(t, http.StatusBadRequest, resp.StatusCode)
	must.EqOp(t, "no", resp.Header.Get("Banyanrail-Ran"))
	must.EqOp(t, 0, runs(t, f.Runners[0]).Started)
}

func TestFailingRunnerIsEjectedAndReturns(t *testing.T) {
	f := startSingleEntry(t, 2, 8)
	bad := f.Runners[0]
	must.NoError(t, bad.SetFault(standin.EndpointFault{FailAll: true}))
	failed := 0
	for range 200 {
		resp, _ := call(t, f.Entries[0], "survey", "x")
		if resp.StatusCode == http.StatusInternalServerError {
			failed++
		}
	}
	must.EqOp(t, 5, failed)
	must.NoError(t, bad.SetFault(standin.EndpointFault{}))
	before := runs(t, bad).Started
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		call(t, f.Entries[0], "survey", "x")
		return runs(t, bad).Started > before+5
	}), wait.Timeout(30*time.Second), wait.Gap(10*time.Millisecond)))
}
