package codec

import (
	"encoding/json"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/samber/oops"
)

// Kinds of records about drains, moves and waves.
const (
	kindDrain       = "drain"
	kindFinishDrain = "finish-drain"
	kindReturn      = "return"
	kindRestore     = "restore"
	kindFail        = "fail"
	kindUndrain     = "undrain"
	kindMove        = "move"
	kindStartWave   = "start-wave"
	kindStepWave    = "step-wave"
	kindPauseWave   = "pause-wave"
	kindResumeWave  = "resume-wave"
	kindAbortWave   = "abort-wave"
)

type drain struct {
	Instance fleet.InstanceID    `json:"instance"`
	Base     fleet.Offset        `json:"base"`
	Reason   control.DrainReason `json:"reason"`
	Purpose  control.Purpose     `json:"purpose"`
	To       fleet.PoolName      `json:"to,omitempty"`
	Force    bool                `json:"force,omitempty"`
}

// instanceChange is the body of records whose kind alone describes the change of
// an instance.
type instanceChange struct {
	Instance fleet.InstanceID `json:"instance"`
	Base     fleet.Offset     `json:"base"`
	Detail   string           `json:"detail,omitempty"`
}

type move struct {
	Instance fleet.InstanceID `json:"instance"`
	From     fleet.PoolName   `json:"from"`
	To       fleet.PoolName   `json:"to"`
	Base     fleet.Offset     `json:"base"`
}

type startWave struct {
	Pools      []fleet.PoolName `json:"pools,omitempty"`
	DataCentre fleet.DataCentre `json:"data_centre,omitempty"`
	Note       string           `json:"note,omitempty"`
}

type waveChange struct {
	Wave      fleet.Offset       `json:"wave"`
	Base      fleet.Offset       `json:"base"`
	Instances []fleet.InstanceID `json:"instances,omitempty"`
	Detail    string             `json:"detail,omitempty"`
}

func encodeMaintenance(body control.Body) (string, any, error) {
	switch b := body.(type) {
	case control.Drain:
		return kindDrain, drain(b), nil
	case control.FinishDrain:
		return kindFinishDrain, instanceChange{Instance: b.Instance, Base: b.Base}, nil
	case control.Return:
		return kindReturn, instanceChange{Instance: b.Instance, Base: b.Base}, nil
	case control.Restore:
		return kindRestore, instanceChange{Instance: b.Instance, Base: b.Base}, nil
	case control.Fail:
		return kindFail, instanceChange(b), nil
	case control.Undrain:
		return kindUndrain, instanceChange{Instance: b.Instance, Base: b.Base}, nil
	case control.Move:
		return kindMove, move(b), nil
	default:
		return encodeWave(body)
	}
}

func encodeWave(body control.Body) (string, any, error) {
	switch b := body.(type) {
	case control.StartWave:
		return kindStartWave, startWave{Pools: b.Scope.Pools, DataCentre: b.Scope.DataCentre, Note: b.Note}, nil
	case control.StepWave:
		return kindStepWave, waveChange{Wave: b.Wave, Base: b.Base, Instances: b.Instances}, nil
	case control.PauseWave:
		return kindPauseWave, waveChange{Wave: b.Wave, Base: b.Base, Detail: b.Detail}, nil
	case control.ResumeWave:
		return kindResumeWave, waveChange{Wave: b.Wave, Base: b.Base}, nil
	case control.AbortWave:
		return kindAbortWave, waveChange{Wave: b.Wave, Base: b.Base}, nil
	default:
		return encodeRehearsal(body)
	}
}

func decodeMaintenance(env envelope) (control.Body, error) {
	switch env.Kind {
	case kindDrain:
		b, err := unmarshalBody[drain](env)
		return control.Drain(b), err
	case kindMove:
		b, err := unmarshalBody[move](env)
		return control.Move(b), err
	case kindStartWave:
		b, err := unmarshalBody[startWave](env)
		return control.StartWave{Scope: control.Scope{Pools: b.Pools, DataCentre: b.DataCentre}, Note: b.Note}, err
	case kindStartRehearsal, kindEndRehearsal:
		return decodeRehearsal(env)
	case kindStepWave, kindPauseWave, kindResumeWave, kindAbortWave:
		return decodeWave(env)
	default:
		return decodeInstanceChange(env)
	}
}

func decodeInstanceChange(env envelope) (control.Body, error) {
	b, err := unmarshalBody[instanceChange](env)
	if err != nil {
		return nil, err
	}
	switch env.Kind {
	case kindFinishDrain:
		return control.FinishDrain{Instance: b.Instance, Base: b.Base}, nil
	case kindReturn:
		return control.Return{Instance: b.Instance, Base: b.Base}, nil
	case kindRestore:
		return control.Restore{Instance: b.Instance, Base: b.Base}, nil
	case kindFail:
		return control.Fail(b), nil
	case kindUndrain:
		return control.Undrain{Instance: b.Instance, Base: b.Base}, nil
	default:
		return nil, oops.Errorf("unknown record kind %q", env.Kind)
	}
}

func decodeWave(env envelope) (control.Body, error) {
	b, err := unmarshalBody[waveChange](env)
	if err != nil {
		return nil, err
	}
	switch env.Kind {
	case kindStepWave:
		return control.StepWave{Wave: b.Wave, Base: b.Base, Instances: b.Instances}, nil
	case kindPauseWave:
		return control.PauseWave{Wave: b.Wave, Base: b.Base, Detail: b.Detail}, nil
	case kindResumeWave:
		return control.ResumeWave{Wave: b.Wave, Base: b.Base}, nil
	default:
		return control.AbortWave{Wave: b.Wave, Base: b.Base}, nil
	}
}

func unmarshalBody[T any](env envelope) (T, error) {
	var b T
	err := json.Unmarshal(env.Body, &b)
	return b, err
}
