package placement_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/placement"
	"github.com/shoenig/test/must"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// fixture is a placement state under test, with a virtual clock and the services
// text in force.
type fixture struct {
	*placement.State
	text    *fleet.Text
	control *control.State
	now     time.Time
	next    fleet.RequestID
}

func text(slots int, instances int, members ...fleet.Member) *fleet.Text {
	t := &fleet.Text{
		Pools:   []fleet.Pool{{Name: "main", Slots: slots}, {Name: "other", Slots: slots}},
		Members: members,
		Services: []fleet.Service{
			{Name: "survey", Pool: "main"},
			{Name: "permit", Pool: "main", Urgent: true},
		},
	}
	for i := range instances {
		t.Instances = append(t.Instances, fleet.Instance{ID: fleet.InstanceID(fmt.Sprintf("runner-%02d", i)), Pool: "main"})
	}
	return t
}

func newFixture(t *fleet.Text) *fixture {
	f := &fixture{State: placement.New(7), control: control.New(), now: epoch}
	f.Advance(f.now)
	f.configure(t)
	return f
}

func (f *fixture) configure(t *fleet.Text) []fleet.RequestID {
	f.text = t
	return f.ApplyDelta(f.publish(t))
}

func (f *fixture) publish(t *fleet.Text) *fleet.Delta {
	at := f.control.Offset + 1
	body := control.Publish{Base: f.control.Version, Text: t}
	return f.control.Apply(control.Positioned{Offset: at, Record: control.Record{ID: fleet.RecordID(fmt.Sprint(at)), Body: body}}).Change
}

func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.Advance(f.now)
}

func (f *fixture) request(service fleet.ServiceName, member fleet.MemberName) placement.Request {
	f.next++
	svc, _ := f.text.Service(service)
	return placement.Request{ID: f.next, Pool: svc.Pool, Service: service, Member: member, Urgent: svc.Urgent}
}

func (f *fixture) add(service fleet.ServiceName, member fleet.MemberName, n int) {
	for range n {
		f.Add(f.request(service, member))
	}
}

// serve runs one request after another, each for its run time, and returns the
// time that each member held slots for.
func (f *fixture) serve(n int, run func(placement.Grant) time.Duration) map[fleet.MemberName]time.Duration {
	held := make(map[fleet.MemberName]time.Duration)
	for range n {
		g, ok := f.GrantNext("main")
		if !ok {
			return held
		}
		d := run(g)
		f.advance(d)
		f.ObserveRunTime(g, d)
		f.Finish(g, d)
		held[g.Request.Member] += d
	}
	return held
}

func constant(d time.Duration) func(placement.Grant) time.Duration {
	return func(placement.Grant) time.Duration { return d }
}

func TestSlotsFollowWeightsDespiteGreedyMember(t *testing.T) {
	f := newFixture(text(1, 1, fleet.Member{Name: "small", Weight: 1}, fleet.Member{Name: "large", Weight: 3}))
	f.add("survey", "small", 2000) // far more than its share
	f.add("survey", "large", 400)
	held := f.serve(400, constant(10*time.Millisecond))
	must.Between(t, 99, held["small"]/(10*time.Millisecond), 101)
	must.Between(t, 299, held["large"]/(10*time.Millisecond), 301)
}

func TestSharesFollowRunTimesNotDeclaredSizes(t *testing.T) {
	f := newFixture(text(1, 1, fleet.Member{Name: "honest", Weight: 1}, fleet.Member{Name: "modest", Weight: 1}))
	for range 3000 {
		honest, modest := f.request("survey", "honest"), f.request("survey", "modest")
		honest.Size, modest.Size = 10, 1
		f.Add(honest)
		f.Add(modest)
	}
	held := f.serve(1500, func(g placement.Grant) time.Duration {
		if g.Request.Member == "modest" {
			return 50 * time.Millisecond
		}
		return 10 * time.Millisecond
	})
	ratio := float64(held["modest"]) / float64(held["honest"])
	must.Between(t, 0.95, ratio, 1.05)
}

func TestNormalWorkIsNotStarvedByUrgent(t *testing.T) {
	f := newFixture(text(1, 1, fleet.Member{Name: "lawa", Weight: 1}))
	f.add("survey", "lawa", 100)
	f.add("permit", "lawa", 1000)
	normal := 0
	f.serve(400, func(g placement.Grant) time.Duration {
		if !g.Request.Urgent {
			normal++
		}
		return time.Millisecond
	})
	must.EqOp(t, 50, normal)
}

// Urgent requests must start within 5.8 s, even behind long queues of normal
// requests.
func TestUrgentRequestsStartWithinLimitDuringBurst(t *testing.T) {
	const limit = 5800 * time.Millisecond
	f := newFixture(text(1, 1, fleet.Member{Name: "a", Weight: 1}, fleet.Member{Name: "b", Weight: 1}))
	f.add("survey", "a", 5000)
	f.add("survey", "b", 5000)
	start := f.now
	f.add("permit", "a", 100)
	left := 100
	for left > 0 {
		g, ok := f.GrantNext("main")
		must.True(t, ok)
		if g.Request.Urgent {
			left--
		}
		f.advance(50 * time.Millisecond)
		f.Finish(g, 50*time.Millisecond)
	}
	must.Less(t, limit, f.now.Sub(start))
}

