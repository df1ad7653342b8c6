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

func logRatio(a, b time.Duration) float64 { return math.Log(a.Seconds() / b.Seconds()) }

var key = runtimes.Key{Queue: "plans", Step: 0, Image: "solver"}

// TestExpectationIsCloserThanNoisyEstimates draws estimates with the errors that clients have.
// It guards against a model that follows the noise of the estimates, or that ignores what
// they tell where run times differ a lot.
func TestExpectationIsCloserThanNoisyEstimates(t *testing.T) {
	for _, c := range []struct{ noise, spread, most float64 }{
		{0.5, 0.3, 0.65}, {0.9, 0.3, 0.45}, {0.5, 1, 0.97}, {0.9, 1, 0.85},
	} {
		rng := rand.New(rand.NewSource(1))
		m := runtimes.New()
		var byEstimate, byModel float64
		for n := range 3000 {
			k := runtimes.Key{Queue: "plans", Step: n % 5}
			log := float64(k.Step)*0.4 + c.spread*rng.NormFloat64()
			actual, estimate := seconds(log), seconds(log+c.noise*rng.NormFloat64())
			if n >= 200 {
				byEstimate += math.Pow(logRatio(estimate, actual), 2)
				byModel += math.Pow(logRatio(m.Expect(k, estimate).Typical, actual), 2)
			}
			m.Observe(k, estimate, actual)
		}
		share := math.Sqrt(byModel / byEstimate)
		t.Logf("noise %.1f, spread of run times %.1f: error %.2f of the estimate's", c.noise, c.spread, share)
		must.Less(t, c.most, share, must.Sprint(c))
	}
}

