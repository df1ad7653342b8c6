package codec_test

import (
	"strings"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/banyanrail/banyanrail/reduce/runtimes"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// drawnText draws texts with the characters that JSON escapes.
func drawnText(longest int) *rapid.Generator[string] {
	return rapid.OneOf(
		rapid.StringN(0, longest, longest),
		rapid.StringMatching("[<>&\"\\\\\x00-\x1f\u2028a-z]{0,40}"),
		rapid.Map(rapid.SliceOfN(rapid.Byte(), 0, 40), func(b []byte) string { return string(b) }),
	)
}

func drawnCount() *rapid.Generator[int] { return rapid.IntRange(0, 1<<40) }

func drawnStep(t *rapid.T) fleet.Step {
	n, text, set := drawnCount(), drawnText(20), rapid.Bool()
	return fleet.Step{
		Count: n.Draw(t, "count"), Needs: fleet.Capacity{CPU: int64(n.Draw(t, "cpu")), Memory: int64(n.Draw(t, "memory"))},
		Estimate: time.Duration(n.Draw(t, "estimate")), After: rapid.SliceOfN(n, 0, 5).Draw(t, "after"), Gang: set.Draw(t, "gang"),
		Checkpoints: set.Draw(t, "checkpoints"), LongRunning: set.Draw(t, "long"), BestEffort: set.Draw(t, "best effort"),
		SameRack: set.Draw(t, "rack"), Speculative: set.Draw(t, "speculative"), Label: text.Draw(t, "label"),
		Affinity: fleet.Rack(text.Draw(t, "affinity")), Image: text.Draw(t, "image"), MaxPerRunner: n.Draw(t, "most"),
		LatencyTarget: time.Duration(n.Draw(t, "target")), MaxUnavailable: n.Draw(t, "unavailable"),
	}
}

func drawnTask(t *rapid.T) ledger.Task {
	n, text := drawnCount(), drawnText(20)
	task := ledger.Task{
		Number: n.Draw(t, "number"), Attempt: int64(n.Draw(t, "attempt")), Failures: n.Draw(t, "failures"), Crashes: n.Draw(t, "crashes"),
		CertainCrashes: n.Draw(t, "certain"), Trial: time.Duration(n.Draw(t, "trial")), Runner: fleet.RunnerID(text.Draw(t, "runner")),
		CrashedOn: fleet.InstanceID(text.Draw(t, "crashed on")), Incarnation: fleet.Incarnation(n.Draw(t, "incarnation")), Address: text.Draw(t, "address"),
		Instance: fleet.InstanceID(text.Draw(t, "instance")), Checkpoint: text.Draw(t, "checkpoint"),
		FailedAttempts: rapid.SliceOfN(rapid.Int64Range(0, 1<<40), 0, 8).Draw(t, "failed attempts"),
		StaleLeases:    rapid.Bool().Draw(t, "stale leases"), Settled: rapid.Bool().Draw(t, "settled"), StartEpoch: int64(n.Draw(t, "epoch")),
	}
	for _, runs := range []*[]ledger.Run{&task.Unresolved, &task.LateStarts} {
		for range rapid.IntRange(0, 3).Draw(t, "runs") {
			*runs = append(*runs, ledger.Run{
				Attempt: int64(n.Draw(t, "attempt")), Runner: fleet.RunnerID(text.Draw(t, "runner")), Epoch: int64(n.Draw(t, "epoch")),
				Instance: fleet.InstanceID(text.Draw(t, "instance of the run")),
			})
		}
	}
	return task
}

func drawnOccurrences(t *rapid.T) []ledger.Occurrence {
	var out []ledger.Occurrence
	for number := range rapid.IntRange(0, 4).Draw(t, "occurrences") {
		out = append(out, ledger.Occurrence{
			Number: number, Done: rapid.SliceOfN(rapid.Bool(), 0, 100).Draw(t, "done"),
			Tasks: rapid.SliceOfN(rapid.Custom(drawnTask), 0, 8).Draw(t, "tasks"),
		})
	}
	return out
}

func drawnProgress(t *rapid.T) *ledger.Progress {
	return &ledger.Progress{
		Queue: fleet.QueueName(drawnText(20).Draw(t, "queue")), State: fleet.JobRunning, Begun: drawnCount().Draw(t, "begun"), NotBegun: rapid.Bool().Draw(t, "not begun"),
		Ended: time.UnixMilli(int64(drawnCount().Draw(t, "ended"))), Occurrences: drawnOccurrences(t),
	}
}

func drawnRunTime(t *rapid.T) runtimes.Entry {
	n, text := rapid.Int64Range(-1<<50, 1<<50), drawnText(20)
	return runtimes.Entry{
		Key:        runtimes.Key{Queue: fleet.QueueName(text.Draw(t, "queue")), Step: drawnCount().Draw(t, "step"), Image: text.Draw(t, "image")},
		WholeQueue: rapid.Bool().Draw(t, "whole queue"),
		Values: runtimes.Values{
			Weight: n.Draw(t, "weight"), MeanX: n.Draw(t, "x"), MeanY: n.Draw(t, "y"), SumXX: n.Draw(t, "xx"), SumXY: n.Draw(t, "xy"),
			SumYY: n.Draw(t, "yy"), Activity: n.Draw(t, "activity"),
		},
	}
}

func drawnRecord(t *rapid.T) ledger.Record {
	ids := rapid.SliceOfN(rapid.Map(drawnText(20), func(s string) fleet.InstanceID { return fleet.InstanceID(s) }), 0, 20)
	runners := rapid.SliceOfN(rapid.Map(drawnText(20), func(s string) fleet.RunnerID { return fleet.RunnerID(s) }), 0, 20)
	part := rapid.IntRange(0, 99_999).Draw(t, "part")
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		return ledger.Record{Job: "0123456789abcdef", Definition: &ledger.Definition{
			Queue: fleet.QueueName(drawnText(20).Draw(t, "queue")), Service: fleet.ServiceName(drawnText(20).Draw(t, "service")),
			MaxAttempts: drawnCount().Draw(t, "attempts"), ExpectedPath: time.Duration(drawnCount().Draw(t, "path")), Accepted: accepted, Tenant: fleet.TenantName(drawnText(20).Draw(t, "tenant")), Spec: &fleet.JobSpec{
				Text: drawnText(4000).Draw(t, "text"), Steps: rapid.SliceOfN(rapid.Custom(drawnStep), 0, 5).Draw(t, "steps"),
				Repeats: drawnCount().Draw(t, "repeats"), FirstAt: accepted, Interval: time.Duration(drawnCount().Draw(t, "interval")),
			},
		}}
	case 1:
		return ledger.Record{Job: "0123456789abcdef", Progress: drawnProgress(t)}
	case 2:
		return ledger.Record{Job: "0123456789abcdef", Part: part, ProgressPart: &ledger.ProgressPart{
			Generation: int64(drawnCount().Draw(t, "generation")), Occurrences: drawnOccurrences(t),
		}}
	case 3:
		return ledger.Record{Part: part, RecentlyOrdered: &ledger.RecentlyOrdered{Instances: ids.Draw(t, "instances")}}
	case 4:
		return ledger.Record{Part: part, Restarted: &ledger.Restarted{Runners: runners.Draw(t, "runners")}}
	case 6:
		entries := rapid.SliceOfN(rapid.Custom(drawnRunTime), 0, 20).Draw(t, "run times")
		return ledger.FitRunTimes(entries, rapid.IntRange(100, 4000).Draw(t, "limit"))
	case 8:
		return ledger.Record{Hold: &ledger.Hold{
			Task:    fleet.TaskID{Job: "0123456789abcdef", Occurrence: drawnCount().Draw(t, "occurrence"), Step: drawnCount().Draw(t, "step")},
			Attempt: int64(drawnCount().Draw(t, "attempt")), Runner: fleet.RunnerID(drawnText(20).Draw(t, "runner")), Epoch: int64(drawnCount().Draw(t, "epoch")),
		}, DropHold: rapid.Bool().Draw(t, "drop")}
	case 5:
		return ledger.Record{Part: part, Wave: &ledger.Wave{ID: int64(drawnCount().Draw(t, "wave")), Done: ids.Draw(t, "done")}}
	default:
		u := &ledger.Unreached{Epoch: int64(drawnCount().Draw(t, "epoch")), LeasedBy: make(map[fleet.RunnerID]int64)}
		for _, id := range runners.Draw(t, "runners") {
			u.LeasedBy[id] = int64(drawnCount().Draw(t, "leased by"))
		}
		return ledger.Record{Part: part, Unreached: u}
	}
}

