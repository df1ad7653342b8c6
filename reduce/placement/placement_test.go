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

// bench is a placement under test with a virtual clock.
type bench struct {
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

func newBench(t *fleet.Text) *bench {
	b := &bench{State: placement.New(7), control: control.New(), now: epoch}
	b.Advance(b.now)
	b.configure(t)
	return b
}

func (b *bench) configure(t *fleet.Text) []fleet.RequestID {
	b.text = t
	return b.ApplyDelta(b.publish(t))
}

func (b *bench) publish(t *fleet.Text) *fleet.Delta {
	at := b.control.Offset + 1
	body := control.Publish{Base: b.control.Version, Text: t}
	return b.control.Apply(control.Positioned{Offset: at, Record: control.Record{ID: fleet.RecordID(fmt.Sprint(at)), Body: body}}).Change
}

func (b *bench) pass(d time.Duration) {
	b.now = b.now.Add(d)
	b.Advance(b.now)
}

func (b *bench) ask(service fleet.ServiceName, member fleet.MemberName) placement.Request {
	b.next++
	svc, _ := b.text.Service(service)
	return placement.Request{ID: b.next, Pool: svc.Pool, Service: service, Member: member, Urgent: svc.Urgent}
}

func (b *bench) add(service fleet.ServiceName, member fleet.MemberName, n int) {
	for range n {
		b.Add(b.ask(service, member))
	}
}

// serve runs one request after another, each for its run time, and returns the
// time that each member held slots for.
func (b *bench) serve(n int, run func(placement.Grant) time.Duration) map[fleet.MemberName]time.Duration {
	held := make(map[fleet.MemberName]time.Duration)
	for range n {
		g, ok := b.GrantNext("main")
		if !ok {
			return held
		}
		d := run(g)
		b.pass(d)
		b.ObserveRunTime(g, d)
		b.Finish(g, d)
		held[g.Request.Member] += d
	}
	return held
}

func constant(d time.Duration) func(placement.Grant) time.Duration {
	return func(placement.Grant) time.Duration { return d }
}

func TestSlotsFollowWeightsBesideAGreedyMember(t *testing.T) {
	b := newBench(text(1, 1, fleet.Member{Name: "small", Weight: 1}, fleet.Member{Name: "large", Weight: 3}))
	b.add("survey", "small", 2000) // asks for far more than its share
	b.add("survey", "large", 400)
	held := b.serve(400, constant(10*time.Millisecond))
	must.Between(t, 99, held["small"]/(10*time.Millisecond), 101)
	must.Between(t, 299, held["large"]/(10*time.Millisecond), 301)
}

func TestSharesFollowRunTimesNotDeclaredSizes(t *testing.T) {
	b := newBench(text(1, 1, fleet.Member{Name: "honest", Weight: 1}, fleet.Member{Name: "modest", Weight: 1}))
	for range 3000 {
		honest, modest := b.ask("survey", "honest"), b.ask("survey", "modest")
		honest.Size, modest.Size = 10, 1
		b.Add(honest)
		b.Add(modest)
	}
	held := b.serve(1500, func(g placement.Grant) time.Duration {
		if g.Request.Member == "modest" {
			return 50 * time.Millisecond
		}
		return 10 * time.Millisecond
	})
	ratio := float64(held["modest"]) / float64(held["honest"])
	must.Between(t, 0.95, ratio, 1.05)
}

func TestNormalWorkIsNotStarvedByUrgent(t *testing.T) {
	b := newBench(text(1, 1, fleet.Member{Name: "lawa", Weight: 1}))
	b.add("survey", "lawa", 100)
	b.add("permit", "lawa", 1000)
	normal := 0
	b.serve(400, func(g placement.Grant) time.Duration {
		if !g.Request.Urgent {
			normal++
		}
		return time.Millisecond
	})
	must.EqOp(t, 50, normal)
}

// Urgent work has to start within 5.8 s.
func TestUrgentStartsWithinItsLimitInABurst(t *testing.T) {
	const limit = 5800 * time.Millisecond
	b := newBench(text(1, 1, fleet.Member{Name: "a", Weight: 1}, fleet.Member{Name: "b", Weight: 1}))
	b.add("survey", "a", 5000)
	b.add("survey", "b", 5000)
	start := b.now
	b.add("permit", "a", 100)
	left := 100
	for left > 0 {
		g, ok := b.GrantNext("main")
		must.True(t, ok)
		if g.Request.Urgent {
			left--
		}
		b.pass(50 * time.Millisecond)
		b.Finish(g, 50*time.Millisecond)
	}
	must.Less(t, limit, b.now.Sub(start))
}

func TestQuotaHoldsOverAllPools(t *testing.T) {
	cfg := text(8, 1, fleet.Member{Name: "lawa", Weight: 1, Quota: 2}, fleet.Member{Name: "mill", Weight: 1})
	cfg.Instances = append(cfg.Instances, fleet.Instance{ID: "other-1", Pool: "other"})
	cfg.Services = append(cfg.Services, fleet.Service{Name: "barge", Pool: "other"})
	b := newBench(cfg)
	b.add("survey", "lawa", 4)
	b.add("barge", "lawa", 1)
	b.add("survey", "mill", 3)
	held := map[fleet.MemberName][]placement.Grant{}
	for {
		g, ok := b.GrantNext("main")
		if !ok {
			break
		}
		held[g.Request.Member] = append(held[g.Request.Member], g)
	}
	must.Len(t, 2, held["lawa"])
	must.Len(t, 3, held["mill"])
	_, ok := b.GrantNext("other")
	must.False(t, ok)
	b.Finish(held["lawa"][0], time.Millisecond)
	must.SliceContains(t, b.TakeUnblocked(), "other")
	_, ok = b.GrantNext("other")
	must.True(t, ok)
}

func TestQueueKeepsPlacesForOtherMembers(t *testing.T) {
	b := newBench(text(1, 1, fleet.Member{Name: "greedy", Weight: 1}, fleet.Member{Name: "small", Weight: 1}))
	b.add("survey", "greedy", 1)
	_, ok := b.GrantNext("main")
	must.True(t, ok)
	queued := 0
	for !b.Admit(b.ask("survey", "greedy"), 80).Full {
		b.add("survey", "greedy", 1)
		queued++
	}
	must.EqOp(t, 70, queued)
	small := 0
	for !b.Admit(b.ask("survey", "small"), 80).Full {
		b.add("survey", "small", 1)
		small++
	}
	must.EqOp(t, 10, small)
}

func TestExpectedWaitFollowsTheObservedRate(t *testing.T) {
	b := newBench(text(2, 1, fleet.Member{Name: "lawa", Weight: 1}))
	b.add("survey", "lawa", 2)
	first, _ := b.GrantNext("main")
	b.GrantNext("main")
	b.ObserveRunTime(first, time.Second)
	b.add("survey", "lawa", 20)
	a := b.Admit(b.ask("survey", "lawa"), 100)
	must.False(t, a.Full)
	must.EqOp(t, 10*time.Second, a.Wait)
	must.EqOp(t, 10*time.Second, a.RetryAfter)
}

func TestExpectedWaitFollowsTheQuota(t *testing.T) {
	b := newBench(text(8, 1, fleet.Member{Name: "lawa", Weight: 1, Quota: 2}))
	b.add("survey", "lawa", 2)
	first, _ := b.GrantNext("main")
	b.GrantNext("main")
	b.ObserveRunTime(first, time.Second)
	b.add("survey", "lawa", 20)
	a := b.Admit(b.ask("survey", "lawa"), 100)
	must.EqOp(t, 10*time.Second, a.Wait)
	must.True(t, a.OverQuota)
	must.EqOp(t, 500*time.Millisecond, b.Admit(b.ask("survey", "lawa"), 20).RetryAfter)
	must.False(t, b.Admit(b.ask("survey", "mill"), 100).OverQuota)
}

func TestWaveOfCancellationsLeavesTheRest(t *testing.T) {
	b := newBench(text(1, 1, fleet.Member{Name: "lawa", Weight: 1}, fleet.Member{Name: "mill", Weight: 1}))
	b.add("survey", "lawa", 1000)
	b.add("survey", "mill", 10)
	for id := fleet.RequestID(1); id <= 1000; id++ {
		b.Remove(id)
	}
	must.EqOp(t, 10, b.Queued())
	held := b.serve(2000, constant(time.Millisecond))
	must.EqOp(t, 10*time.Millisecond, held["mill"])
	must.EqOp(t, 0, held["lawa"])
}

func TestFewerSlotsHoldBackGrants(t *testing.T) {
	b := newBench(text(4, 1, fleet.Member{Name: "lawa", Weight: 1}))
	b.add("survey", "lawa", 10)
	var held []placement.Grant
	for range 4 {
		g, ok := b.GrantNext("main")
		must.True(t, ok)
		held = append(held, g)
	}
	b.configure(text(2, 1, fleet.Member{Name: "lawa", Weight: 1}))
	for i, g := range held[:2] {
		_, ok := b.GrantNext("main")
		must.False(t, ok, must.Sprintf("after %d ends", i))
		b.Finish(g, time.Millisecond)
	}
	_, ok := b.GrantNext("main")
	must.False(t, ok)
	b.Finish(held[2], time.Millisecond)
	_, ok = b.GrantNext("main")
	must.True(t, ok)
}

func TestMovedInstanceKeepsItsSlotsInUse(t *testing.T) {
	cfg := text(2, 2, fleet.Member{Name: "lawa", Weight: 1})
	cfg.Services = append(cfg.Services, fleet.Service{Name: "barge", Pool: "other"})
	b := newBench(cfg)
	b.add("survey", "lawa", 4)
	var held []placement.Grant
	for range 4 {
		g, _ := b.GrantNext("main")
		held = append(held, g)
	}
	moved := *cfg
	moved.Instances = append([]fleet.Instance(nil), cfg.Instances...)
	moved.Instances[1].Pool = "other"
	b.configure(&moved)
	b.add("barge", "lawa", 1)
	_, ok := b.GrantNext("other")
	must.False(t, ok)
	must.EqOp(t, 2, b.Running("runner-01"))
	for _, g := range held {
		if g.Instance == "runner-01" {
			b.Finish(g, time.Millisecond)
			break
		}
	}
	g, ok := b.GrantNext("other")
	must.True(t, ok)
	must.EqOp(t, "runner-01", g.Instance)
}

func TestVanishedPoolReturnsItsRequests(t *testing.T) {
	cfg := text(1, 1, fleet.Member{Name: "lawa", Weight: 1})
	b := newBench(cfg)
	b.add("survey", "lawa", 3)
	next := *cfg
	next.Pools, next.Instances = cfg.Pools[1:], nil
	must.Eq(t, []fleet.RequestID{1, 2, 3}, b.configure(&next))
	must.EqOp(t, 0, b.Queued())
}

func TestRetryWaitsForAnotherInstance(t *testing.T) {
	b := newBench(text(1, 2, fleet.Member{Name: "lawa", Weight: 1}))
	b.add("survey", "lawa", 1)
	busy, _ := b.GrantNext("main")
	tried := fleet.InstanceID("runner-00")
	if busy.Instance == tried {
		tried = "runner-01"
	}
	again := b.ask("survey", "lawa")
	again.Tried = []fleet.InstanceID{tried}
	b.Add(again)
	_, ok := b.GrantNext("main")
	must.False(t, ok)
	b.CloseInstance(busy.Instance)
	g, ok := b.GrantNext("main")
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
	b := newBench(text(slots, 4, members...))
	running := map[fleet.RequestID]placement.Grant{}
	waiting := map[fleet.RequestID]bool{}
	for range 2000 {
		b.pass(time.Millisecond)
		switch rnd.IntN(8) {
		case 0, 1, 2:
			a := b.ask([]fleet.ServiceName{"survey", "permit"}[rnd.IntN(2)], members[rnd.IntN(3)].Name)
			must.True(t, b.Add(a))
			waiting[a.ID] = true
		case 3:
			id := first(waiting)
			b.Remove(id)
			delete(waiting, id)
		case 4:
			slots = 1 + rnd.IntN(4)
			b.configure(text(slots, 4, members...))
		case 5:
			b.SetLimit("runner-01", rnd.IntN(4))
		default:
			id := first(running)
			b.Finish(running[id], time.Duration(rnd.IntN(50))*time.Millisecond)
			delete(running, id)
		}
		if g, ok := b.GrantNext("main"); ok {
			must.LessEq(t, slots, b.Running(g.Instance))
			must.True(t, waiting[g.Request.ID])
			delete(waiting, g.Request.ID)
			running[g.Request.ID] = g
		}
		must.EqOp(t, len(waiting), b.Queued())
		must.LessEq(t, 3, heldBy(running, "b"))
	}
	b.configure(text(4, 4, members...))
	b.SetLimit("runner-01", placement.NoLimit)
	for _, g := range running {
		b.Finish(g, time.Millisecond)
	}
	b.serve(5000, constant(time.Millisecond))
	must.EqOp(t, 0, b.Queued())
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
