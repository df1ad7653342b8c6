package jobs_test

import (
	"bytes"
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/banyanrail/banyanrail/storage"
	"github.com/shoenig/test/must"
)

// withLearning adds a tenant to the configuration, so that run times are learned. The queues
// stay open to calls without a key.
func (w *world) withLearning() {
	tenants, err := fleet.NewTenants([]*fleet.Tenant{{Name: "t", Keys: []string{"k"}, Weight: 1}})
	must.NoError(w.t, err)
	queues := *w.queues
	queues.Version++
	queues.Tenants = tenants
	for _, q := range queues.ByName {
		q.Public = true
	}
	w.queues = &queues
}

// learnWorld returns a world that learns run times, or one that is told to do without.
func learnWorld(t *testing.T, seed int64, entries, runners int, learns bool, with ...func(*world)) *world {
	return newWorld(t, seed, entries, runners, append(with, func(w *world) {
		if learns {
			w.withLearning()
		}
	})...)
}

// noisyLoad submits jobs of four images, whose run times differ, with estimates that are off by
// a log-normal error.
type noisyLoad struct {
	w     *world
	rng   *rand.Rand
	noise float64
	// scale multiplies the run times of the jobs that are submitted from now on, and bias the
	// estimates.
	scale, bias float64
	count       int
	lengths     map[fleet.JobID]time.Duration
	// ended holds for each job that has ended how long it took.
	ended map[fleet.JobID]time.Duration
}

func newNoisyLoad(w *world, noise float64) *noisyLoad {
	l := &noisyLoad{
		w: w, rng: rand.New(rand.NewSource(1)), noise: noise, scale: 1, bias: 1,
		lengths: make(map[fleet.JobID]time.Duration), ended: make(map[fleet.JobID]time.Duration),
	}
	w.length = func(id fleet.TaskID) time.Duration { return l.lengths[id.Job] }
	w.onEffect = func(_ *fakeEntry, out effect.Effect) bool {
		if d, ok := out.(effect.Decision); ok && d.Name == "job ended" {
			l.ended[d.Job] = d.Age
		}
		return true
	}
	return l
}

// submit submits a job with a step of some tasks.
func (l *noisyLoad) submit(tasks int) {
	image := l.rng.Intn(4)
	usual := 0.3 * math.Exp2(float64(image))
	length := l.scale * usual * math.Exp(0.2*l.rng.NormFloat64())
	estimate := l.bias * length * math.Exp(l.noise*l.rng.NormFloat64())
	id := jobID(l.count)
	l.count++
	l.lengths[id] = time.Duration(length * float64(time.Second))
	l.w.submit(id, &fleet.JobSpec{Text: "text", Steps: []fleet.Step{{
		Count: tasks, Needs: taskNeeds, Image: fmt.Sprint("image", image), Estimate: time.Duration(estimate * float64(time.Second)),
	}}})
}

// play submits jobs at a rate for a time.
func (l *noisyLoad) play(rate float64, length time.Duration) {
	interval := time.Duration(float64(time.Second) / rate)
	for end := l.w.now.Add(length); l.w.now.Before(end); l.w.run(interval) {
		l.submit(8)
	}
}

// onTime returns the number of jobs from a number on that ended within their objective, by the
// run time that they really have.
func (l *noisyLoad) onTime(from int) int {
	n := 0
	for i := from; i < l.count; i++ {
		if took, ok := l.ended[jobID(i)]; ok && took <= 2*l.lengths[jobID(i)]+time.Second {
			n++
		}
	}
	return n
}

// playTurns plays turns of more than three runners hold. rates are jobs a second.
func (l *noisyLoad) playTurns(turns int, busy float64) {
	for range turns {
		l.play(busy, 4*time.Second)
		l.play(1, 4*time.Second)
	}
}

