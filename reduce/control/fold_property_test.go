package control_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/rehearsal"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const fleetSize = 6

func text() *fleet.Text {
	t := &fleet.Text{
		Pools:       []fleet.Pool{{Name: "a", Slots: 4}, {Name: "b", Slots: 4}, {Name: "spare", Spare: true, Slots: 4}},
		Services:    []fleet.Service{{Name: "survey", Pool: "a"}, {Name: "disposal", Pool: "b", DependsOn: []fleet.ServiceName{"survey"}}},
		Maintenance: fleet.Maintenance{MaxStep: 2},
	}
	for i := range fleetSize {
		t.Instances = append(t.Instances, fleet.Instance{ID: instance(i), Pool: t.Pools[i%3].Name, DataCentre: "dc1", Rack: fleet.Rack(fmt.Sprint(i % 2))})
	}
	return t
}

func instance(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("runner-%d", i)) }

// body draws a record. Its base is usually the epoch in force and sometimes an
// arbitrary offset.
func body(t *rapid.T, s *control.State) control.Body {
	id := instance(rapid.IntRange(0, fleetSize-1).Draw(t, "instance"))
	base := s.Drains[id].Epoch
	if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
		base = fleet.Offset(rapid.IntRange(0, int(s.Offset)).Draw(t, "base"))
	}
	pools := rapid.SampledFrom([]fleet.PoolName{"a", "b", "spare"})
	wave, waveBase := fleet.Offset(0), fleet.Offset(0)
	if n := len(s.Waves.Active); n > 0 {
		w := s.Waves.Active[rapid.IntRange(0, n-1).Draw(t, "wave")]
		wave, waveBase = w.ID, w.Epoch
	}
	rehearsalID, rehearsalBase := fleet.Offset(0), base
	if r := s.Rehearsals.Active; r != nil {
		rehearsalID, rehearsalBase = r.ID, r.Epoch
	}
	switch rapid.IntRange(0, 13).Draw(t, "kind") {
	case 0:
		return control.Drain{
			Instance: id, Base: base, Reason: control.ReasonOperator, To: pools.Draw(t, "to"),
			Purpose: control.Purpose(rapid.IntRange(0, 4).Draw(t, "purpose")), Force: rapid.Bool().Draw(t, "force"),
		}
	case 1:
		return control.FinishDrain{Instance: id, Base: base}
	case 2:
		return control.Return{Instance: id, Base: base}
	case 3:
		return control.Restore{Instance: id, Base: base}
	case 4:
		return control.Fail{Instance: id, Base: base}
	case 5:
		return control.Undrain{Instance: id, Base: base}
	case 6:
		return control.Move{Instance: id, From: pools.Draw(t, "from"), To: pools.Draw(t, "to"), Base: base}
	case 7:
		return control.StartWave{Scope: control.Scope{Pools: []fleet.PoolName{pools.Draw(t, "pool")}}}
	case 8:
		return control.StepWave{Wave: wave, Base: waveBase, Instances: []fleet.InstanceID{id}}
	case 9:
		return control.PauseWave{Wave: wave, Base: waveBase}
	case 10:
		return control.ResumeWave{Wave: wave, Base: waveBase}
	case 11:
		return control.StartRehearsal{
			Domain:   rehearsal.Domain{DataCentre: "dc1", Rack: fleet.Rack(rapid.SampledFrom([]string{"", "0", "1"}).Draw(t, "rack"))},
			Duration: time.Second, Force: rapid.Bool().Draw(t, "force"),
		}
	case 12:
		return control.EndRehearsal{
			Rehearsal: rehearsalID, Base: rehearsalBase,
			Reason: control.RehearsalEnd(rapid.IntRange(0, 5).Draw(t, "reason")),
		}
	default:
		return control.AbortWave{Wave: wave, Base: waveBase}
	}
}

// TestFoldKeepsItsInvariants folds random records. Whatever their order, each
// instance stays in exactly one known pool, epochs never decrease, a record with
// a stale base changes nothing, and an instance is in at most one wave.
func TestFoldKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := control.New()
		twin := control.New()
		records := []control.Positioned{{Offset: 1, Record: control.Record{ID: "text", Body: control.Publish{Text: text()}}}}
		s.Apply(records[0])
		for at := fleet.Offset(2); at < 60; at++ {
			p := control.Positioned{Offset: at, Record: control.Record{ID: fleet.RecordID(fmt.Sprint(at)), Body: body(t, s)}}
			before := make(map[fleet.InstanceID]control.Maintenance)
			pools := make(map[fleet.InstanceID]fleet.PoolName)
			for i := range fleetSize {
				before[instance(i)], pools[instance(i)] = s.Drains[instance(i)], s.Pools[instance(i)]
			}
			res := s.Apply(p)
			records = append(records, p)
			check(t, s, p, res, before, pools)
		}
		for _, p := range records {
			twin.Apply(p)
		}
		must.Eq(t, s.Pools, twin.Pools)
		must.Eq(t, s.Drains, twin.Drains)
		must.Eq(t, s.Waves, twin.Waves)
		must.Eq(t, s.Rehearsals, twin.Rehearsals)
		must.EqOp(t, s.Digest(), twin.Digest())
	})
}

func check(t *rapid.T, s *control.State, p control.Positioned, res control.Result,
	before map[fleet.InstanceID]control.Maintenance, pools map[fleet.InstanceID]fleet.PoolName,
) {
	must.MapLen(t, fleetSize, s.Pools)
	inWaves := make(map[fleet.InstanceID]int)
	for _, w := range s.Waves.Active {
		for _, id := range w.Pending {
			inWaves[id]++
		}
		for _, id := range w.Current {
			inWaves[id]++
		}
	}
	if r := s.Rehearsals.Active; r != nil {
		for _, id := range r.Instances {
			must.EqOp(t, 0, inWaves[id], must.Sprintf("%s is in a wave and a rehearsal", id))
		}
	}
	for i := range fleetSize {
		id := instance(i)
		if m := s.Drains[id]; s.Rehearsals.Active == nil && (m.Phase == control.Draining || m.Phase == control.Drained) {
			must.NotEqOp(t, control.ReasonRehearsal, m.Reason)
		}
		_, known := s.Text.Pool(s.Pools[id])
		must.True(t, known)
		must.GreaterEq(t, before[id].Epoch, s.Drains[id].Epoch)
		must.LessEq(t, 1, inWaves[id])
		must.EqOp(t, s.Drains[id].Phase != control.InService, slices.Contains(s.OutOfService(), id))
		move, isMove := p.Record.Body.(control.Move)
		if s.Pools[id] != pools[id] {
			must.True(t, isMove && move.Instance == id && move.From == pools[id] && move.Base == before[id].Epoch)
			must.EqOp(t, control.Accepted, res.Outcome)
		}
		if res.Outcome != control.Accepted {
			must.Eq(t, before[id], s.Drains[id])
		}
	}
}
