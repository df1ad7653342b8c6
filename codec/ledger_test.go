package codec_test

import (
	"slices"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/banyanrail/banyanrail/reduce/runtimes"
	"github.com/banyanrail/banyanrail/reduce/tenure"
	"github.com/banyanrail/banyanrail/storage"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var accepted = time.UnixMilli(1_800_000_000_123)

func fullSpec() *fleet.JobSpec {
	return &fleet.JobSpec{
		Text: "text", Repeats: 3, FirstAt: accepted, Interval: time.Second,
		Steps: []fleet.Step{
			{Count: 2, Needs: fleet.Capacity{CPU: 1, Memory: 2, Accelerators: 3}, Estimate: time.Second, Checkpoints: true,
				Gang: true, SameRack: true, Label: "a", Affinity: "r1-1", MaxPerRunner: 4},
			{Count: 1, After: []int{0}, Speculative: true, LongRunning: true, Image: "i", LatencyTarget: time.Second, BestEffort: true, MaxUnavailable: 2},
		},
	}
}

func TestSpecRoundTrip(t *testing.T) {
	raw, err := codec.EncodeSpec(fullSpec())
	must.NoError(t, err)
	got, err := codec.DecodeSpec(raw)
	must.NoError(t, err)
	must.Eq(t, fullSpec(), got)
}

func encode(t *testing.T, records ...ledger.Record) []storage.Record {
	t.Helper()
	var out []storage.Record
	for i := range records {
		r, err := codec.EncodeLedger(&records[i])
		must.NoError(t, err)
		out = append(out, r)
	}
	return out
}

func TestLedgerRoundTrip(t *testing.T) {
	p := &ledger.Progress{Queue: "q", State: fleet.JobFailed, Ended: accepted, NotBegun: true, Occurrences: []ledger.Occurrence{{
		Number: 1, Done: []bool{true, false, true, false, false, false, false, false},
		Tasks: []ledger.Task{{Number: 1, Attempt: 2, Failures: 1, Runner: "r", Incarnation: 7, Address: "10.0.0.1:7", Crashes: 2, CertainCrashes: 1, CrashedOn: "m-1", Trial: 120 * time.Millisecond, StaleLeases: true, FailedAttempts: []int64{1, 2}, Checkpoint: "s",
			Unresolved: []ledger.Run{{Attempt: 1, Runner: "x"}}}},
	}}}
	got := codec.DecodeLedger(encode(t,
		ledger.Record{Job: "j", Definition: &ledger.Definition{Queue: "q", Service: "v", MaxAttempts: 2, Accepted: accepted, Spec: fullSpec(), Tenant: "t"}},
		ledger.Record{Job: "j", Progress: p},
		ledger.Record{Wave: &ledger.Wave{ID: 4, Done: []fleet.InstanceID{"m"}}},
		ledger.Record{RecentlyOrdered: &ledger.RecentlyOrdered{Instances: []fleet.InstanceID{"m", "n"}}},
	))
	must.SliceEmpty(t, got.Unreadable)
	must.Eq(t, []fleet.InstanceID{"m", "n"}, got.RecentlyOrdered)
	must.Eq(t, []ledger.Wave{{ID: 4, Done: []fleet.InstanceID{"m"}}}, got.Waves)
	must.Len(t, 1, got.Jobs)
	must.Eq(t, p, got.Jobs[0].Progress)
	must.Eq(t, fullSpec(), got.Jobs[0].Definition.Spec)
	must.Eq(t, "t", got.Jobs[0].Definition.Tenant)
	must.True(t, accepted.Equal(got.Jobs[0].Definition.Accepted))
}

// TestLearnedRunTimesRoundTrip guards against a next owner that reads other figures than were
// stored, and against one that cannot load a ledger without them.
func TestLearnedRunTimesRoundTrip(t *testing.T) {
	learned := &ledger.RunTimes{Entries: []runtimes.Entry{
		{Key: runtimes.Key{Queue: "q", Step: 3, Image: "i"}, Values: runtimes.Values{Weight: 1, MeanX: -2, MeanY: 3, SumXX: 4, SumXY: -5, SumYY: 6, Activity: 7}},
		{Key: runtimes.Key{Queue: "q"}, WholeQueue: true, Values: runtimes.Values{Weight: 128_000}},
	}}
	definition := &ledger.Definition{Queue: "q", Accepted: accepted, Spec: fullSpec(), Tenant: "t", ExpectedPath: 1500 * time.Millisecond}
	older := []storage.Record{{Key: "d/k", Value: []byte(`{"q":"q","t":1,"s":{"s":[{"n":1}]}}`)}}
	got := codec.DecodeLedger(append(older, encode(t, ledger.Record{RunTimes: learned}, ledger.Record{Job: "j", Definition: definition})...))
	must.SliceEmpty(t, got.Unreadable)
	must.Eq(t, learned, got.RunTimes)
	must.Zero(t, got.Jobs[0].Definition.ExpectedPath)
	must.Eq(t, definition.ExpectedPath, got.Jobs[1].Definition.ExpectedPath)
	must.Eq(t, definition.Tenant, got.Jobs[1].Definition.Tenant)
	got = codec.DecodeLedger(older)
	must.SliceEmpty(t, got.Unreadable)
	must.Nil(t, got.RunTimes)
	must.SliceLen(t, 1, got.Jobs)
}

func TestDroppedRecordsAreSkipped(t *testing.T) {
	got := codec.DecodeLedger(encode(t, ledger.Record{Job: "j", DropDefinition: true}, ledger.Record{Job: "j", DropProgress: true}))
	must.SliceEmpty(t, got.Unreadable)
	must.Len(t, 0, got.Jobs)
}

// TestMalformedRecordsAreLeftOut has one malformed record of each kind among those of a
// readable job. The readable job is loaded, and no job without its progress.
func TestMalformedRecordsAreLeftOut(t *testing.T) {
	readable := encode(t,
		ledger.Record{Job: "j", Definition: &ledger.Definition{Queue: "q", Accepted: time.UnixMilli(1), Spec: fullSpec()}},
		ledger.Record{Job: "k", Definition: &ledger.Definition{Queue: "q", Accepted: time.UnixMilli(1), Spec: fullSpec()}},
	)
	for _, r := range []storage.Record{
		{Key: "d/k", Value: []byte("{")}, {Key: "p/k", Value: []byte("[]")}, {Key: "w/x", Value: []byte("{}")},
		{Key: "d/k", Value: []byte(`{"q":"q","s":{"s":[{"n":1,"a":[3]}]}}`)}, {Key: "d/k", Value: []byte(`{"q":"q","s":{"s":[{"n":-1}]}}`)},
		{Key: "instances", Value: []byte("7")}, {Key: "runtimes", Value: []byte(`{"e":[{"q":"q","v":[1e99]}]}`)},
	} {
		got := codec.DecodeLedger(append(slices.Clone(readable), r))
		must.SliceLen(t, 1, got.Unreadable, must.Sprint(r.Key))
		must.Eq(t, fleet.JobID("j"), got.Jobs[0].Job)
		must.Eq(t, r.Key == "instances", got.OrdersUnreadable)
		must.Nil(t, got.RunTimes)
		if r.Key == "d/k" || r.Key == "p/k" {
			must.SliceLen(t, 1, got.Jobs, must.Sprint("a job with an unreadable record is left out"))
		}
	}
}

func TestTenureRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		want := tenure.Record{
			Epoch: rapid.Int64().Draw(rt, "epoch"), Owner: fleet.EntryID(rapid.StringMatching(`[a-z0-9-]*`).Draw(rt, "owner")),
			Incarnation: rapid.Uint64().Draw(rt, "incarnation"), Beat: rapid.Int64().Draw(rt, "beat"), Released: rapid.Bool().Draw(rt, "released"),
		}
		if rapid.Bool().Draw(rt, "tells of former owners") {
			active := time.Duration(rapid.Int64().Draw(rt, "former owners are active"))
			want.FormerActive = &active
		}
		if n := rapid.IntRange(0, 3).Draw(rt, "epochs told"); n > 0 {
			epochs := make([]tenure.EpochAge, n)
			for i := range epochs {
				epochs[i] = tenure.EpochAge{Epoch: rapid.Int64().Draw(rt, "epoch told"), Age: time.Duration(rapid.Int64().Draw(rt, "age"))}
			}
			want.Epochs = &epochs
		}
		r, err := codec.EncodeTenure(want)
		must.NoError(rt, err)
		got, ok, err := codec.DecodeTenure([]storage.Record{{Key: "else"}, r})
		must.NoError(rt, err)
		must.True(rt, ok)
		must.Eq(rt, want, got)
	})
}

