package dev_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/dev"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

func TestEntryDisconnectedFromTheLogFollowsItsPeers(t *testing.T) {
	f := startFleet(t)
	_, first := publish(t, f.Entries[0], "0", f.Text(8))
	waitReady(t, f)
	disconnected := f.Entries[2]
	disconnected.Log.SetDisconnected(true)
	_, second := publish(t, f.Entries[0], fmt.Sprint(first.Version), f.Text(4))
	must.EqOp(t, "accepted", second.Outcome)
	waitVersion(t, disconnected, second.Version)

	disconnected.Log.SetDisconnected(false)
	_, third := publish(t, disconnected, fmt.Sprint(second.Version), f.Text(8))
	must.EqOp(t, "accepted", third.Outcome)
	for _, n := range f.Entries {
		waitVersion(t, n, third.Version)
	}
}

func TestEntryStartsFromPeersWhileTheLogIsUnreachable(t *testing.T) {
	f := startFleet(t)
	publish(t, f.Entries[0], "0", f.Text(8))
	waitReady(t, f)
	n, err := f.AddEntry(true)
	must.NoError(t, err)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(n.Entry.Ready), wait.Timeout(10*time.Second)))
	resp, body := call(t, n, "survey", "sediment")
	must.EqOp(t, http.StatusOK, resp.StatusCode)
	must.EqOp(t, "sediment", body)
}

func TestEntryWithoutStateIsNotReady(t *testing.T) {
	f := startFleet(t)
	for _, n := range f.Entries {
		n.Log.SetDisconnected(true)
	}
	publish(t, f.Entries[0], "0", f.Text(8))
	for _, n := range f.Entries {
		must.False(t, n.Entry.Ready())
	}
}

// BenchmarkStartWithoutLog measures the time from the start of an entry that can't
// reach the log until the entry is ready.
func BenchmarkStartWithoutLog(b *testing.B) {
	f, err := dev.Start(dev.Config{Entries: 9, Runners: 10, Slots: 8, ProcessingTime: time.Millisecond})
	must.NoError(b, err)
	defer f.Stop()
	publish(b, f.Entries[0], "0", f.Text(8))
	waitReady(b, f)
	var longest time.Duration
	for b.Loop() {
		start := time.Now()
		n, err := f.AddEntry(true)
		must.NoError(b, err)
		must.Wait(b, wait.InitialSuccess(wait.BoolFunc(n.Entry.Ready), wait.Timeout(10*time.Second), wait.Gap(2*time.Millisecond)))
		longest = max(longest, time.Since(start))
	}
	b.ReportMetric(float64(longest.Milliseconds()), "ms-longest")
}
