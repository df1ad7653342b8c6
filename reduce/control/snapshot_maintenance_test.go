package control_test

import (
	"testing"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/shoenig/test/must"
)

func TestSnapshotCarriesDrainsAndWaves(t *testing.T) {
	s := control.New()
	bodies := []control.Body{
		control.Publish{Text: text()},
		control.Move{Instance: "runner-2", From: "spare", To: "a"},
		control.StartWave{Scope: control.Scope{Pools: []fleet.PoolName{"b"}}},
		control.StepWave{Wave: 3, Base: 3, Instances: []fleet.InstanceID{"runner-1"}},
	}
	for i, body := range bodies {
		at := fleet.Offset(i + 1)
		res := s.Apply(control.Positioned{Offset: at, Record: control.Record{ID: fleet.RecordID(rune('a' + i)), Body: body}})
		must.EqOp(t, control.Accepted, res.Outcome)
	}
	snap := s.Snapshot()
	before := s.Digest()
	s.Apply(control.Positioned{Offset: 5, Record: control.Record{ID: "z", Body: control.FinishDrain{Instance: "runner-1", Base: 4}}})
	must.NotEqOp(t, before, s.Digest())

	fresh := control.New()
	_, adopted := fresh.InstallSnapshot(control.Positioned{Offset: 6, Record: control.Record{ID: "snap", Body: snap}}, 5)
	must.True(t, adopted)
	must.EqOp(t, before, fresh.Digest())
	must.EqOp(t, control.Draining, fresh.Drains["runner-1"].Phase)
	must.EqOp(t, "a", fresh.Pools["runner-2"])
	must.Eq(t, []fleet.InstanceID{"runner-1"}, fresh.Waves.Active[0].Current)
	must.EqOp(t, 1, fresh.Moves)
}
