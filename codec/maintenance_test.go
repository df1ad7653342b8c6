package codec_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/planner"
	"github.com/banyanrail/banyanrail/reduce/rehearsal"
	"github.com/shoenig/test/must"
)

func TestMaintenanceRecordsRoundTrip(t *testing.T) {
	bodies := []control.Body{
		control.Drain{Instance: "r", Base: 3, Reason: control.ReasonMove, Purpose: control.PurposeMove, To: "main", Force: true},
		control.FinishDrain{Instance: "r", Base: 4},
		control.Return{Instance: "r", Base: 5},
		control.Restore{Instance: "r", Base: 6},
		control.Fail{Instance: "r", Base: 7, Detail: "broken"},
		control.Undrain{Instance: "r", Base: 8},
		control.Move{Instance: "r", From: "spare", To: "main", Base: 9},
		control.StartWave{Scope: control.Scope{Pools: []fleet.PoolName{"main"}, DataCentre: "dc1"}, Note: "kernel"},
		control.StepWave{Wave: 10, Base: 11, Instances: []fleet.InstanceID{"r", "s"}},
		control.PauseWave{Wave: 10, Base: 12, Detail: "failures"},
		control.ResumeWave{Wave: 10, Base: 13},
		control.AbortWave{Wave: 10, Base: 14},
		control.StartRehearsal{
			Domain: rehearsal.Domain{DataCentre: "dc1", Rack: "r1"}, Duration: time.Minute, Note: "monthly", Force: true,
			Demand: planner.Demand{"survey": 1.0 / 3}, Unhealthy: []fleet.InstanceID{"r"},
		},
		control.EndRehearsal{
			Rehearsal: 10, Base: 15, Reason: control.EndBudget, Detail: "survey", Watched: time.Second,
			Observed: []rehearsal.Observed{{Name: "survey", Answered: 1, Failed: 2, LeastSlots: 3, MaxBurn: 4.5}},
		},
	}
	for _, body := range bodies {
		want := control.Record{ID: "id", Time: time.Unix(1, 0).UTC(), Author: "entry-1", Body: body}
		data, err := codec.Encode(want)
		must.NoError(t, err)
		got, err := codec.Decode(data)
		must.NoError(t, err)
		must.Eq(t, want, got)
	}
}

func TestSnapshotKeepsMaintenance(t *testing.T) {
	want := control.Snapshot{
		Offset: 9,
		Drains: control.Drains{"r": {Epoch: 7, Phase: control.Draining, Reason: control.ReasonWave, Purpose: control.PurposeReboot, Wave: 6}},
		Waves:  control.Waves{Active: []*control.Wave{{ID: 6, Epoch: 7, Phase: control.WaveRunning, Current: []fleet.InstanceID{"r"}}}},
		Moves:  2,
		Rehearsals: control.Rehearsals{Active: &control.Rehearsal{
			ID: 8, Epoch: 8, Domain: rehearsal.Domain{DataCentre: "dc1"}, Started: time.Unix(1, 0).UTC(), Duration: time.Minute,
			Instances: []fleet.InstanceID{"r"}, Forecast: []rehearsal.Service{{Name: "survey", Availability: 0.5, Breaks: true}},
		}},
	}
	data, err := codec.Encode(control.Record{ID: "id", Body: want})
	must.NoError(t, err)
	got, err := codec.Decode(data)
	must.NoError(t, err)
	must.Eq[control.Body](t, want, got.Body)
}