// TestTailIsExceededByOneRunInTwenty guards against a tail by which tasks are placed on
// runners that leave before they end.
func TestTailIsExceededByOneRunInTwenty(t *testing.T) {
	rng := rand.New(rand.NewSource(2))
	m, above := runtimes.New(), 0
	const runs = 4000
	for range runs {
		log := 0.4 * rng.NormFloat64()
		actual, estimate := seconds(log), seconds(log+0.7*rng.NormFloat64())
		if actual > m.Expect(key, estimate).Tail {
			above++
		}
		m.Observe(key, estimate, actual)
	}
	must.Between(t, 0.03, float64(above)/runs, 0.08)
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

// TestChangeShowsWithinSomeTensOfRuns has a step become four times slower, and faster again.
func TestChangeShowsWithinSomeTensOfRuns(t *testing.T) {
	rng := rand.New(rand.NewSource(3))
	m := runtimes.New()
	observe := func(runs int, log float64) {
		for range runs {
			m.Observe(key, seconds(0.7*rng.NormFloat64()), seconds(log+0.2*rng.NormFloat64()))
		}
	}
	observe(1000, 0)
	must.Between(t, 0.85, m.Expect(key, time.Second).Typical.Seconds(), 1.15)
	observe(50, math.Log(4))
	must.Between(t, 2.8, m.Expect(key, time.Second).Typical.Seconds(), 4.5)
	observe(50, 0)
	must.Between(t, 0.85, m.Expect(key, time.Second).Typical.Seconds(), 1.5)
}

// TestRareKeyTakesOverFromItsQueue: a step that was never seen takes the bias of its queue's
// estimates, and not that of another queue's.
func TestRareKeyTakesOverFromItsQueue(t *testing.T) {
	rng := rand.New(rand.NewSource(4))
	m := runtimes.New()
	for n := range 500 {
		log := rng.NormFloat64()
		m.Observe(runtimes.Key{Queue: "plans", Step: n % 7}, seconds(log+0.2*rng.NormFloat64()), seconds(log+math.Log(3)))
		m.Observe(runtimes.Key{Queue: "other"}, seconds(log), seconds(log))
	}
	got := m.Expect(runtimes.Key{Queue: "plans", Step: 100, Image: "new"}, time.Second)
	must.Between(t, 2.6, got.Typical.Seconds(), 3.4)
	must.Between(t, 0.95, m.Expect(runtimes.Key{Queue: "other", Step: 9}, time.Second).Typical.Seconds(), 1.05)
}

// TestUnusualEstimateIsFollowed: a step that always took a second gets a job whose client
// expects an hour. What was learned says nothing of it.
func TestUnusualEstimateIsFollowed(t *testing.T) {
	rng := rand.New(rand.NewSource(5))
	m := runtimes.New()
	for range 200 {
		m.Observe(key, seconds(0.5*rng.NormFloat64()), time.Second)
	}
	must.Greater(t, 5*time.Minute, m.Expect(key, time.Hour).Typical)
}

// TestManyTasksOfAStepWeighLittle has one job of 2,000 tasks among jobs of a few.
func TestManyTasksOfAStepWeighLittle(t *testing.T) {
	m := runtimes.New()
	for range 100 {
		m.Observe(key, time.Second, time.Second)
	}
	for range 2000 {
		m.ObserveOneOf(key, time.Second, 20*time.Second, 2000)
	}
	must.Less(t, 3*time.Second, m.Expect(key, time.Second).Typical)
}

// TestShortTasksOfAStepDoNotWeighMore ends the tasks of each step in the order of their run
// times. The first ones weighed most, and what was expected was too short.
func TestShortTasksOfAStepDoNotWeighMore(t *testing.T) {
	m := runtimes.New()
	for range 100 {
		for _, length := range []float64{0.5, 0.8, 1, 1.25, 2} { // the median is 1
			m.ObserveOneOf(key, time.Second, time.Duration(length*float64(time.Second)), 5)
		}
	}
	must.InDelta(t, 1, m.Expect(key, time.Second).Typical.Seconds(), 0.05)
}

// TestMillionNamesTakeBoundedMemory floods the model with names of up to 4 KB, each tenth of them
// with eight runs, beside a busy step and one that runs once in 500 runs. Neither may be forgotten.
func TestMillionNamesTakeBoundedMemory(t *testing.T) {
	m := runtimes.New()
	rare := runtimes.Key{Queue: "plans", Step: 1, Image: "rare"}
	long := strings.Repeat("x", 4000)
	heap := func() uint64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&s)
		return s.HeapAlloc
	}
	before := heap()
	for n := range 1_000_000 {
		runs := 1
		if n%10 == 0 {
			runs = 8
		}
		for range runs {
			m.Observe(runtimes.Key{Queue: "flood", Image: fmt.Sprint(n) + long[:n%1000*4]}, time.Second, 9*time.Second)
		}
		if n%2 == 0 {
			m.Observe(key, time.Second, 2*time.Second)
		}
		if n%125 == 0 {
			m.Observe(rare, time.Second, 5*time.Second)
		}
	}
	must.Less(t, before+2<<20, heap())
	must.Between(t, 1.9, m.Expect(key, time.Second).Typical.Seconds(), 2.2)
	must.Between(t, 4.2, m.Expect(rare, time.Second).Typical.Seconds(), 5.2)
}

// TestRestoredModelExpectsTheSame guards against a next owner that expects something else, or
// that forgets the busy keys first.
func TestRestoredModelExpectsTheSame(t *testing.T) {
	rng := rand.New(rand.NewSource(6))
	m := runtimes.New()
	for n := range 2000 {
		log := 0.5 * rng.NormFloat64()
		m.Observe(runtimes.Key{Queue: "plans", Step: n % 6}, seconds(log+0.5*rng.NormFloat64()), seconds(log+0.3*float64(n%6)))
	}
	next := runtimes.New()
	must.Zero(t, next.Restore(m.Entries()))
	for step := range 8 {
		k := runtimes.Key{Queue: "plans", Step: step}
		want, got := m.Expect(k, 2*time.Second), next.Expect(k, 2*time.Second)
		must.Between(t, 0.99, got.Typical.Seconds()/want.Typical.Seconds(), 1.01)
		must.Between(t, 0.97, got.Tail.Seconds()/want.Tail.Seconds(), 1.03)
	}
	must.Eq(t, m.Entries(), next.Entries())
}

