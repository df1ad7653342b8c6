package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/planner"
	"github.com/shoenig/test/must"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// twoPools returns an input with four data centres, the pools a and b with size
// instances each, and a spare pool.
func twoPools(size, spares int, prices fleet.Prices) planner.Input {
	text := &fleet.Text{
		DataCentres: []fleet.DataCentre{"dc1", "dc2", "dc3", "dc4"},
		Pools:       []fleet.Pool{{Name: "a", Slots: 8}, {Name: "b", Slots: 8}, {Name: "spare", Slots: 8, Spare: true}},
		Services:    []fleet.Service{{Name: "sa", Pool: "a"}, {Name: "sb", Pool: "b"}},
		Prices:      prices,
	}
	in := planner.Input{Now: epoch, Text: text, Pools: make(map[fleet.InstanceID]fleet.PoolName), Demand: planner.Demand{}}
	add := func(pool fleet.PoolName, n int) {
		for i := range n {
			id := fleet.InstanceID(fmt.Sprintf("%s-%02d", pool, i))
			dc := text.DataCentres[i%len(text.DataCentres)]
			text.Instances = append(text.Instances, fleet.Instance{ID: id, DataCentre: dc, Pool: pool})
			in.Pools[id] = pool
		}
	}
	add("a", size)
	add("b", size)
	add("spare", spares)
	return in
}

// run lets the planner decide once a second for a time and applies its moves.
func run(s *planner.State, in *planner.Input, d time.Duration) []planner.Move {
	var moves []planner.Move
	for end := in.Now.Add(d); in.Now.Before(end); in.Now = in.Now.Add(time.Second) {
		if m, ok := s.Next(*in); ok {
			in.Pools[m.Instance] = m.To
			moves = append(moves, m)
		}
	}
	return moves
}

func TestShortBurstMovesNothing(t *testing.T) {
	in := twoPools(10, 8, fleet.Prices{Buffer: 1, Move: 1})
	s := planner.New()
	in.Demand = planner.Demand{"sa": 400, "sb": 10}
	moves := run(s, &in, planner.ShortfallHold-time.Second)
	must.Len(t, 0, moves)
	in.Demand = planner.Demand{"sa": 40, "sb": 10}
	must.Len(t, 0, run(s, &in, 30*time.Second))
}

func TestLastingShortfallTakesSpares(t *testing.T) {
	in := twoPools(4, 4, fleet.Prices{Buffer: 1, Move: 1})
	in.Demand = planner.Demand{"sa": 48, "sb": 8}
	moves := run(planner.New(), &in, time.Minute)
	must.Greater(t, 1, len(moves))
	must.EqOp(t, "spare", moves[0].From)
	must.EqOp(t, "a", moves[0].To)
	must.EqOp(t, planner.ReasonShortfall, moves[0].Reason)
}

func TestExpensiveMovesKeepTheSurplus(t *testing.T) {
	demand := planner.Demand{"sa": 8, "sb": 8}
	cheap := twoPools(10, 1, fleet.Prices{Buffer: 60, Move: 0.5})
	cheap.Demand = demand
	expensive := twoPools(10, 1, fleet.Prices{Buffer: 1, Move: 100})
	expensive.Demand = demand
	must.Greater(t, 0, len(run(planner.New(), &cheap, time.Hour)))
	must.Len(t, 0, run(planner.New(), &expensive, time.Hour))
}

func TestReserveCarriesTheLossOfADataCentre(t *testing.T) {
	in := twoPools(12, 0, fleet.Prices{Buffer: 1, Move: 100})
	in.Demand = planner.Demand{"sa": 72 * planner.TargetUtilisation, "sb": 0}
	for _, n := range planner.Needs(in) {
		if n.Pool != "a" {
			continue
		}
		must.EqOp(t, 9, n.Required)
		must.EqOp(t, 12, n.Target())
	}
}