// TestHoldRoundTrip: a hold that is not read as it was stored, or that stays after it was dropped, holds the wrong ends.
func TestHoldRoundTrip(t *testing.T) {
	hold := ledger.Hold{Task: fleet.TaskID{Job: "0123456789abcdef", Occurrence: 3, Step: 2, Index: 1}, Attempt: 4, Runner: "r", Epoch: 5}
	other := hold
	other.Attempt = 6
	got := codec.DecodeLedger(encode(t, ledger.Record{Hold: &hold}, ledger.Record{Hold: &other}))
	must.SliceEmpty(t, got.Unreadable)
	must.Eq(t, []ledger.Hold{hold, other}, got.Holds)

	records := encode(t, ledger.Record{Hold: &hold}, ledger.Record{Hold: &hold, DropHold: true})
	must.Eq(t, records[0].Key, records[1].Key)
	must.SliceEmpty(t, records[1].Value)
	must.SliceEmpty(t, codec.DecodeLedger(records[1:]).Holds)
	for _, key := range []string{"h/", "h/x", "h/j.0.0.0", "h/j.0.0.0/x", "h/j.0.0/1"} {
		got := codec.DecodeLedger([]storage.Record{{Key: key, Value: records[0].Value}})
		must.SliceLen(t, 1, got.Unreadable, must.Sprint(key))
		must.SliceEmpty(t, got.Holds)
	}
}

// TestStoredNeedsAreBounded: a job that a version without MaxNeeds accepted must not be lost, nor overflow sums.
func TestStoredNeedsAreBounded(t *testing.T) {
	spec := fullSpec()
	spec.Steps[0].Needs = fleet.Capacity{CPU: 1 << 62, Memory: 1 << 62, Accelerators: 1 << 62}
	raw, err := codec.EncodeSpec(spec)
	must.NoError(t, err)
	got, err := codec.DecodeSpec(raw)
	must.NoError(t, err)
	must.Eq(t, fleet.Capacity{CPU: fleet.MaxNeeds, Memory: fleet.MaxNeeds, Accelerators: fleet.MaxNeeds}, got.Steps[0].Needs)
}
