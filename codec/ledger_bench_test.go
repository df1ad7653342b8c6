package codec_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/banyanrail/banyanrail/storage"
)

// BenchmarkDecodeLedger decodes a ledger with 10,000 running jobs of two steps.
func BenchmarkDecodeLedger(b *testing.B) {
	spec := &fleet.JobSpec{Text: strings.Repeat("x", 600), Steps: []fleet.Step{{Count: 8}, {Count: 8, After: []int{0}}}}
	progress := &ledger.Progress{Queue: "q", State: fleet.JobRunning, Occurrences: []ledger.Occurrence{{Done: make([]bool, 16)}}}
	for i := range 8 {
		progress.Occurrences[0].Tasks = append(progress.Occurrences[0].Tasks, ledger.Task{Number: i, Attempt: 1, Runner: "i-948c4e4b8e"})
	}
	var records []storage.Record
	for n := range 10_000 {
		id := fleet.JobID(fmt.Sprintf("%016x", n))
		for _, r := range []ledger.Record{
			{Job: id, Definition: &ledger.Definition{Queue: "q", Service: "s", MaxAttempts: 2, Accepted: time.UnixMilli(1), Spec: spec}},
			{Job: id, Progress: progress},
		} {
			raw, err := codec.EncodeLedger(&r)
			if err != nil {
				b.Fatal(err)
			}
			records = append(records, raw)
		}
	}
	b.ResetTimer()
	for range b.N {
		if l := codec.DecodeLedger(records); len(l.Unreadable) > 0 {
			b.Fatal(l.Unreadable)
		}
	}
}