// TestLearnedRunTimesBringMoreJobsOnTime plays turns of more work than the runners hold. By the
// estimates, a job whose estimate is too long is put behind as late, and one whose estimate is
// too short waits until it cannot be on time any more.
func TestLearnedRunTimesBringMoreJobsOnTime(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ noise, busy float64 }{{0.5, 10}, {0.5, 12}, {0.9, 10}, {0.9, 12}} {
		late := make(map[bool]int)
		for _, learns := range []bool{false, true} {
			for seed := range int64(3) {
				w := learnWorld(t, 500+seed, 1, 3, learns)
				w.run(2 * time.Second)
				l := newNoisyLoad(w, c.noise)
				l.rng = rand.New(rand.NewSource(seed))
				l.playTurns(8, c.busy)
				w.run(10 * time.Second)
				late[learns] += l.count - l.onTime(0)
				w.checkInvariants()
			}
		}
		t.Logf("noise %.1f, %.0f jobs a second: %d jobs late by the estimates, %d by what was learned", c.noise, c.busy, late[false], late[true])
		must.Less(t, 0.9*float64(late[false]), float64(late[true]), must.Sprint(c))
	}
}

// TestWrongRunTimesDoNoHarmToTheOrder has all run times change and estimates become right after
// they were rough, so that what was learned is wrong for some tens of runs.
func TestWrongRunTimesDoNoHarmToTheOrder(t *testing.T) {
	t.Parallel()
	for _, scale := range []float64{0.25, 1, 2} {
		onTime := make(map[bool]int)
		for _, learns := range []bool{false, true} {
			for seed := range int64(3) {
				w := learnWorld(t, 500+seed, 1, 3, learns)
				w.run(2 * time.Second)
				l := newNoisyLoad(w, 0.9)
				l.rng = rand.New(rand.NewSource(seed))
				l.playTurns(3, 10)
				w.run(10 * time.Second)
				l.scale, l.noise = scale, 0.1
				changed := l.count
				l.playTurns(2, 11/scale)
				w.run(10 * time.Second)
				onTime[learns] += l.onTime(changed)
			}
		}
		t.Logf("run times change by a factor of %.2f: %d jobs on time by the estimates, %d by what was learned", scale, onTime[false], onTime[true])
		must.Greater(t, 0.95*float64(onTime[false]), float64(onTime[true]), must.Sprint(scale))
	}
}

// learning counts the runs from which an owner learns and those that it leaves out, by reason.
func (w *world) learning() (learned *int, leftOut map[effect.Reason]int) {
	learned, leftOut = new(int), make(map[effect.Reason]int)
	then := w.onEffect
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		switch o := out.(type) {
		case effect.Observe:
			if o.Name == "run_time_error_expected" {
				*learned++
			}
		case effect.CountJob:
			if o.Name == "run_times_left_out" {
				leftOut[o.Reason]++
			}
		}
		return then == nil || then(e, out)
	}
	return learned, leftOut
}

// TestRunsThatTellNothingAreLeftOut guards against run times that are those of a fault, of a
// slowed run or of an end that was noticed late.
func TestRunsThatTellNothingAreLeftOut(t *testing.T) {
	t.Parallel()
	task := firstTask(jobID(0))
	run := func(w *world) { w.submit(jobID(0), oneTaskJob(3*time.Second)); w.runUntilRuns(task) }
	for reason, play := range map[effect.Reason]func(*world){
		"": func(w *world) { run(w) },
		"not done": func(w *world) {
			w.alwaysFails[jobID(0)] = true
			run(w)
		},
		"later attempt": func(w *world) {
			run(w)
			w.runnerUnder(task).restartFor(time.Second)
			w.run(12 * time.Second)
		},
		"start not confirmed": func(w *world) {
			run(w)
			epoch := w.store.newest().Epoch
			w.owner().kill()
			w.runUntilOwnedAfter(epoch)
		},
		"paced": func(w *world) {
			serving := longRunningJob(1, 1)
			serving.Steps[0].LatencyTarget = 40 * time.Millisecond
			w.submit(jobID(1), serving)
			w.runUntilRuns(firstTask(jobID(1)))
			w.load = func(fleet.TaskID) int64 { return 60 }
			spec := oneTaskJob(3 * time.Second)
			spec.Steps[0].BestEffort = true
			w.submit(jobID(0), spec)
		},
		"away from its data": func(w *world) {
			spec := oneTaskJob(time.Second)
			spec.Steps[0].Affinity = "elsewhere"
			w.submit(jobID(0), spec)
		},
		"runner not healthy": func(w *world) {
			run(w)
			bad := oneTaskJob(100 * time.Millisecond)
			bad.Steps[0].Count = 3
			w.alwaysFails[jobID(1)] = true
			w.submit(jobID(1), bad)
		},
		"end noticed late": func(w *world) {
			run(w)
			w.run(2 * time.Second)
			w.runnerUnder(task).unreachable = true
			w.run(2 * time.Second)
			for _, r := range w.runners {
				r.unreachable = false
			}
		},
	} {
		w := learnWorld(t, 510, 2, 1, true)
		w.run(2 * time.Second)
		learned, leftOut := w.learning()
		play(w)
		w.run(6 * time.Second)
		if reason == "" {
			must.Eq(t, 1, *learned)
			must.MapEmpty(t, leftOut)
			continue
		}
		must.Eq(t, 0, *learned, must.Sprint(reason))
		must.Positive(t, leftOut[reason], must.Sprint(reason, " ", leftOut))
	}
}

