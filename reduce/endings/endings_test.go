package endings_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/endings"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 8, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestEvidenceInAListing(t *testing.T) {
	answered := at(1000)
	for _, c := range []struct {
		name    string
		listing endings.Listing
		kind    endings.Kind
		proves  endings.Proof
	}{
		{"no list", endings.Listing{}, endings.None, endings.ProofNone},
		{"up with its runner", endings.Listing{RequestedAt: at(2000), State: fleet.InstanceUp, Runner: "r"}, endings.None, endings.ProofNone},
		{"up without a runner", endings.Listing{RequestedAt: at(2000), State: fleet.InstanceUp}, endings.None, endings.ProofNone},
		{"down", endings.Listing{RequestedAt: at(2000), State: fleet.InstanceDown}, endings.InstanceDown, endings.ProofEnded},
		{"down with its runner", endings.Listing{RequestedAt: at(2000), State: fleet.InstanceDown, Runner: "r"}, endings.InstanceDown, endings.ProofEnded},
		{"unknown state", endings.Listing{RequestedAt: at(2000), State: ""}, endings.None, endings.ProofNone},
		{"another runner in one list", endings.Listing{RequestedAt: at(2000), State: fleet.InstanceUp, Runner: "s", RunnerSince: at(2000)}, endings.None, endings.ProofNone},
		{"another runner", endings.Listing{RequestedAt: at(2000), State: fleet.InstanceUp, Runner: "s", RunnerSince: at(1500)}, endings.OtherRunner, endings.ProofRetired},
		{"another runner before its last answer", endings.Listing{RequestedAt: at(2000), State: fleet.InstanceUp, Runner: "s", RunnerSince: at(900)}, endings.None, endings.ProofNone},
		{"moving", endings.Listing{RequestedAt: at(2000), State: fleet.InstanceMoving}, endings.InstanceOrdered, endings.ProofRetired},
		{"under maintenance", endings.Listing{RequestedAt: at(2000), State: fleet.InstanceMaintenance}, endings.InstanceOrdered, endings.ProofRetired},
		{"missing", endings.Listing{MissingSince: at(2000)}, endings.InstanceMissing, endings.ProofRetired},
		{"missing before its last answer", endings.Listing{MissingSince: at(1000)}, endings.None, endings.ProofNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := endings.Of("r", &c.listing, answered)
			must.Eq(t, c.kind, e.Kind)
			must.Eq(t, c.proves, e.Kind.Proves())
		})
	}
}

func drawnListing(t *rapid.T) endings.Listing {
	l := endings.Listing{
		RequestedAt: at(rapid.IntRange(0, 5000).Draw(t, "requested")),
		State: rapid.SampledFrom([]fleet.InstanceState{
			"", fleet.InstanceUp, fleet.InstanceDown, fleet.InstanceMoving, fleet.InstanceMaintenance,
		}).Draw(t, "state"),
		RunnerSince: at(rapid.IntRange(0, 5000).Draw(t, "runner since")),
		Runner:      fleet.RunnerID(rapid.SampledFrom([]string{"", "r", "s"}).Draw(t, "runner")),
	}
	if rapid.Bool().Draw(t, "missing") {
		l.MissingSince = at(rapid.IntRange(0, 5000).Draw(t, "since"))
	}
	return l
}

func TestListsFromBeforeTheLastAnswerProveNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawnListing(t)
		answered := at(rapid.IntRange(0, 5000).Draw(t, "answered"))
		e := endings.Of("r", &l, answered)
		if e.Kind != endings.None && !e.ShownAt.After(answered) {
			t.Fatalf("%+v of %+v, though the runner answered at %v", e, l, answered)
		}
	})
}

func TestRecordKeepsTheStrongestEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r endings.Record
		strongest := endings.ProofNone
		for range rapid.IntRange(1, 6).Draw(t, "lists") {
			l := drawnListing(t)
			e := endings.Of("r", &l, at(0))
			more := r.Note(e)
			if more != (e.Kind.Proves() > strongest) {
				t.Fatalf("%+v noted: %v, after a proof of %d", e, more, strongest)
			}
			strongest = max(strongest, e.Kind.Proves())
			if r.Kind.Proves() != strongest || r.Retired() != (strongest == endings.ProofRetired) || r.Ended() != (strongest >= endings.ProofEnded) {
				t.Fatalf("%+v after a proof of %d", r, strongest)
			}
		}
	})
}
