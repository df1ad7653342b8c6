package runtimes_test

import (
	"fmt"
	"math"
	"math/rand"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/reduce/runtimes"
	"github.com/shoenig/test/must"
)

// seconds returns a time of exp(log) seconds.
func seconds(log float64) time.Duration { return time.Duration(math.Exp(log) * float64(time.Second)) }

// squared returns the square of the error of an expected time, as a logarithm.
func squared(a, b time.Duration) float64 { return math.Pow(math.Log(a.Seconds()/b.Seconds()), 2) }

func step(n int) runtimes.Key { return runtimes.Key{Queue: "plans", Step: n} }

var key = runtimes.Key{Queue: "plans", Step: 0, Image: "solver"}

// TestExpectationIsCloserThanNoisyEstimates draws estimates with the errors that clients have.
// It guards against a model that follows the noise of the estimates, or that ignores what they
// tell where run times differ a lot. In the last case, one run in twenty has to exceed the tail:
// it guards against one by which tasks are placed on runners that leave before they end.
func TestExpectationIsCloserThanNoisyEstimates(t *testing.T) {
	for _, c := range []struct {
		noise, spread, most float64
		seed                int64
		steps, runs         int
	}{{0.5, 0.3, 0.65, 1, 5, 3000}, {0.9, 0.3, 0.45, 1, 5, 3000}, {0.5, 1, 0.97, 1, 5, 3000}, {0.9, 1, 0.85, 1, 5, 3000}, {0.7, 0.4, 1, 2, 1, 4000}} {
		rng, m := rand.New(rand.NewSource(c.seed)), runtimes.New()
		var byEstimate, byModel, aboveTail float64
		for n := range c.runs {
			k := step(n % c.steps)
			log := float64(k.Step)*0.4 + c.spread*rng.NormFloat64()
			actual, estimate := seconds(log), seconds(log+c.noise*rng.NormFloat64())
			x := m.Expect(k, estimate)
			if n >= 200 {
				byEstimate += squared(estimate, actual)
				byModel += squared(x.Typical, actual)
			}
			if actual > x.Tail {
				aboveTail++
			}
			m.Observe(k, estimate, actual)
		}
		must.Less(t, c.most, math.Sqrt(byModel/byEstimate), must.Sprint(c))
		must.True(t, c.steps > 1 || (aboveTail >= 0.03*4000 && aboveTail <= 0.08*4000), must.Sprint(c, aboveTail))
	}
}

// TestEstimateStandsUntilRunsWereSeen guards against an expectation from a few runs.
func TestEstimateStandsUntilRunsWereSeen(t *testing.T) {
	m := runtimes.New()
	for range 9 {
		e := m.Expect(key, 2*time.Second)
		must.Eq(t, 2*time.Second, e.Typical)
		must.Greater(t, e.Typical, e.Tail)
		must.Eq(t, 0, e.Samples)
		m.Observe(key, 2*time.Second, 8*time.Second)
	}
	m.Observe(key, time.Second, 0)
	m.Observe(key, 0, time.Second)
	must.Eq(t, 0, m.Expect(key, 0).Typical)
	must.Eq(t, 2*time.Second, m.Expect(key, 2*time.Second).Typical)
}

