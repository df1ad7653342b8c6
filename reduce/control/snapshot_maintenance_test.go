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

	restored := control.New()
	_, installed := restored.InstallSnapshot(control.Positioned{Offset: 6, Record: control.Record{ID: "snap", Body: snap}}, 5)
	must.True(t, installed)
	must.EqOp(t, before, restored.Digest())
	must.EqOp(t, control.Draining, restored.Drains["runner-1"].Phase)
	must.EqOp(t, "a", restored.Pools["runner-2"])
	must.Eq(t, []fleet.InstanceID{"runner-1"}, restored.Waves.Active[0].Current)
	must.EqOp(t, 1, restored.Moves)
}
