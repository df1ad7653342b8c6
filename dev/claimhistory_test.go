package dev_test

import (
	"flag"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
)

var (
	claimKeys    = flag.Int("keys", 60, "keys of the claim history")
	claimEntries = flag.Int("entries", 3, "entries of the claim history")
	claimRounds  = flag.Int("rounds", 1, "times that the faults of the claim history happen")
	claimHolder  = flag.Bool("holder", true, "let holders grant slots in the claim history")
	claimSeed    = flag.Uint64("seed", 1, "seed of the claim history")
)

// claimFaults happen one after the other, and some together. Each round hits
// other entries.
func claimFaults(rounds, entries int) []claimFault {
	var all []claimFault
	for round := range rounds {
		for _, f := range roundOfFaults(func(i int) int { return (i + round) % entries }) {
			f.after = (float64(round) + f.after) / float64(rounds)
			all = append(all, f)
		}
	}
	return all
}

func roundOfFaults(at func(int) int) []claimFault {
	return []claimFault{
		{0.05, loseAnswers(3)},
		{0.15, logDown(time.Second)},
		{0.25, replace(at(0))},
		{0.35, breakAnswers(1)},
		{0.45, pause(at(1), sendLimit+time.Second)},
		{0.60, together(loseAnswers(5), replace(at(2)))},
		{0.75, together(logDown(sendLimit+time.Second), replace(at(1)))},
		{0.90, together(loseAnswers(5), pause(at(0), time.Second))},
	}
}

func TestClaimHistory(t *testing.T) {
	t.Logf("keys %d, entries %d, rounds %d, holder %t, seed %d", *claimKeys, *claimEntries, *claimRounds, *claimHolder, *claimSeed)
	r := newClaimRun(t, *claimEntries, *claimKeys, *claimSeed, nil)
	history := r.run(claimFaults(*claimRounds, *claimEntries))
	must.EqOp(t, porcupine.Ok, checkClaims(history))
	report(t, history)
	r.waitIdle()
}

// claimFigures counts a history.
type claimFigures struct {
	runs, keysRun, twice int
	told                 map[string]int
	// allUnknown counts keys of which no sending was told yes or no.
	allUnknown int
	// noOfRun counts keys that ran for one sending while another was told no.
	noOfRun int
}

func report(t *testing.T, history []porcupine.Operation) {
	t.Helper()
	f := claimFigures{told: make(map[string]int)}
	for _, part := range partitionByKey(history) {
		f.count(part)
	}
	t.Logf("runs %d, keys run %d, run twice %d, told %v, keys left unknown %d, keys run with a no to another sending %d",
		f.runs, f.keysRun, f.twice, f.told, f.allUnknown, f.noOfRun)
}

func (f *claimFigures) count(part []porcupine.Operation) {
	runs, told := 0, make(map[string]int)
	for _, op := range part {
		in := op.Input.(claimOp)
		if in.attempt != "" {
			runs++
			continue
		}
		ran := in.ran
		if ran == "" {
			ran = "nothing"
		}
		told[ran]++
		f.told[ran]++
	}
	f.runs += runs
	if runs > 0 {
		f.keysRun++
	}
	if runs > 1 {
		f.twice++
	}
	if told["yes"]+told["no"]+told["unkept"] == 0 {
		f.allUnknown++
	}
	if runs > 0 && told["no"] > 0 {
		f.noOfRun++
	}
}

// The check has to notice an entry that sends a claimed request twice.
func TestClaimHistoryFindsASecondRun(t *testing.T) {
	sendTwice := func(_ event.Event, out []effect.Effect) []effect.Effect {
		for _, e := range out {
			if d, ok := e.(effect.Dispatch); ok {
				return append(slices.Clone(out), d)
			}
		}
		return out
	}
	r := newClaimRun(t, 3, 20, 1, sendTwice)
	must.EqOp(t, porcupine.Illegal, checkClaims(r.run(nil)))
}

// The check has to notice entries that dispatch without waiting for their claim.
func TestClaimHistoryFindsDispatchWithoutClaim(t *testing.T) {
	var runner atomic.Pointer[dev.Runner]
	sendAtOnce := func(ev event.Event, out []effect.Effect) []effect.Effect {
		b, ok := ev.Body.(event.RequestArrived)
		if !ok {
			return out
		}
		to := runner.Load()
		return append(slices.Clone(out), effect.Dispatch{
			Attempt: fleet.AttemptID{Request: b.ID, Number: 1}, Service: b.Service,
			Instance: to.ID, Address: to.Address, Deadline: ev.Now.Add(sendLimit),
		})
	}
	r := newClaimRun(t, 3, 20, 1, sendAtOnce)
	runner.Store(r.fleet.Runners[0])
	must.EqOp(t, porcupine.Illegal, checkClaims(r.run(nil)))
}

// The check has to notice a "no" for a request that ran.
func TestClaimHistoryFindsAWrongNo(t *testing.T) {
	sayNo := func(_ event.Event, out []effect.Effect) []effect.Effect {
		out = slices.Clone(out)
		for i, e := range out {
			if refuse, ok := e.(effect.Refuse); ok {
				refuse.Ran = fleet.RanNo
				out[i] = refuse
			}
		}
		return out
	}
	r := newClaimRun(t, 3, 20, 1, sayNo)
	breakAnswers(100)(r)
	must.EqOp(t, porcupine.Illegal, checkClaims(r.run(nil)))
}

// The check has to notice answers that are not the callers' own.
func TestClaimHistoryFindsACrossedAnswer(t *testing.T) {
	var kept []effect.Answer
	cross := func(_ event.Event, out []effect.Effect) []effect.Effect {
		var next []effect.Effect
		for _, e := range out {
			a, ok := e.(effect.Answer)
			if !ok {
				next = append(next, e)
				continue
			}
			kept = append(kept, a)
			if len(kept) == 2 {
				kept[0].Attempt, kept[1].Attempt = kept[1].Attempt, kept[0].Attempt
				next, kept = append(next, kept[0], kept[1]), nil
			}
		}
		return next
	}
	r := newClaimRun(t, 1, 20, 1, cross)
	must.EqOp(t, porcupine.Illegal, checkClaims(r.run(nil)))
}
