package soak_test

import (
	"fmt"
	"math/rand"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/storage"
)

// roundsPerGroup is the number of rounds of restarts in a run for each half of the runners.
const roundsPerGroup = 2

// restartRound is a fault: runners get calls that they do not answer, are killed, come
// back under their ids, and are cut off soon after. The calls are carried out meanwhile.
type restartRound struct {
	// runners are the indexes of the runners.
	runners []int
	pause   time.Duration
	// keptBack is how long before the kill calls are kept back, down the time until the
	// runners are back, up the time until they are cut off, and cut how long that lasts.
	keptBack, down, up, cut time.Duration
	// untilPoll is set if a runner is killed only once a poll has been kept back.
	untilPoll bool
	// unseen is set if calls are kept back and the runners report nothing until the cut.
	unseen bool
	// owner is the signal to the owner's process, if any; ownerAt is when it is sent after
	// the runners have been told to start, and ownerDown how long the process is down or
	// paused.
	owner              syscall.Signal
	ownerAt, ownerDown time.Duration
}

func (r restartRound) String() string {
	return fmt.Sprintf("restart runners %v after %v: calls kept back %v, down %v, up %v, cut off %v, unseen %v, until poll %v; owner: %v at %v for %v",
		r.runners, r.pause, r.keptBack, r.down, r.up, r.cut, r.unseen, r.untilPoll, r.owner, r.ownerAt, r.ownerDown)
}

// drawRestarts draws the rounds of one half of the runners, which follow one another.
func drawRestarts(rng *rand.Rand, firstRunner int) []restartRound {
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int63n(int64(high-low))) }
	rounds := make([]restartRound, roundsPerGroup)
	for i := range rounds {
		r := &rounds[i]
		for j, n := range rng.Perm(runnerCount / 2) {
			if j == 0 || rng.Intn(2) == 0 {
				r.runners = append(r.runners, firstRunner+n)
			}
		}
		r.pause = between(0, 3*time.Second)
		r.keptBack, r.down = between(100*time.Millisecond, time.Second), between(200*time.Millisecond, 2*time.Second)
		r.up, r.cut = between(50*time.Millisecond, 3*time.Second), between(5*time.Second, 10*time.Second)
		r.unseen, r.untilPoll = rng.Intn(2) == 0, i == 0
		signals := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM, syscall.SIGSTOP}
		if i == 0 || rng.Intn(4) > 0 {
			r.owner = signals[rng.Intn(len(signals))]
		}
		r.ownerAt = between(0, r.up+500*time.Millisecond)
		r.ownerDown = between(100*time.Millisecond, 3*time.Second)
	}
	return rounds
}

// injectAllRestarts runs the rounds of both halves of the runners at the same time.
func (tb *testbed) injectAllRestarts(t *testing.T) {
	var groups sync.WaitGroup
	for first := 0; first < runnerCount; first += runnerCount / 2 {
		rounds := drawRestarts(tb.rng, first)
		groups.Go(func() {
			for _, r := range rounds {
				t.Log(r)
				tb.injectRestarts(t, r)
			}
		})
	}
	groups.Wait()
}

// injectRestarts runs a round and reverts it.
func (tb *testbed) injectRestarts(t *testing.T, round restartRound) {
	tb.sleep(round.pause)
	var parts sync.WaitGroup
	for _, n := range round.runners {
		parts.Go(func() { tb.restartRunner(t, tb.runners[n], round) })
	}
	if round.owner != 0 {
		parts.Go(func() {
			tb.sleep(round.keptBack + round.down + round.ownerAt)
			tb.disruptOwner(t, round.owner, round.ownerDown)
		})
	}
	tb.burst()
	parts.Wait()
}

func (tb *testbed) restartRunner(t *testing.T, r *runnerHost, round restartRound) {
	leases := r.proxy.late.keptLeases()
	r.proxy.setMode(keepBack)
	tb.sleep(round.keptBack)
	if round.untilPoll {
		r.proxy.late.awaitLease(leases + 1)
	}
	r.crash()
	tb.sleep(round.down)
	tb.bootRunner(t, r, false)
	if !round.unseen {
		r.proxy.setMode(forward)
	}
	tb.sleep(round.up)
	r.proxy.setMode(dropAll)
	r.addCut()
	tb.sleep(round.cut)
	r.proxy.setMode(forward)
}

// disruptOwner sends a signal to the process of the entry that owns the jobs, if one does.
func (tb *testbed) disruptOwner(t *testing.T, s syscall.Signal, down time.Duration) {
	page, err := tb.store.Newest(tb.ctx, storage.TopicTenure)
	if err != nil {
		t.Errorf("cannot read the tenure: %v", err)
		return
	}
	newest, ok, err := codec.DecodeTenure(page.Records)
	if err != nil {
		t.Errorf("cannot read the tenure: %v", err)
		return
	}
	for _, e := range tb.entries {
		if !ok || e.name != string(newest.Owner) {
			continue
		}
		tb.ownersDisrupted.Add(1)
		tb.log.Printf("owner %s of epoch %d gets signal %v", e.name, newest.Epoch, s)
		if s == syscall.SIGSTOP {
			e.signal(s)
			tb.sleep(down)
			e.signal(syscall.SIGCONT)
			return
		}
		tb.restart(t, e, down, s)
	}
}

// burst has the clients of long jobs submit some at once.
func (tb *testbed) burst() {
	for range longClientCount {
		select {
		case tb.bursts <- struct{}{}:
		case <-tb.ctx.Done():
		}
	}
}