func TestQuotaHoldsOverAllPools(t *testing.T) {
	cfg := text(8, 1, fleet.Member{Name: "lawa", Weight: 1, Quota: 2}, fleet.Member{Name: "mill", Weight: 1})
	cfg.Instances = append(cfg.Instances, fleet.Instance{ID: "other-1", Pool: "other"})
	cfg.Services = append(cfg.Services, fleet.Service{Name: "barge", Pool: "other"})
	f := newFixture(cfg)
	f.add("survey", "lawa", 4)
	f.add("barge", "lawa", 1)
	f.add("survey", "mill", 3)
	held := map[fleet.MemberName][]placement.Grant{}
	for {
		g, ok := f.GrantNext("main")
		if !ok {
			break
		}
		held[g.Request.Member] = append(held[g.Request.Member], g)
	}
	must.Len(t, 2, held["lawa"])
	must.Len(t, 3, held["mill"])
	_, ok := f.GrantNext("other")
	must.False(t, ok)
	f.Finish(held["lawa"][0], time.Millisecond)
	must.SliceContains(t, f.TakeUnblocked(), "other")
	_, ok = f.GrantNext("other")
	must.True(t, ok)
}

func TestQueueReservesPlacesForOtherMembers(t *testing.T) {
	f := newFixture(text(1, 1, fleet.Member{Name: "greedy", Weight: 1}, fleet.Member{Name: "small", Weight: 1}))
	f.add("survey", "greedy", 1)
	_, ok := f.GrantNext("main")
	must.True(t, ok)
	queued := 0
	for !f.Admit(f.request("survey", "greedy"), 80).Full {
		f.add("survey", "greedy", 1)
		queued++
	}
	must.EqOp(t, 70, queued)
	small := 0
	for !f.Admit(f.request("survey", "small"), 80).Full {
		f.add("survey", "small", 1)
		small++
	}
	must.EqOp(t, 10, small)
}

func TestExpectedWaitFollowsTheObservedRate(t *testing.T) {
	f := newFixture(text(2, 1, fleet.Member{Name: "lawa", Weight: 1}))
	f.add("survey", "lawa", 2)
	first, _ := f.GrantNext("main")
	f.GrantNext("main")
	f.ObserveRunTime(first, time.Second)
	f.add("survey", "lawa", 20)
	a := f.Admit(f.request("survey", "lawa"), 100)
	must.False(t, a.Full)
	must.EqOp(t, 10*time.Second, a.Wait)
	must.EqOp(t, 10*time.Second, a.RetryAfter)
}

func TestExpectedWaitFollowsTheQuota(t *testing.T) {
	f := newFixture(text(8, 1, fleet.Member{Name: "lawa", Weight: 1, Quota: 2}))
	f.add("survey", "lawa", 2)
	first, _ := f.GrantNext("main")
	f.GrantNext("main")
	f.ObserveRunTime(first, time.Second)
	f.add("survey", "lawa", 20)
	a := f.Admit(f.request("survey", "lawa"), 100)
	must.EqOp(t, 10*time.Second, a.Wait)
	must.True(t, a.OverQuota)
	must.EqOp(t, 500*time.Millisecond, f.Admit(f.request("survey", "lawa"), 20).RetryAfter)
	must.False(t, f.Admit(f.request("survey", "mill"), 100).OverQuota)
}

func TestMassCancellationKeepsOtherRequests(t *testing.T) {
	f := newFixture(text(1, 1, fleet.Member{Name: "lawa", Weight: 1}, fleet.Member{Name: "mill", Weight: 1}))
	f.add("survey", "lawa", 1000)
	f.add("survey", "mill", 10)
	for id := fleet.RequestID(1); id <= 1000; id++ {
		f.Remove(id)
	}
	must.EqOp(t, 10, f.Queued())
	held := f.serve(2000, constant(time.Millisecond))
	must.EqOp(t, 10*time.Millisecond, held["mill"])
	must.EqOp(t, 0, held["lawa"])
}

func TestReducedSlotsDelayGrants(t *testing.T) {
	f := newFixture(text(4, 1, fleet.Member{Name: "lawa", Weight: 1}))
	f.add("survey", "lawa", 10)
	var held []placement.Grant
	for range 4 {
		g, ok := f.GrantNext("main")
		must.True(t, ok)
		held = append(held, g)
	}
	f.configure(text(2, 1, fleet.Member{Name: "lawa", Weight: 1}))
	for i, g := range held[:2] {
		_, ok := f.GrantNext("main")
		must.False(t, ok, must.Sprintf("after %d finished grants", i))
		f.Finish(g, time.Millisecond)
	}
	_, ok := f.GrantNext("main")
	must.False(t, ok)
	f.Finish(held[2], time.Millisecond)
	_, ok = f.GrantNext("main")
	must.True(t, ok)
}

