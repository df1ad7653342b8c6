package dev_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

const (
	moveEntries = 9
	// settleTime is enough for the entries to find each other and to read the log
	// to its end.
	settleTime = 6 * time.Second
)

// BenchmarkMove measures moves of idle instances between pools. A move out of a
// spare pool takes one record; a move out of a pool that a service uses takes two,
// a drain and a move.
func BenchmarkMove(b *testing.B) {
	if testing.Short() {
		b.Skip("takes minutes")
	}
	for _, spare := range []bool{true, false} {
		name := "records=2"
		if spare {
			name = "records=1"
		}
		b.Run(name, func(b *testing.B) { benchmarkMove(b, spare) })
	}
}

func benchmarkMove(b *testing.B, spare bool) {
	f, err := dev.Start(dev.Config{Entries: moveEntries, Runners: 24, Slots: 8, ProcessingTime: time.Millisecond})
	must.NoError(b, err)
	defer f.Stop()
	text := strings.ReplaceAll(f.Text(8), "pool    = \"main\"", "pool    = \"lender\"")
	text += "\npool \"lender\" {\n  slots = 8\n"
	if spare {
		text += "  spare = true\n}\n"
	} else {
		text += "}\nservice \"lent\" {\n  pool = \"lender\"\n}\n"
	}
	code, _ := publish(b, f.Entries[0], "0", text)
	must.EqOp(b, http.StatusOK, code)
	time.Sleep(settleTime)
	before := status(b, f.Entries[1]).Offset
	var elapsed time.Duration
	// The pool can spare no more than a third of the runners.
	moves := len(f.Runners) / 3
	for i := range moves {
		id := f.Runners[i].ID
		began := time.Now()
		code, _ := order(b, f.Entries[0], "/v1/moves", entry.MoveRequest{Instance: id, To: "main"})
		must.EqOp(b, http.StatusOK, code)
		for poolOf(b, f.Entries[1], id) != "main" {
			time.Sleep(5 * time.Millisecond)
		}
		elapsed += time.Since(began)
	}
	b.ReportMetric(elapsed.Seconds()*1000/float64(moves), "ms/move")
	b.ReportMetric(float64(status(b, f.Entries[1]).Offset-before)/float64(moves), "records/move")
}

func poolOf(t testing.TB, n *dev.EntryInstance, id fleet.InstanceID) fleet.PoolName {
	for _, in := range status(t, n).Instances {
		if in.ID == id {
			return in.Pool
		}
	}
	return ""
}