// playPool plays turns at a pool with spare instances beside it. It returns the jobs on time and
// the instance seconds of the pool from second 16 on.
func playPool(t *testing.T, learns bool, noise, bias, after float64) (onTime int, seconds float64) {
	for seed := range int64(2) {
		w := newWorld(t, 520+seed, 1, 2)
		w.withInstances(10)
		if learns {
			w.withLearning()
			w.rebootAll()
		}
		w.run(2 * time.Second)
		l := newNoisyLoad(w, noise)
		l.rng = rand.New(rand.NewSource(seed))
		l.bias = bias
		l.playTurns(2, 8)
		l.bias = after
		from := l.count
		for range 4 {
			for phase := range 2 {
				for range 40 {
					l.play([]float64{14, 1}[phase], 100*time.Millisecond)
					for _, i := range w.instances {
						if i.pool == "desk" {
							seconds += 0.1
						}
					}
				}
			}
		}
		w.run(10 * time.Second)
		onTime += l.onTime(from)
		w.checkInvariants()
	}
	return onTime, seconds
}

// TestLearnedRunTimesSizePools guards against pools that are larger than their work needs
// because estimates are too long, or too small because they are too short.
func TestLearnedRunTimesSizePools(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ noise, bias float64 }{{0.9, 1}, {0.5, 4}} {
		byEstimate, secondsByEstimate := playPool(t, false, c.noise, c.bias, c.bias)
		learned, seconds := playPool(t, true, c.noise, c.bias, c.bias)
		t.Logf("noise %.1f, bias %.0f: on time %d and %d, instance seconds %.0f and %.0f", c.noise, c.bias, byEstimate, learned, secondsByEstimate, seconds)
		must.GreaterEq(t, byEstimate, learned)
		must.Less(t, 0.97*secondsByEstimate, seconds)
	}
}

// TestWrongRunTimesDoNoHarmToPools has estimates that were far off become right, so that what
// was learned of them is wrong.
func TestWrongRunTimesDoNoHarmToPools(t *testing.T) {
	t.Parallel()
	for _, bias := range []float64{0.25, 4} {
		byEstimate, secondsByEstimate := playPool(t, false, 0.2, bias, 1)
		learned, seconds := playPool(t, true, 0.2, bias, 1)
		t.Logf("bias %.2f: on time %d and %d, instance seconds %.0f and %.0f", bias, byEstimate, learned, secondsByEstimate, seconds)
		must.GreaterEq(t, 0.99*float64(byEstimate), float64(learned))
		must.Less(t, 1.03*secondsByEstimate, seconds)
	}
}

// TestLearnedRunTimesShowSlowRunners guards against slow runners that are not noticed, and sound
// ones that are taken for slow, because estimates are wrong.
func TestLearnedRunTimesShowSlowRunners(t *testing.T) {
	t.Parallel()
	var onTimeByEstimate, onTime int
	for _, c := range []struct{ noise, bias float64 }{{0.5, 1}, {0.9, 1}, {0.5, 0.3}} {
		rightByEstimate, wrongByEstimate, n := playSlowRunner(t, false, c.noise, c.bias, 1)
		right, wrong, m := playSlowRunner(t, true, c.noise, c.bias, 1)
		t.Logf("noise %.1f, bias %.1f: on time %d and %d, restarted on the slow runner %d and %d, elsewhere %d and %d",
			c.noise, c.bias, n, m, rightByEstimate, right, wrongByEstimate, wrong)
		must.Greater(t, rightByEstimate, right)
		must.Zero(t, wrong)
		onTimeByEstimate, onTime = onTimeByEstimate+n, onTime+m
	}
	must.Greater(t, onTimeByEstimate, onTime)
}