// TestImplausibleEntriesAreDropped guards against expectations that are no times.
func TestImplausibleEntriesAreDropped(t *testing.T) {
	m := runtimes.New()
	good := runtimes.Values{Weight: 20_000, SumXX: 1000, SumXY: 500, SumYY: 1000, Activity: 5000}
	var entries []runtimes.Entry
	for _, change := range []func(*runtimes.Values){
		func(v *runtimes.Values) { v.Weight = 0 }, func(v *runtimes.Values) { v.Weight = 1 << 40 },
		func(v *runtimes.Values) { v.MeanX = math.MaxInt64 }, func(v *runtimes.Values) { v.MeanY = math.MinInt64 },
		func(v *runtimes.Values) { v.SumXX = -1 }, func(v *runtimes.Values) { v.SumYY = math.MaxInt64 },
		func(v *runtimes.Values) { v.SumXY = math.MinInt64 }, func(v *runtimes.Values) { v.Activity = -1 },
	} {
		e := runtimes.Entry{Key: runtimes.Key{Queue: "plans"}, WholeQueue: true, Values: good}
		change(&e.Values)
		entries = append(entries, e)
	}
	must.Eq(t, len(entries), m.Restore(entries))
	must.Eq(t, time.Second, m.Expect(key, time.Second).Typical)
	must.Zero(t, m.Restore([]runtimes.Entry{{Key: runtimes.Key{Queue: "plans"}, WholeQueue: true, Values: good}}))
	must.Positive(t, m.Expect(key, time.Second).Samples)
}

// TestRunsOfAStepRefineItsExpectation has steps whose tasks resemble one another, and others
// whose tasks do not, where the refinement may lose a tenth at most.
func TestRunsOfAStepRefineItsExpectation(t *testing.T) {
	for _, c := range []struct{ between, within, most float64 }{{0.6, 0.2, 0.55}, {0, 0.6, 1.1}} {
		rng := rand.New(rand.NewSource(7))
		var before, after float64
		for range 500 {
			step := c.between * rng.NormFloat64()
			first := runtimes.Expectation{Typical: time.Second, Tail: 2 * time.Second}
			var ended runtimes.Ended
			for n := range 16 {
				actual := seconds(step + c.within*rng.NormFloat64())
				x := ended.Refine(first, n)
				before += math.Pow(logRatio(first.Typical, actual), 2)
				after += math.Pow(logRatio(x.Typical, actual), 2)
				must.Between(t, 1.99, float64(x.Tail)/float64(x.Typical), 2.01)
				ended.Add(actual)
			}
		}
		t.Logf("spread of steps %.1f, of their tasks %.1f: error %.2f of that without", c.between, c.within, math.Sqrt(after/before))
		must.Less(t, c.most, math.Sqrt(after/before))
	}
}

// TestFirstEndsOfAStepDoNotCount: of many tasks that began together, those that end first are
// the shortest.
func TestFirstEndsOfAStepDoNotCount(t *testing.T) {
	x := runtimes.Expectation{Typical: time.Second, Tail: time.Second}
	var ended runtimes.Ended
	for range 7 {
		ended.Add(10 * time.Millisecond)
	}
	must.Eq(t, x, ended.Refine(x, 16))
	ended.Add(10 * time.Millisecond)
	must.Less(t, 500*time.Millisecond, ended.Refine(x, 16).Typical)
}

// BenchmarkRun measures what an owner does for one run: an expectation and an observation.
func BenchmarkRun(b *testing.B) {
	m := runtimes.New()
	b.ReportAllocs()
	for n := range b.N {
		k := runtimes.Key{Queue: "plans", Step: n % 500}
		e := m.Expect(k, time.Second)
		m.Observe(k, time.Second, e.Typical+time.Millisecond)
	}
}

// BenchmarkRunOfANewName measures the same in a flood of names.
func BenchmarkRunOfANewName(b *testing.B) {
	m := runtimes.New()
	b.ReportAllocs()
	for n := range b.N {
		m.Observe(runtimes.Key{Queue: "plans", Step: n}, time.Second, time.Second)
	}
}
