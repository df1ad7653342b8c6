package jobs_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
)

// addInstance adds an instance with a runner.
func (w *world) addInstance(id fleet.InstanceID) *fakeInstance {
	r := w.addRunner(fleet.RunnerID("r-" + string(id)))
	r.instance = id
	i := &fakeInstance{id: id, pool: "desk", state: fleet.InstanceUp, runner: r, maintained: make(map[int64]bool)}
	w.instances = append(w.instances, i)
	return i
}

// askForWave requests the maintenance of instances from all entries.
func (w *world) askForWave(maxAtOnce int, ids ...fleet.InstanceID) int64 {
	wave := fleet.MaintenanceWave{ID: int64(len(w.waves) + 1), MaxAtOnce: maxAtOnce, Within: 20 * time.Second, Instances: ids}
	w.waves = append(w.waves, wave)
	for _, e := range w.entries {
		e.post(event.WavesRead{Waves: w.waves})
	}
	return wave.ID
}

// checkWaveStatus checks, when a wave is published as done, that each of its instances that
// stay has begun its maintenance.
func (w *world) checkWaveStatus(wave int64) {
	for _, i := range w.instances {
		for _, id := range w.waves[wave-1].Instances {
			if id == i.id && !i.maintained[wave] {
				w.violation("wave %d is published as done and %s has not begun its maintenance", wave, id)
			}
		}
	}
}

// missSome returns a value of hidden by which a list misses an instance with a chance of one
// in n, but no two lists in a row that an entry reads miss the same one.
func missSome(rng *rand.Rand, n int) func(*fakeEntry, fleet.InstanceID) bool {
	type reader struct {
		entry    fleet.EntryID
		instance fleet.InstanceID
	}
	missedIn := make(map[reader]int)
	return func(e *fakeEntry, id fleet.InstanceID) bool {
		key := reader{entry: e.id, instance: id}
		last, ok := missedIn[key]
		if (ok && last == e.lists-1) || rng.Intn(n) > 0 {
			return false
		}
		missedIn[key] = e.lists
		return true
	}
}

// TestWaveForAnInstanceJustAddedIsNotDoneAtOnce: the owner's list of instances was older
// than the instance, which counted as gone. The wave was published as done and never
// looked at again.
func TestWaveForAnInstanceJustAddedIsNotDoneAtOnce(t *testing.T) {
	for delay := time.Duration(0); delay <= 1200*time.Millisecond; delay += 100 * time.Millisecond {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			w := newWorld(t, 190, 3, 3)
			w.withInstances(0)
			w.run(8*time.Second + delay)
			added := w.addInstance("m-new")
			w.run(20 * time.Millisecond)
			wave := w.askForWave(1, added.id)
			w.run(12 * time.Second)
			w.checkInvariants()
			must.True(t, added.maintained[wave])
			must.True(t, w.waveDone[wave])
		})
	}
}

// TestWaveEndsWithoutInstancesThatHaveGone: instances that lists requested since the wave do
// not have need no maintenance.
func TestWaveEndsWithoutInstancesThatHaveGone(t *testing.T) {
	w := newWorld(t, 191, 3, 3)
	w.withInstances(0)
	w.run(8 * time.Second)
	wave := w.askForWave(1, "m-r0", "m-gone")
	w.run(10 * time.Second)
	w.checkInvariants()
	must.True(t, w.waveDone[wave])
}

// TestListsThatMissAnInstanceDoNotShowThatItHasGone hides instances from single lists, as
// when a list changes between two pages, before and while they are down.
func TestListsThatMissAnInstanceDoNotShowThatItHasGone(t *testing.T) {
	for seed := range int64(10) {
		w := newWorld(t, 200+seed, 3, 5)
		w.withInstances(0)
		w.run(8 * time.Second)
		w.hidden = missSome(w.rng, 3)
		wave := w.askForWave(1, "m-r0", "m-r1", "m-r2", "m-r3", "m-r4")
		w.run(40 * time.Second)
		w.checkInvariants()
		must.True(t, w.waveDone[wave])
	}
}

