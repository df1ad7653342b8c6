package shares_test

import (
	"cmp"
	"fmt"
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

// The replays run jobs of several tenants on one pool without a network. Estimates of run times
// have the error that clients' estimates have.
const (
	replayCores  = 400
	replayTick   = 10 * time.Millisecond
	replayLength = 30 * time.Second
	// estimateError is the spread of the estimates, in logarithms.
	estimateError = 0.7
	// expectedError is that of the run times that the owner expects.
	expectedError = 0.3
	// coreSecondsPerJob is the mean work of a job.
	coreSecondsPerJob = 32
)

// replayTenant is a tenant with its mean load, as a share of the pool, its weight as a multiple of
// its mean rate of jobs, and its load over time as a multiple of the mean.
type replayTenant struct {
	name   fleet.TenantName
	load   float64
	weight float64
	factor func(at time.Duration) float64
}

func (rt *replayTenant) rate() float64 { return rt.load * replayCores / coreSecondsPerJob }

type replayStep struct {
	cores       int64
	tasks, left int
	// estimate is that of the client, and expected that of the owner.
	length, estimate, expected time.Duration
}

type replayJob struct {
	tenant                 int
	account                *shares.Account
	accepted, due, noValue time.Time
	beyond, started        bool
	steps                  []*replayStep
	ended                  time.Time
}

// drawJobs returns the jobs of all tenants in the order in which they come.
func drawJobs(seed int64, tenants []replayTenant) []*replayJob {
	rng := rand.New(rand.NewSource(seed))
	var out []*replayJob
	for n := range tenants {
		rt := &tenants[n]
		for at := time.Duration(0); at < replayLength; at += replayTick {
			mean := rt.rate() * rt.factor(at) * replayTick.Seconds()
			for range poisson(rng, mean) {
				out = append(out, drawJob(rng, n, start.Add(at)))
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *replayJob) int { return a.accepted.Compare(b.accepted) })
	return out
}

func poisson(rng *rand.Rand, mean float64) int {
	n, p := 0, rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= rng.Float64()
	}
	return n
}

func drawJob(rng *rand.Rand, tenant int, at time.Time) *replayJob {
	j := &replayJob{tenant: tenant, accepted: at}
	var estimated time.Duration
	for range 1 + rng.Intn(3) {
		length := time.Duration(0.8 * math.Exp(0.5*rng.NormFloat64()-0.125) * float64(time.Second))
		tasks, z := 4+rng.Intn(13), rng.NormFloat64()
		st := &replayStep{
			cores: 1 + int64(rng.Intn(3)), tasks: tasks, left: tasks, length: length,
			estimate: time.Duration(float64(length) * math.Exp(estimateError*z)),
			expected: time.Duration(float64(length) * math.Exp(expectedError*z)),
		}
		j.steps = append(j.steps, st)
		estimated += st.estimate
	}
	objective := 2*estimated + 600*time.Millisecond
	j.due, j.noValue = at.Add(objective), at.Add(3*objective)
	return j
}

// pathOf returns the expected time of steps one after the other.
func pathOf(steps []*replayStep) time.Duration {
	var d time.Duration
	for _, st := range steps {
		d += st.expected
	}
	return d
}

// picker yields the jobs that wait, in the order in which their tasks are placed.
type picker func(now time.Time, waiting []*replayJob) func() (*replayJob, bool)

func classOf(now time.Time, j *replayJob, margin time.Duration) admission.ValueClass {
	end := now.Add(pathOf(j.steps))
	switch {
	case !end.Add(margin).After(j.due):
		return admission.ClassOnTime
	case !end.After(j.noValue):
		return admission.ClassLate
	default:
		return admission.ClassNoValue
	}
}

// orderBefore is the order that was in force before there were tenants.
func orderBefore(now time.Time, waiting []*replayJob) func() (*replayJob, bool) {
	rank := func(j *replayJob) admission.Waiting {
		return admission.Waiting{Class: classOf(now, j, 0), Started: j.started, LatestStart: j.due.Add(-pathOf(j.steps))}
	}
	sorted := slices.Clone(waiting)
	slices.SortStableFunc(sorted, func(a, b *replayJob) int {
		x, y := rank(a), rank(b)
		return cmp.Or(
			cmp.Compare(x.Class, y.Class), cmp.Compare(x.Priority, y.Priority), -compareBool(x.Started, y.Started),
			x.LatestStart.Compare(y.LatestStart),
		)
	})
	return func() (*replayJob, bool) {
		if len(sorted) == 0 {
			return nil, false
		}
		j := sorted[0]
		sorted = sorted[1:]
		return j, true
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// fairOrder is the order of the owner.
func fairOrder(now time.Time, waiting []*replayJob) func() (*replayJob, bool) {
	entries := make([]shares.Entry, 0, len(waiting))
	for i, j := range waiting {
		left := pathOf(j.steps)
		w := admission.Waiting{Class: classOf(now, j, admission.Margin(left)), Started: j.started, LatestStart: j.due.Add(-left)}
		if w.Class != admission.ClassNoValue {
			w.Remaining = left
		}
		if j.beyond {
			w.Class = w.Class.Beyond()
		}
		entries = append(entries, shares.Entry{Waiting: w, Account: j.account, Index: i})
	}
	order := shares.NewOrder(now, fleet.Capacity{CPU: 1000 * replayCores}, entries)
	return func() (*replayJob, bool) {
		e, ok := order.Next()
		if !ok {
			return nil, false
		}
		return waiting[e.Index], true
	}
}

// outcome is what became of a tenant's jobs. value is one for a job on time, and falls to zero
// at three times its objective.
type outcome struct {
	jobs, onTime int
	value        float64
}

func (o outcome) String() string { return fmt.Sprintf("%d/%d", o.onTime, o.jobs) }

type replayRun struct {
	job *replayJob
	at  time.Time
}

// replay runs jobs on the pool and returns the outcome for each tenant.
func replay(seed int64, tenants []replayTenant, pick picker) []outcome {
	all := drawJobs(seed, tenants)
	accounts := newReplayAccounts(tenants)
	out := make([]outcome, len(tenants))
	var waiting []*replayJob
	running := make(map[time.Time][]replayRun)
	free, coming := int64(replayCores), all
	for now := start; now.Before(start.Add(2 * replayLength)); now = now.Add(replayTick) {
		for len(coming) > 0 && !coming[0].accepted.After(now) {
			j := coming[0]
			j.account = accounts.Of(tenants[j.tenant].name)
			j.beyond = !j.account.Accept(now)
			waiting, coming = append(waiting, j), coming[1:]
		}
		for _, r := range running[now] {
			j := r.job
			need := j.steps[0].cores
			free += need
			j.account.Change(now, sent, none, fleet.Capacity{CPU: 1000 * need})
			if j.steps[0].left--; j.steps[0].left > 0 {
				continue
			}
			if j.steps = j.steps[1:]; len(j.steps) > 0 {
				waiting = append(waiting, j)
			} else {
				j.ended = now
			}
		}
		delete(running, now)
		next := pick(now, waiting)
		for free > 0 {
			j, ok := next()
			if !ok {
				break
			}
			st := j.steps[0]
			for st.tasks > 0 && free >= st.cores {
				st.tasks--
				free -= st.cores
				j.started = true
				j.account.Change(now, none, sent, fleet.Capacity{CPU: 1000 * st.cores})
				at := now.Add(st.length.Truncate(replayTick) + replayTick)
				running[at] = append(running[at], replayRun{job: j, at: at})
			}
		}
		waiting = slices.DeleteFunc(waiting, func(j *replayJob) bool { return j.steps[0].tasks == 0 })
	}
	for _, j := range all {
		o := &out[j.tenant]
		o.jobs++
		switch {
		case j.ended.IsZero():
		case !j.ended.After(j.due):
			o.onTime++
			o.value++
		case j.ended.Before(j.noValue):
			o.value += j.noValue.Sub(j.ended).Seconds() / j.noValue.Sub(j.due).Seconds()
		}
	}
	return out
}

func newReplayAccounts(tenants []replayTenant) *shares.Accounts {
	list := make([]*fleet.Tenant, 0, len(tenants))
	for n := range tenants {
		list = append(list, &fleet.Tenant{Name: tenants[n].name, Weight: tenants[n].weight * tenants[n].rate()})
	}
	index, err := fleet.NewTenants(list)
	if err != nil {
		panic(err)
	}
	all := shares.NewAccounts()
	all.Configure(&index)
	return all
}

func steady(time.Duration) float64 { return 1 }

// between returns a load that is a multiple of the mean for a time from second 5 on.
func between(factor float64, length time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= 5*time.Second && at < 5*time.Second+length {
			return factor
		}
		return 1
	}
}

// inTurns returns a load that is nearly all in the first five of each 20 seconds.
func inTurns(at time.Duration) float64 {
	if at%(20*time.Second) < 5*time.Second {
		return 5
	}
	return 0.05
}

// loads returns the loads that are replayed, with four tenants each. The first has the largest
// mean load.
func loads() map[string][]replayTenant {
	// All tenants together are owed nearly as many jobs a second as the pool can run.
	const owedLoad = 0.9
	with := func(total float64, first, others func(time.Duration) float64) []replayTenant {
		var out []replayTenant
		for n, part := range []float64{0.4, 0.3, 0.2, 0.1} {
			factor := others
			if n == 0 {
				factor = first
			}
			out = append(out, replayTenant{name: fleet.TenantName('a' + rune(n)), load: total * part, weight: owedLoad / total, factor: factor})
		}
		return out
	}
	burst := between(2.6, 4*time.Second)
	return map[string][]replayTenant{
		"hot":   with(0.6, between(7, 6500*time.Millisecond), steady),
		"burst": with(0.6, burst, burst),
		"turns": with(0.33, inTurns, inTurns),
		"over":  with(0.6, between(3.5, 12*time.Second), between(3.5, 12*time.Second)),
	}
}

const replaySeeds = 4

// sumReplays adds up the outcomes of several seeds.
func sumReplays(tenants []replayTenant, pick picker) (byTenant []outcome, all outcome) {
	byTenant = make([]outcome, len(tenants))
	for seed := range int64(replaySeeds) {
		for n, o := range replay(seed, tenants, pick) {
			byTenant[n].jobs += o.jobs
			byTenant[n].onTime += o.onTime
			byTenant[n].value += o.value
			all.jobs += o.jobs
			all.onTime += o.onTime
			all.value += o.value
		}
	}
	return byTenant, all
}

// minKept is the least part of the jobs on time under the order before that fair queueing keeps.
// Where all tenants ask for more than they are owed, it spends capacity on late jobs within
// a share and begins jobs of one tenant before it ends those of another.
const minKept = 0.9

// TestReplaysOfOverload counts the jobs on time by tenant, beside those of the order before. It
// guards against an order by which a tenant within its share waits behind a large backlog, and
// one that loses more jobs on time for that than it has to.
func TestReplaysOfOverload(t *testing.T) {
	for _, name := range []string{"hot", "burst", "turns", "over"} {
		tenants := loads()[name]
		before, allBefore := sumReplays(tenants, orderBefore)
		after, all := sumReplays(tenants, fairOrder)
		t.Logf("%-5s before %v, all %v (value %.0f); now %v, all %v (value %.0f)",
			name, before, allBefore, allBefore.value, after, all, all.value)
		must.Eq(t, allBefore.jobs, all.jobs)
		must.GreaterEq(t, minKept*float64(allBefore.onTime), float64(all.onTime), must.Sprint(name))
		if name != "hot" {
			continue
		}
		for n := 1; n < len(tenants); n++ {
			must.Greater(t, before[n].onTime, after[n].onTime, must.Sprint(n))
			must.GreaterEq(t, 0.95*float64(after[n].jobs), float64(after[n].onTime), must.Sprint("tenant within its share: ", n))
		}
	}
}
