package control_test

import (
	"fmt"
	"testing"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/health"
	"github.com/banyanrail/banyanrail/reduce/placement"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// follower applies the changes of a fold to placement and health.
type follower struct {
	placement *placement.State
	health    *health.State
}

func newFollower() follower {
	return follower{placement: placement.New(1), health: health.New()}
}

func (f follower) follow(d *fleet.Delta) {
	if d == nil {
		return
	}
	f.placement.ApplyDelta(d)
	f.health.ApplyDelta(d)
}

// view is the state of a follower in a form that can be compared.
type view struct {
	Loads     []placement.Load
	Addresses []string
	Limits    []int
	Sizes     []int
	// Ejected is the number of instances of each pool that may be ejected.
	Ejected []int
	// Granted is the order in which the slots of the pools are granted.
	Granted []fleet.InstanceID
}

func (f follower) view() view {
	v := view{Loads: f.placement.Loads()}
	for _, l := range v.Loads {
		_, address, _ := f.placement.PoolOf(l.Instance)
		v.Addresses = append(v.Addresses, address)
	}
	for i := range fleetSize {
		it, ok := f.health.Get(instance(i))
		if !ok {
			v.Limits = append(v.Limits, -1)
			continue
		}
		v.Limits = append(v.Limits, it.Limit())
	}
	for _, pool := range f.placement.Pools() {
		v.Sizes = append(v.Sizes, f.placement.InstanceCount(pool))
		v.Granted = append(v.Granted, f.fill(pool)...)
		v.Ejected = append(v.Ejected, f.eject(pool))
	}
	return v
}

func (f follower) fill(pool fleet.PoolName) []fleet.InstanceID {
	var granted []fleet.InstanceID
	for id := fleet.RequestID(1); f.placement.Add(placement.Request{ID: id, Pool: pool, Service: "survey", Member: "lawa"}); id++ {
		g, ok := f.placement.GrantNext(pool)
		if !ok {
			f.placement.Remove(id)
			break
		}
		granted = append(granted, g.Instance)
	}
	return granted
}

func (f follower) eject(pool fleet.PoolName) int {
	ejected := 0
	for i := range fleetSize {
		it, ok := f.health.Get(instance(i))
		for range 5 {
			if ok && it.Pool == pool && f.health.RecordFailure(it) {
				ejected++
			}
		}
	}
	return ejected
}

// anyText draws a text with some of the instances and pools.
func anyText(t *rapid.T) *fleet.Text {
	next := text()
	next.Pools[0].Slots = rapid.IntRange(1, 3).Draw(t, "slots")
	if rapid.Bool().Draw(t, "without b") {
		next.Pools = append(next.Pools[:1:1], next.Pools[2])
	}
	next.Maintenance.MaxStep = rapid.IntRange(1, 3).Draw(t, "max step")
	next.Instances = nil
	for i := range fleetSize {
		if rapid.IntRange(0, 3).Draw(t, "listed") == 0 {
			continue
		}
		next.Instances = append(next.Instances, fleet.Instance{
			ID:      instance(i),
			Address: fmt.Sprint("10.0.0.", rapid.IntRange(1, 2).Draw(t, "address")),
			Pool:    rapid.SampledFrom(next.Pools).Draw(t, "pool").Name,
		})
	}
	return next
}

// TestFollowingChangesEqualsStartingFromTheResult folds texts, moves and other
// records. Placement, health and the digest must be the same whether they follow
// each change or start from a snapshot taken at the end.
func TestFollowingChangesEqualsStartingFromTheResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, incremental := control.New(), newFollower()
		at := fleet.Offset(1)
		for ; at < 30; at++ {
			var next control.Body
			switch {
			case at == 1 || rapid.Bool().Draw(t, "whole text"):
				next = control.Publish{Base: s.Version, Text: anyText(t)}
			case rapid.Bool().Draw(t, "delta"):
				next = control.Publish{Base: s.Version, Delta: fleet.Compare(s.Text, anyText(t))}
			default:
				next = body(t, s)
			}
			res := s.Apply(control.Positioned{Offset: at, Record: control.Record{ID: fleet.RecordID(fmt.Sprint(at)), Body: next}})
			incremental.follow(res.Change)
		}
		restored, fromSnapshot := control.New(), newFollower()
		change, ok := restored.InstallSnapshot(control.Positioned{Offset: at, Record: control.Record{Body: s.Snapshot()}}, at)
		must.True(t, ok)
		fromSnapshot.follow(change)
		must.EqOp(t, restored.Digest(), s.Digest())
		must.Eq(t, fromSnapshot.view(), incremental.view())
	})
}