func TestMovedInstanceKeepsItsSlotsInUse(t *testing.T) {
	cfg := text(2, 2, fleet.Member{Name: "lawa", Weight: 1})
	cfg.Services = append(cfg.Services, fleet.Service{Name: "barge", Pool: "other"})
	f := newFixture(cfg)
	f.add("survey", "lawa", 4)
	var held []placement.Grant
	for range 4 {
		g, _ := f.GrantNext("main")
		held = append(held, g)
	}
	moved := *cfg
	moved.Instances = append([]fleet.Instance(nil), cfg.Instances...)
	moved.Instances[1].Pool = "other"
	f.configure(&moved)
	f.add("barge", "lawa", 1)
	_, ok := f.GrantNext("other")
	must.False(t, ok)
	must.EqOp(t, 2, f.Running("runner-01"))
	for _, g := range held {
		if g.Instance == "runner-01" {
			f.Finish(g, time.Millisecond)
			break
		}
	}
	g, ok := f.GrantNext("other")
	must.True(t, ok)
	must.EqOp(t, "runner-01", g.Instance)
}

func TestRemovedPoolReturnsItsRequests(t *testing.T) {
	cfg := text(1, 1, fleet.Member{Name: "lawa", Weight: 1})
	f := newFixture(cfg)
	f.add("survey", "lawa", 3)
	next := *cfg
	next.Pools, next.Instances = cfg.Pools[1:], nil
	must.Eq(t, []fleet.RequestID{1, 2, 3}, f.configure(&next))
	must.EqOp(t, 0, f.Queued())
}

func TestRetryWaitsForAnotherInstance(t *testing.T) {
	f := newFixture(text(1, 2, fleet.Member{Name: "lawa", Weight: 1}))
	f.add("survey", "lawa", 1)
	busy, _ := f.GrantNext("main")
	tried := fleet.InstanceID("runner-00")
	if busy.Instance == tried {
		tried = "runner-01"
	}
	retry := f.request("survey", "lawa")
	retry.Tried = []fleet.InstanceID{tried}
	f.Add(retry)
	_, ok := f.GrantNext("main")
	must.False(t, ok)
	f.CloseInstance(busy.Instance)
	g, ok := f.GrantNext("main")
	must.True(t, ok)
	must.EqOp(t, tried, g.Instance)
}

// TestLimitsHoldInRandomRuns drives random events and checks after each that
// no slot limit and no quota is exceeded and no request is lost.
func TestLimitsHoldInRandomRuns(t *testing.T) {
	for seed := range uint64(50) {
		checkRandomRun(t, seed)
	}
}

func checkRandomRun(t *testing.T, seed uint64) {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 1))
	members := []fleet.Member{{Name: "a", Weight: 1}, {Name: "b", Weight: 4, Quota: 3}, {Name: "c", Weight: 2}}
	slots := 3
	f := newFixture(text(slots, 4, members...))
	running := map[fleet.RequestID]placement.Grant{}
	waiting := map[fleet.RequestID]bool{}
	for range 2000 {
		f.advance(time.Millisecond)
		switch rnd.IntN(8) {
		case 0, 1, 2:
			a := f.request([]fleet.ServiceName{"survey", "permit"}[rnd.IntN(2)], members[rnd.IntN(3)].Name)
			must.True(t, f.Add(a))
			waiting[a.ID] = true
		case 3:
			id := first(waiting)
			f.Remove(id)
			delete(waiting, id)
		case 4:
			slots = 1 + rnd.IntN(4)
			f.configure(text(slots, 4, members...))
		case 5:
			f.SetLimit("runner-01", rnd.IntN(4))
		default:
			id := first(running)
			f.Finish(running[id], time.Duration(rnd.IntN(50))*time.Millisecond)
			delete(running, id)
		}
		if g, ok := f.GrantNext("main"); ok {
			must.LessEq(t, slots, f.Running(g.Instance))
			must.True(t, waiting[g.Request.ID])
			delete(waiting, g.Request.ID)
			running[g.Request.ID] = g
		}
		must.EqOp(t, len(waiting), f.Queued())
		must.LessEq(t, 3, heldBy(running, "b"))
	}
	f.configure(text(4, 4, members...))
	f.SetLimit("runner-01", placement.NoLimit)
	for _, g := range running {
		f.Finish(g, time.Millisecond)
	}
	f.serve(5000, constant(time.Millisecond))
	must.EqOp(t, 0, f.Queued())
}

// first returns the smallest id, so that a seed gives the same run each time.
func first[V any](byID map[fleet.RequestID]V) fleet.RequestID {
	ids := slices.Sorted(maps.Keys(byID))
	if len(ids) == 0 {
		return 0
	}
	return ids[0]
}

func heldBy(running map[fleet.RequestID]placement.Grant, m fleet.MemberName) int {
	n := 0
	for _, g := range running {
		if g.Request.Member == m {
			n++
		}
	}
	return n
}