// TestWhichRunsCount guards against expectations that lag behind a change, of a new step by nothing
// or by another queue's runs, of an unusual estimate by runs that say nothing of it, and by the
// many tasks of one job or those of a step that end first.
func TestWhichRunsCount(t *testing.T) {
	type runs struct { // with estimates around a second
		count         int
		rough, spread float64
		log           float64
		tasks         int
	}
	steady, slower, faster := runs{1000, 0.7, 0.2, 0, 1}, runs{50, 0.7, 0.2, math.Log(4), 1}, runs{50, 0.7, 0.2, 0, 1}
	for why, c := range map[string]struct {
		seed        int64
		estimate    time.Duration
		least, most float64
		runs        []runs
	}{
		"steady":                {3, time.Second, 0.85, 1.15, []runs{steady}},
		"four times slower":     {3, time.Second, 2.8, 4.5, []runs{steady, slower}},
		"faster again":          {3, time.Second, 0.85, 1.5, []runs{steady, slower, faster}},
		"unusual estimate":      {5, time.Hour, 300.001, math.Inf(1), []runs{{200, 0.5, 0, 0, 1}}},
		"2,000 tasks of a step": {0, time.Second, 0, 2.999, []runs{{100, 0, 0, 0, 1}, {2000, 0, 0, math.Log(20), 2000}}},
	} {
		rng, m := rand.New(rand.NewSource(c.seed)), runtimes.New()
		for _, r := range c.runs {
			for range r.count {
				m.ObserveOneOf(key, seconds(r.rough*rng.NormFloat64()), seconds(r.log+r.spread*rng.NormFloat64()), r.tasks)
			}
		}
		must.Between(t, c.least, m.Expect(key, c.estimate).Typical.Seconds(), c.most, must.Sprint(why))
	}
	rng, m, typical := rand.New(rand.NewSource(4)), runtimes.New(), func(m *runtimes.Model, k runtimes.Key) float64 { return m.Expect(k, time.Second).Typical.Seconds() }
	for n := range 500 {
		log := rng.NormFloat64()
		m.Observe(step(n%7), seconds(log+0.2*rng.NormFloat64()), seconds(log+math.Log(3)))
		m.Observe(runtimes.Key{Queue: "other"}, seconds(log), seconds(log))
	}
	must.Between(t, 2.6, typical(m, runtimes.Key{Queue: "plans", Step: 100, Image: "new"}), 3.4)
	must.Between(t, 0.95, typical(m, runtimes.Key{Queue: "other", Step: 9}), 1.05)
	m = runtimes.New()
	for n := range 500 { // the tasks of each step end in the order of their run times
		m.ObserveOneOf(key, time.Second, []time.Duration{500, 800, 1000, 1250, 2000}[n%5]*time.Millisecond, 5)
	}
	must.InDelta(t, 1, typical(m, key), 0.05)
}

// TestMillionNamesTakeBoundedMemory floods the model with names of up to 4 KB, each tenth of them
// with eight runs, beside a busy step and one that runs once in 500 runs. Neither may be forgotten.
func TestMillionNamesTakeBoundedMemory(t *testing.T) {
	m, long := runtimes.New(), strings.Repeat("x", 4000)
	heap := func() uint64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&s)
		return s.HeapAlloc
	}
	before := heap()
	for n := range 1_000_000 {
		if n%125 == 0 {
			m.Observe(step(1), time.Second, 5*time.Second)
		}
		if n%2 == 0 {
			m.Observe(key, time.Second, 2*time.Second)
		}
		for r := 0; r == 0 || (n%10 == 0 && r < 8); r++ {
			m.Observe(runtimes.Key{Queue: "flood", Image: fmt.Sprint(n) + long[:n%1000*4]}, time.Second, 9*time.Second)
		}
	}
	must.Less(t, before+2<<20, heap())
	must.Between(t, 1.9, m.Expect(key, time.Second).Typical.Seconds(), 2.2)
	must.Between(t, 4.2, m.Expect(step(1), time.Second).Typical.Seconds(), 5.2)
}

// TestRestoredModelExpectsTheSame guards against a next owner that expects something else, or
// that forgets the busy keys first.
func TestRestoredModelExpectsTheSame(t *testing.T) {
	rng, m, next := rand.New(rand.NewSource(6)), runtimes.New(), runtimes.New()
	for n := range 2000 {
		log := 0.5 * rng.NormFloat64()
		m.Observe(step(n%6), seconds(log+0.5*rng.NormFloat64()), seconds(log+0.3*float64(n%6)))
	}
	m.Observe(step(9), time.Second, time.Second)
	entries := m.Entries()
	must.Eq(t, step(9), entries[len(entries)-1].Key, must.Sprint("the least active key is the last"))
	must.Zero(t, next.Restore(entries))
	for n := range 8 {
		want, got := m.Expect(step(n), 2*time.Second), next.Expect(step(n), 2*time.Second)
		must.Between(t, 0.99, got.Typical.Seconds()/want.Typical.Seconds(), 1.01)
		must.Between(t, 0.97, got.Tail.Seconds()/want.Tail.Seconds(), 1.03)
	}
	must.Eq(t, entries, next.Entries())
}

