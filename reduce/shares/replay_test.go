package shares_test

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/admission"
	"github.com/banyanrail/banyanrail/reduce/shares"
	"github.com/shoenig/test/must"
)

const (
	replayCores, replaySeeds = 400, 4
	replayTick, replayLength = 10 * time.Millisecond, 30 * time.Second
	// coreSecondsPerJob is the mean work of a job, and owedLoad the load that all tenants are
	// owed together: nearly as many jobs a second as the pool can run.
	coreSecondsPerJob, owedLoad = 32, 0.9
	// minKept is the least part of the jobs on time under the order before that fair queueing
	// keeps. Where all tenants ask for more than they are owed, it spends capacity on late jobs
	// within a share and begins jobs of one tenant before it ends those of another.
	minKept = 0.9
)

// replayLoad is the load of four tenants: in total as a share of the pool, and over time as a
// multiple of it, high from a second on for a time in each period and low otherwise.
type replayLoad struct {
	name                                   string
	total, from, length, period, high, low float64
	// firstOnly is set if only the first tenant, which has the largest part, has the high load.
	firstOnly bool
}

type replayJob struct {
	tenant                        int
	account                       *shares.Account
	accepted, due, noValue, ended time.Time
	beyond, started               bool
	steps                         []*replayStep
}

// replayStep has a number of tasks that have not started, and of those that have not ended.
type replayStep struct {
	cores, tasks, left int64
	length, expected   time.Duration
}

// drawJobs returns the jobs of all tenants in the order in which they come. The run times that
// clients estimate and those that the owner expects have errors of 0.7 and 0.3, in logarithms.
func drawJobs(t *testing.T, seed int64, load *replayLoad) (out []*replayJob) {
	rng, all := rand.New(rand.NewSource(seed)), shares.NewAccounts()
	var list []*fleet.Tenant
	for n, part := range []float64{0.4, 0.3, 0.2, 0.1} {
		rate := load.total * part * replayCores / coreSecondsPerJob
		list = append(list, &fleet.Tenant{Name: fleet.TenantName('a' + rune(n)), Weight: owedLoad / load.total * rate})
		for at := time.Duration(0); at < replayLength; at += replayTick {
			factor, count := load.low, 0
			if s := math.Mod(at.Seconds(), load.period); s >= load.from && s < load.from+load.length && (n == 0 || !load.firstOnly) {
				factor = load.high
			}
			for p := rng.Float64(); p > math.Exp(-rate*factor*replayTick.Seconds()); p *= rng.Float64() {
				count++ // of a Poisson distribution
			}
			for range count {
				j, objective := &replayJob{tenant: n, account: all.Of(list[n].Name), accepted: start.Add(at)}, 600*time.Millisecond
				for range 1 + rng.Intn(3) {
					length := 0.8 * math.Exp(0.5*rng.NormFloat64()-0.125) * float64(time.Second)
					tasks, z := int64(4+rng.Intn(13)), rng.NormFloat64()
					st := &replayStep{cores: 1 + int64(rng.Intn(3)), tasks: tasks, left: tasks, length: time.Duration(length)}
					st.expected = time.Duration(length * math.Exp(0.3*z))
					objective += 2 * time.Duration(length*math.Exp(0.7*z))
					j.steps = append(j.steps, st)
				}
				j.due, j.noValue = j.accepted.Add(objective), j.accepted.Add(3*objective)
				out = append(out, j)
			}
		}
	}
	configure(t, all, list...)
	slices.SortStableFunc(out, func(a, b *replayJob) int { return a.accepted.Compare(b.accepted) })
	return out
}

// waiting describes a job as the owner does now, or as it did before there were tenants.
func (j *replayJob) waiting(now time.Time, fair bool) admission.Waiting {
	var left, margin time.Duration
	for _, st := range j.steps {
		left += st.expected
	}
	if fair {
		margin = admission.Margin(left)
	}
	w := admission.Waiting{Class: admission.ClassNoValue, Started: j.started, LatestStart: j.due.Add(-left)}
	switch end := now.Add(left); {
	case !end.Add(margin).After(j.due):
		w.Class = admission.ClassOnTime
	case !end.After(j.noValue):
		w.Class = admission.ClassLate
	}
	if fair && w.Class != admission.ClassNoValue {
		w.Remaining = left
	}
	if fair && j.beyond {
		w.Class = w.Class.Beyond()
	}
	return w
}