// wireSize returns the size of an encoded record in an append.
func wireSize(t must.T, r *ledger.Record) int {
	raw, err := codec.EncodeLedger(r)
	must.NoError(t, err)
	return 4 + 1 + len(raw.Key) + len(raw.Value)
}

// TestNoRecordIsLargerThanItsSize guards against batches and records that the store
// rejects, since the reducer bounds them by Size.
func TestNoRecordIsLargerThanItsSize(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := drawnRecord(rt)
		got := wireSize(rt, &r)
		must.LessEq(rt, r.Size(), got)
		must.LessEq(rt, 2*got+256, r.Size())
	})
}

// TestSplitProgressIsReadAsAWhole splits drawn progress into records of a drawn size, and
// leaves out each of them once.
func TestSplitProgressIsReadAsAWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := ledger.Record{Job: "j", Progress: drawnProgress(rt)}
		limit := rapid.IntRange(1500, 6000).Draw(rt, "limit")
		records := ledger.SplitProgress(r, 7, limit)
		if len(records) == 1 {
			return
		}
		for i := range records {
			must.LessEq(rt, limit, wireSize(rt, &records[i]))
		}
		definition := ledger.Record{Job: "j", Definition: &ledger.Definition{Queue: "q", Accepted: accepted, Spec: fullSpec()}}
		encoded := encode(t, append(records, definition)...)
		whole := codec.DecodeLedger(encode(t, r, definition))
		got := codec.DecodeLedger(encoded)
		must.SliceEmpty(rt, got.Unreadable)
		must.Eq(rt, whole.Jobs[0].Progress.Occurrences, got.Jobs[0].Progress.Occurrences)
		must.Eq(rt, [2]int{0, len(records) - 1}, got.Jobs[0].Parts)
		for i := range len(records) - 1 {
			got := codec.DecodeLedger(append(encoded[:i:i], encoded[i+1:]...))
			must.SliceLen(rt, 1, got.Unreadable)
			must.SliceEmpty(rt, got.Jobs)
		}
	})
}

// TestTextOfMarkupFitsARecord: JSON makes six bytes of some characters.
func TestTextOfMarkupFitsARecord(t *testing.T) {
	r := ledger.Record{Job: "j", Definition: &ledger.Definition{Queue: "q", Accepted: accepted, Spec: &fleet.JobSpec{Text: strings.Repeat("<", fleet.MaxTextBytes)}}}
	must.Between(t, 6*fleet.MaxTextBytes, wireSize(t, &r), r.Size())
}