func TestUnavailableInstancesAreNotMoved(t *testing.T) {
	in := twoPools(1, 1, fleet.Prices{Buffer: 1, Move: 1})
	in.Demand = planner.Demand{"sa": 100}
	in.Unavailable = map[fleet.InstanceID]bool{"spare-00": true}
	for _, m := range run(planner.New(), &in, time.Minute) {
		must.NotEqOp(t, "spare-00", m.Instance)
	}
}

func TestDependantsAddToDemand(t *testing.T) {
	text := &fleet.Text{Services: []fleet.Service{
		{Name: "front", Demand: 4, DependsOn: []fleet.ServiceName{"left", "right"}},
		{Name: "left", Demand: 1, DependsOn: []fleet.ServiceName{"base"}},
		{Name: "right", Demand: 2, DependsOn: []fleet.ServiceName{"base"}},
		{Name: "base", Demand: 3},
	}}
	d := planner.Declared(text)
	must.EqOp(t, 4.0, d["front"])
	must.EqOp(t, 5.0, d["left"])
	must.EqOp(t, 6.0, d["right"])
	must.EqOp(t, 10.0, d["base"])
}

func TestMoveOfASpareKeepsTheReserveShared(t *testing.T) {
	in := twoPools(7, 4, fleet.Prices{Buffer: 10, Move: 1})
	in.Demand = planner.Demand{"sa": 51, "sb": 44}
	moves := run(planner.New(), &in, 10*time.Minute)
	must.Len(t, 1, moves)
	must.EqOp(t, planner.ReasonShortfall, moves[0].Reason)
}

func TestPoolRetainsInstancesForItsBursts(t *testing.T) {
	in := twoPools(8, 1, fleet.Prices{Buffer: 60, Move: 0.5})
	in.Demand = planner.Demand{"sa": 8, "sb": 50}
	in.Peak = planner.Demand{"sa": 40, "sb": 50}
	must.Len(t, 1, run(planner.New(), &in, time.Hour))
}

func TestArrivingInstancesCountInTheirNewPool(t *testing.T) {
	in := twoPools(7, 4, fleet.Prices{Buffer: 10, Move: 1})
	in.Demand = planner.Demand{"sa": 51, "sb": 44}
	in.Unavailable = map[fleet.InstanceID]bool{"spare-00": true}
	in.Arriving = map[fleet.InstanceID]fleet.PoolName{"spare-00": "a"}
	must.Len(t, 0, run(planner.New(), &in, time.Minute))
}

func TestOnlyRecurringBurstsMoveInstances(t *testing.T) {
	in := twoPools(8, 4, fleet.Prices{Buffer: 1, Move: 1})
	in.Demand = planner.Demand{"sa": 16, "sb": 16}
	burst, quiet := planner.Demand{"sa": 80}, planner.Demand{"sa": 20}
	s := planner.New()
	for range 3 {
		in.Peak = burst
		must.Len(t, 0, run(s, &in, planner.BurstHold-time.Second))
		in.Peak = quiet
		must.Len(t, 0, run(s, &in, 10*time.Second))
	}
	in.Peak = burst
	moves := run(s, &in, planner.BurstHold+time.Minute)
	must.Len(t, 2, moves)
	must.EqOp(t, planner.ReasonBursts, moves[0].Reason)
	must.EqOp(t, "a", moves[0].To)
}

func TestPoolRetainsItsHighestNeedDuringTheHold(t *testing.T) {
	in := twoPools(8, 1, fleet.Prices{Buffer: 60, Move: 0.5})
	in.Demand = planner.Demand{"sa": 10, "sb": 50}
	s := planner.New()
	moves := 0
	for range 200 {
		in.Demand["sa"] = 44
		moves += len(run(s, &in, 5*time.Second))
		in.Demand["sa"] = 38
		moves += len(run(s, &in, 5*time.Second))
	}
	must.EqOp(t, 1, moves)
	must.EqOp(t, 7, planner.Needs(in)[0].Available)
}
