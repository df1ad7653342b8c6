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
	claimKeys    = flag.Int("keys", 60, "keys that the claim history test sends")
	claimEntries = flag.Int("entries", 3, "entries in the claim history test")
	claimRounds  = flag.Int("rounds", 1, "rounds of faults in the claim history test")
	claimHolder  = flag.Bool("holder", true, "let holders grant slots in the claim history test")
	claimSeed    = flag.Uint64("seed", 1, "seed of the claim history test")
)

// claimFaults returns the faults of all rounds in their order. Each round affects
// other entries.
func claimFaults(rounds, entries int) []claimFault {
	var all []claimFault
	for round := range rounds {
		for _, f := range faultsOfRound(func(i int) int { return (i + round) % entries }) {
			f.share = (float64(round) + f.share) / float64(rounds)
			all = append(all, f)
		}
	}
	return all
}

func faultsOfRound(at func(int) int) []claimFault {
	return []claimFault{
		{0.05, loseAnswers(3)},
		{0.15, takeLogDown(time.Second)},
		{0.25, replaceEntry(at(0))},
		{0.35, breakAnswers(1)},
		{0.45, pauseEntry(at(1), sendTimeLimit+time.Second)},
		{0.60, concurrently(loseAnswers(5), replaceEntry(at(2)))},
		{0.75, concurrently(takeLogDown(sendTimeLimit+time.Second), replaceEntry(at(1)))},
		{0.90, concurrently(loseAnswers(5), pauseEntry(at(0), time.Second))},
	}
}

func TestClaimHistory(t *testing.T) {
	t.Logf("keys %d, entries %d, rounds %d, holder %t, seed %d", *claimKeys, *claimEntries, *claimRounds, *claimHolder, *claimSeed)
	r := newClaimRun(t, *claimEntries, *claimKeys, *claimSeed, nil)
	history := r.run(claimFaults(*claimRounds, *claimEntries))
	must.EqOp(t, porcupine.Ok, checkClaims(history))
	logFigures(t, history)
	r.waitIdle()
}

// claimFigures holds counts of a history.
type claimFigures struct {
	runs, keysRun, twice int
	outcomes             map[string]int
	// undecided counts the keys for which all answers leave open whether the
	// request ran.
	undecided int
	// ranDespiteRefusal counts the keys that ran for one request while another
	// request with the key was refused as not run.
	ranDespiteRefusal int
}

func logFigures(t *testing.T, history []porcupine.Operation) {
	t.Helper()
	f := claimFigures{outcomes: make(map[string]int)}
	for _, part := range partitionByKey(history) {
		f.count(part)
	}
	t.Logf("runs %d, keys run %d, keys run twice %d, outcomes %v, keys left unknown %d, keys run with another request refused %d",
		f.runs, f.keysRun, f.twice, f.outcomes, f.undecided, f.ranDespiteRefusal)
}

func (f *claimFigures) count(part []porcupine.Operation) {
	runs, outcomes := 0, make(map[string]int)
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
		outcomes[ran]++
		f.outcomes[ran]++
	}
	f.runs += runs
	if runs > 0 {
		f.keysRun++
	}
	if runs > 1 {
		f.twice++
	}
	if outcomes["yes"]+outcomes["no"]+outcomes["unkept"] == 0 {
		f.undecided++
	}
	if runs > 0 && outcomes["no"] > 0 {
		f.ranDespiteRefusal++
	}
}

// The check has to reject a history in which an entry dispatches a claimed request
// twice.
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

// The check has to reject a history in which entries dispatch requests before
// their claims are confirmed.
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
			Instance: to.ID, Address: to.Address, Deadline: ev.Now.Add(sendTimeLimit),
		})
	}
	r := newClaimRun(t, 3, 20, 1, sendAtOnce)
	runner.Store(r.fleet.Runners[0])
	must.EqOp(t, porcupine.Illegal, checkClaims(r.run(nil)))
}

// The check has to reject a history in which a request that ran is refused as not
// run.
func TestClaimHistoryFindsAFalseRefusal(t *testing.T) {
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

// The check has to reject a history in which two callers get each other's answers.
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
