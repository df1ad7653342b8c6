package jobs_test

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
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

// TestWrongRunTimesDoNoHarmToTheOrder has all run times change at once while the estimates stay
// right, so that what was learned is wrong for some tens of runs.
func TestWrongRunTimesDoNoHarmToTheOrder(t *testing.T) {
	t.Parallel()
	for _, scale := range []float64{0.25, 1, 2} {
		onTime := make(map[bool]int)
		for _, learns := range []bool{false, true} {
			for seed := range int64(3) {
				w := learnWorld(t, 500+seed, 1, 3, learns)
				w.run(2 * time.Second)
				l := newNoisyLoad(w, 0.1)
				l.rng = rand.New(rand.NewSource(seed))
				l.playTurns(3, 10)
				w.run(10 * time.Second)
				l.scale = scale
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