// compareBefore is the order that was in force before there were tenants.
func compareBefore(a, b shares.Entry) int {
	rank := map[bool]int{true: -1}
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(rank[a.Started], rank[b.Started]), a.LatestStart.Compare(b.LatestStart))
}

// orderOf returns the order of the owner, or that before.
func orderOf(now time.Time, jobs []*replayJob, fair bool) func() (shares.Entry, bool) {
	entries := make([]shares.Entry, 0, len(jobs))
	for i, j := range jobs {
		entries = append(entries, shares.Entry{Waiting: j.waiting(now, fair), Account: j.account, Index: i})
	}
	if fair {
		return shares.NewOrder(now, fleet.Capacity{CPU: 1000 * replayCores}, entries).Next
	}
	slices.SortStableFunc(entries, compareBefore)
	return func() (e shares.Entry, ok bool) {
		if len(entries) > 0 {
			e, entries, ok = entries[0], entries[1:], true
		}
		return e, ok
	}
}

// replay runs jobs on a pool without a network, and counts jobs and those on time by tenant, with
// the sums last.
func replay(coming []*replayJob, fair bool, jobs, onTime *[5]int) {
	all, free, running := coming, int64(replayCores), make(map[time.Time][]*replayJob)
	var waiting []*replayJob
	for now := start; now.Before(start.Add(2 * replayLength)); now = now.Add(replayTick) {
		for ; len(coming) > 0 && !coming[0].accepted.After(now); coming = coming[1:] {
			coming[0].beyond = !coming[0].account.Accept(now)
			waiting = append(waiting, coming[0])
		}
		for _, j := range running[now] {
			st := j.steps[0]
			free += st.cores
			j.account.Change(now, sent, none, fleet.Capacity{CPU: 1000 * st.cores})
			if st.left--; st.left == 0 {
				j.steps, j.ended = j.steps[1:], now
				if len(j.steps) > 0 {
					waiting = append(waiting, j)
				}
			}
		}
		next := orderOf(now, waiting, fair)
		for e, ok := next(); ok && free > 0; e, ok = next() {
			j := waiting[e.Index]
			for st := j.steps[0]; st.tasks > 0 && free >= st.cores; st.tasks-- {
				free -= st.cores
				j.started = true
				j.account.Change(now, none, sent, fleet.Capacity{CPU: 1000 * st.cores})
				end := now.Add(st.length.Truncate(replayTick) + replayTick)
				running[end] = append(running[end], j)
			}
		}
		waiting = slices.DeleteFunc(waiting, func(j *replayJob) bool { return j.steps[0].tasks == 0 })
	}
	for _, j := range all {
		for _, n := range []int{j.tenant, 4} {
			jobs[n]++
			if len(j.steps) == 0 && !j.ended.After(j.due) {
				onTime[n]++
			}
		}
	}
}

// TestReplaysOfOverload counts the jobs on time by tenant, beside those of the order before. It
// guards against an order by which a tenant within its share waits behind a large backlog, and
// one that loses more jobs on time for that than it has to.
func TestReplaysOfOverload(t *testing.T) {
	for _, load := range []replayLoad{
		{"hot", 0.6, 5, 6.5, 60, 7, 1, true},
		{"burst", 0.6, 5, 4, 60, 2.6, 1, false},
		{"turns", 0.33, 0, 5, 20, 5, 0.05, false},
		{"over", 0.6, 5, 12, 60, 3.5, 1, false},
	} {
		var jobs, before, jobsNow, now [5]int
		for seed := range int64(replaySeeds) {
			replay(drawJobs(t, seed, &load), false, &jobs, &before)
			replay(drawJobs(t, seed, &load), true, &jobsNow, &now)
		}
		t.Logf("%-5s jobs %v, on time before %v, now %v", load.name, jobs, before, now)
		must.Eq(t, jobs, jobsNow)
		must.GreaterEq(t, minKept*float64(before[4]), float64(now[4]), must.Sprint(load.name))
		for n := 1; n < 4 && load.firstOnly; n++ {
			must.Greater(t, before[n], now[n], must.Sprint(n))
			must.GreaterEq(t, 0.95*float64(jobs[n]), float64(now[n]), must.Sprint("tenant within its share: ", n))
		}
	}
}