// TestFinishedWaveIsResumed if an instance that counted as gone is listed again.
func TestFinishedWaveIsResumed(t *testing.T) {
	w := newWorld(t, 192, 3, 3)
	w.withInstances(0)
	w.run(8 * time.Second)
	w.hidden = func(_ *fakeEntry, id fleet.InstanceID) bool { return id == "m-r1" }
	w.ignoreStatus = true
	wave := w.askForWave(1, "m-r0", "m-r1")
	w.run(10 * time.Second)
	must.True(t, w.waveDone[wave])
	w.hidden, w.ignoreStatus = nil, false
	w.run(10 * time.Second)
	w.checkInvariants()
	must.True(t, w.instances[1].maintained[wave])
	must.True(t, w.waveDone[wave])
}

// TestWavesHoldWithOddLists draws waves for instances that were just added, lists that miss
// instances, and faults of owners and the store.
func TestWavesHoldWithOddLists(t *testing.T) {
	for n := range *seeds {
		seed := *firstSeed + int64(n)
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			drawn := rand.New(rand.NewSource(seed))
			w := newWorld(t, seed, 4, 4)
			w.withInstances(2)
			w.run(8 * time.Second)
			w.hidden = missSome(drawn, 12)
			var waves []int64
			for n := range 5 {
				i := w.addInstance(fleet.InstanceID(fmt.Sprint("m-new", n)))
				w.run(time.Duration(drawn.Intn(1200)) * time.Millisecond)
				waves = append(waves, w.askForWave(1, i.id, w.instances[drawn.Intn(len(w.instances)-1)].id))
				w.submitRandomJob(jobID(n))
				switch drawn.Intn(4) {
				case 0:
					w.disturbOwner()
				case 1:
					w.store.down = true
					w.after(time.Duration(drawn.Intn(5000))*time.Millisecond, func() { w.store.down = false })
				}
				w.run(time.Duration(drawn.Intn(6000)) * time.Millisecond)
			}
			w.endFaults()
			w.hidden = nil
			w.run(60 * time.Second)
			w.checkInvariants()
			for _, wave := range waves {
				must.True(t, w.waveDone[wave], must.Sprint("wave ", wave))
			}
		})
	}
}

// TestOrdersAboutUnlistedInstancesAreHandedOn kills an owner that has given an order about
// an instance. The lists of the next owner miss that instance while it orders another one.
// The ledger has to name both, or the third owner gives an order about the first one within
// the lease of the first owner.
func TestOrdersAboutUnlistedInstancesAreHandedOn(t *testing.T) {
	const hidden = fleet.InstanceID("m-r0")
	w := newWorld(t, 86, 3, 4)
	w.withInstances(1)
	w.run(2 * time.Second)
	w.askForWave(1, hidden)
	ordered := make(map[fleet.InstanceID]bool)
	w.onEffect = func(_ *fakeEntry, out effect.Effect) bool {
		if o, ok := out.(effect.OrderInstance); ok {
			ordered[o.Instance] = true
		}
		return true
	}
	for range 800 {
		if !ordered[hidden] {
			w.run(10 * time.Millisecond)
		}
	}
	must.True(t, ordered[hidden], must.Sprint("the first owner gave no order"))
	epoch := w.store.newest().Epoch
	w.hidden = func(_ *fakeEntry, id fleet.InstanceID) bool { return id == hidden }
	w.ignoreStatus = true
	w.owner().kill()
	clear(ordered)
	w.runUntilOwnedAfter(epoch)
	must.SliceContains(t, w.store.content().RecentlyOrdered, hidden)
	w.askForWave(1, "m-r1")
	for range 800 {
		if !ordered["m-r1"] {
			w.run(10 * time.Millisecond)
		}
	}
	must.True(t, ordered["m-r1"], must.Sprint("the second owner gave no order"))
	must.SliceContains(t, w.store.content().RecentlyOrdered, fleet.InstanceID("m-r1"))
	must.SliceContains(t, w.store.content().RecentlyOrdered, hidden)
}