// TestImplausibleEntriesAreDropped guards against expectations that are no times.
func TestImplausibleEntriesAreDropped(t *testing.T) {
	m := runtimes.New()
	restore := func(change func(*runtimes.Values)) int {
		e := runtimes.Entry{Key: runtimes.Key{Queue: "plans"}, WholeQueue: true}
		e.Values = runtimes.Values{Weight: 20_000, SumXX: 1000, SumXY: 500, SumYY: 1000, Activity: 5000}
		change(&e.Values)
		return m.Restore([]runtimes.Entry{e})
	}
	for n, change := range []func(*runtimes.Values){
		func(v *runtimes.Values) { v.Weight = 0 }, func(v *runtimes.Values) { v.Weight = 1 << 40 },
		func(v *runtimes.Values) { v.MeanX = math.MaxInt64 }, func(v *runtimes.Values) { v.MeanY = math.MinInt64 },
		func(v *runtimes.Values) { v.SumXX = -1 }, func(v *runtimes.Values) { v.SumYY = math.MaxInt64 },
		func(v *runtimes.Values) { v.SumXY = math.MinInt64 }, func(v *runtimes.Values) { v.Activity = -1 },
	} {
		must.One(t, restore(change), must.Sprint(n))
	}
	must.Eq(t, time.Second, m.Expect(key, time.Second).Typical)
	must.Zero(t, restore(func(*runtimes.Values) {}))
	must.Positive(t, m.Expect(key, time.Second).Samples)
}

// TestRunsOfAStepRefineItsExpectation has steps whose tasks resemble one another, and others
// whose tasks do not, where the refinement may lose a tenth at most. Of many tasks that began
// together, those that end first are the shortest, and do not count.
func TestRunsOfAStepRefineItsExpectation(t *testing.T) {
	for _, c := range []struct{ between, within, most float64 }{{0.6, 0.2, 0.55}, {0, 0.6, 1.1}} {
		rng := rand.New(rand.NewSource(7))
		first := runtimes.Expectation{Typical: time.Second, Tail: 2 * time.Second}
		var before, after float64
		for range 500 {
			log := c.between * rng.NormFloat64()
			var ended runtimes.Ended
			for n := range 16 {
				actual := seconds(log + c.within*rng.NormFloat64())
				x := ended.Refine(first, n)
				before += squared(first.Typical, actual)
				after += squared(x.Typical, actual)
				must.Between(t, 1.99, float64(x.Tail)/float64(x.Typical), 2.01)
				ended.Add(actual)
			}
		}
		must.Less(t, c.most, math.Sqrt(after/before))
	}
	x := runtimes.Expectation{Typical: time.Second, Tail: time.Second}
	var ended runtimes.Ended
	for range 7 {
		ended.Add(10 * time.Millisecond)
	}
	must.Eq(t, x, ended.Refine(x, 16))
	ended.Add(10 * time.Millisecond)
	must.Less(t, 500*time.Millisecond, ended.Refine(x, 16).Typical)
}

// BenchmarkRun measures what an owner does for one run, an expectation and an observation, of
// known names and in a flood of new ones.
func BenchmarkRun(b *testing.B) {
	for name, steps := range map[string]int{"known": 500, "new": math.MaxInt} {
		b.Run(name, func(b *testing.B) {
			m := runtimes.New()
			b.ReportAllocs()
			for n := range b.N {
				m.Observe(step(n%steps), time.Second, m.Expect(step(n%steps), time.Second).Typical+time.Millisecond)
			}
		})
	}
}