// TestWrongRunTimesRestartNoRuns has tasks take longer than was learned, while estimates become
// right. The first version restarted 546 of 640 tasks then.
func TestWrongRunTimesRestartNoRuns(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ noise, bias, scale float64 }{{0.9, 1, 4}, {0.9, 1, 0.25}, {0.2, 4, 2}} {
		_, wrongByEstimate, n := playSlowRunner(t, false, c.noise, c.bias, c.scale)
		_, wrong, m := playSlowRunner(t, true, c.noise, c.bias, c.scale)
		t.Logf("noise %.1f, bias %.0f, times %.2f: %d and %d runs restarted", c.noise, c.bias, c.scale, wrongByEstimate, wrong)
		must.LessEq(t, wrongByEstimate, wrong)
		must.GreaterEq(t, n, m)
	}
}

// playSlowRunner has one of eight runners become six times slower, or, if scale is not 1, all
// tasks take so many times longer and estimates become right. It returns the runs that were
// restarted there and elsewhere, and the jobs on time of those that were submitted since.
func playSlowRunner(t *testing.T, learns bool, noise, bias, scale float64) (right, wrong, onTime int) {
	for seed := range int64(4) {
		w := learnWorld(t, 530+seed, 1, 8, learns)
		w.run(2 * time.Second)
		l := newNoisyLoad(w, noise)
		l.rng, l.bias = rand.New(rand.NewSource(seed)), bias
		then := w.onEffect
		w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
			if d, ok := out.(effect.Decision); ok && d.Name == "run restarted" && w.now.Sub(start) > 20*time.Second {
				if w.runners[d.Runner].slowness > 0 {
					right++
				} else {
					wrong++
				}
			}
			return then(e, out)
		}
		l.play(8, 18*time.Second)
		if scale == 1 {
			w.runners["r0"].slowness = 6
		}
		l.scale = scale
		if scale != 1 {
			l.noise, l.bias = 0.1, 1
		}
		from := l.count
		l.play(8/scale, 10*time.Second)
		w.run(30 * time.Second)
		onTime += l.onTime(from)
		w.checkInvariants()
	}
	return right, wrong, onTime
}

// playLeaving has a runner of four leave every eight seconds, with a notice of 5.5 s. It returns
// the number of runs that ended with their runners, and the jobs on time.
func playLeaving(t *testing.T, learns bool, noise, scale float64) (cut, onTime int) {
	for seed := range int64(2) {
		w := learnWorld(t, 540+seed, 1, 4, learns)
		w.run(2 * time.Second)
		l := newNoisyLoad(w, noise)
		l.rng = rand.New(rand.NewSource(seed))
		l.play(5, 15*time.Second)
		l.scale = scale
		from := l.count
		for n := range 6 {
			r := w.runners[fleet.RunnerID(fmt.Sprint("r", n%4))]
			r.remaining = 5500 * time.Millisecond
			w.after(r.remaining, func() {
				r.remaining = 0
				cut += len(r.runs)
				r.restartFor(500 * time.Millisecond)
			})
			l.play(5/scale, 8*time.Second)
		}
		w.run(30 * time.Second)
		onTime += l.onTime(from)
		w.checkInvariants()
	}
	return cut, onTime
}

// TestLearnedRunTimesSpareTasksOnLeavingRunners guards against tasks on a runner that leaves
// before they end.
func TestLearnedRunTimesSpareTasksOnLeavingRunners(t *testing.T) {
	t.Parallel()
	byEstimate, n := playLeaving(t, false, 0.9, 1)
	cut, m := playLeaving(t, true, 0.9, 1)
	t.Logf("%d and %d runs cut off", byEstimate, cut)
	must.Less(t, byEstimate/10, cut)
	must.GreaterEq(t, n, m)
}

// TestWrongRunTimesDoNoHarmBesideLeavingRunners has tasks become longer and shorter than was
// learned.
func TestWrongRunTimesDoNoHarmBesideLeavingRunners(t *testing.T) {
	t.Parallel()
	for _, scale := range []float64{2, 0.25} {
		byEstimate, n := playLeaving(t, false, 0.5, scale)
		cut, m := playLeaving(t, true, 0.5, scale)
		t.Logf("times %.2f: %d and %d runs cut off, on time %d and %d", scale, byEstimate, cut, n, m)
		must.LessEq(t, byEstimate, cut)
		must.GreaterEq(t, n, m)
	}
}

// TestNextOwnerExpectsWhatWasLearned guards against an owner that begins with the estimates, a
// record that exceeds its bounds, and one that is stored too often.
func TestNextOwnerExpectsWhatWasLearned(t *testing.T) {
	t.Parallel()
	w := learnWorld(t, 550, 2, 3, true)
	var storedAt []time.Time
	w.run(2 * time.Second)
	l := newNoisyLoad(w, 0.9)
	then := w.onEffect
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		if a, ok := out.(effect.AppendLedger); ok {
			for i := range a.Records {
				if a.Records[i].RunTimes != nil {
					storedAt = append(storedAt, w.now)
					must.LessEq(t, 32<<10, a.Records[i].Size())
				}
			}
		}
		return then(e, out)
	}
	l.play(6, 16*time.Second)
	w.run(6 * time.Second)
	must.SliceLen(t, 4, storedAt)
	for i := range storedAt[1:] {
		must.GreaterEq(t, 5*time.Second, storedAt[i+1].Sub(storedAt[i]))
	}
	before := w.store.content().RunTimes
	must.SliceNotEmpty(t, before.Entries)
	epoch := w.store.newest().Epoch
	w.owner().kill()
	w.runUntilOwnedAfter(epoch)
	w.run(time.Second)
	l.submit(1)
	w.run(8 * time.Second)
	after := w.store.content().RunTimes
	must.SliceLen(t, len(before.Entries), after.Entries)
	weight := func(r *ledger.RunTimes) (sum int64) {
		for _, e := range r.Entries {
			sum += e.Values.Weight
		}
		return sum
	}
	must.Greater(t, weight(before)*9/10, weight(after), must.Sprint("what was learned stays"))
	w.checkInvariants()
}

// TestObjectiveStaysWithItsJob guards against a deadline that jumps with what is learned, or
// with the owner. A job of an older ledger, without an expected path, is loaded too.
func TestObjectiveStaysWithItsJob(t *testing.T) {
	t.Parallel()
	for _, older := range []bool{false, true} {
		w := learnWorld(t, 551, 2, 1, true)
		w.run(2 * time.Second)
		spec := oneTaskJob(time.Second)
		spec.Steps[0].Needs.CPU = 2 * runnerCapacity.CPU // waits for a larger runner
		w.submit(jobID(0), spec)
		w.run(time.Second)
		if older {
			for key, r := range w.store.records {
				if rest, ok := bytes.CutSuffix(r.Value, []byte(`,"e":1000}`)); ok {
					w.store.records[key] = storage.Record{Key: key, Value: append(bytes.Clone(rest), '}')}
				}
			}
		}
		must.Eq(t, older, w.store.content().Jobs[0].Definition.ExpectedPath == 0)
		for n := range 12 {
			w.submitted[jobID(1+n)] = oneTaskJob(time.Second)
		}
		w.length = func(fleet.TaskID) time.Duration { return 3 * time.Second }
		for n := range 12 {
			w.submit(jobID(1+n), w.submitted[jobID(1+n)])
		}
		w.run(6 * time.Second)
		must.NotNil(t, w.store.content().RunTimes)
		epoch := w.store.newest().Epoch
		w.owner().kill()
		w.runUntilOwnedAfter(epoch)
		w.run(time.Second)
		if !older {
			must.Eq(t, time.Second, w.store.content().Jobs[0].Definition.ExpectedPath)
		}
		w.runners["r0"].capacity.CPU *= 2
		w.run(8 * time.Second)
		w.mustState(jobID(0), fleet.JobDone)
		w.checkInvariants()
	}
}
