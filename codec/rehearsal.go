package codec

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/planner"
	"github.com/banyanrail/banyanrail/reduce/rehearsal"
	"github.com/samber/oops"
)

// Kinds of records about rehearsals.
const (
	kindStartRehearsal = "start-rehearsal"
	kindEndRehearsal   = "end-rehearsal"
)

type startRehearsal struct {
	Domain    rehearsal.Domain   `json:"domain"`
	Duration  time.Duration      `json:"duration"`
	Note      string             `json:"note,omitempty"`
	Force     bool               `json:"force,omitempty"`
	Demand    planner.Demand     `json:"demand,omitempty"`
	Unhealthy []fleet.InstanceID `json:"unhealthy,omitempty"`
}

type endRehearsal struct {
	Rehearsal fleet.Offset         `json:"rehearsal"`
	Base      fleet.Offset         `json:"base"`
	Reason    control.RehearsalEnd `json:"reason"`
	Detail    string               `json:"detail,omitempty"`
	Watched   time.Duration        `json:"watched,omitempty"`
	Observed  []rehearsal.Observed `json:"observed,omitempty"`
}

func encodeRehearsal(body control.Body) (string, any, error) {
	switch b := body.(type) {
	case control.StartRehearsal:
		return kindStartRehearsal, startRehearsal(b), nil
	case control.EndRehearsal:
		return kindEndRehearsal, endRehearsal(b), nil
	default:
		return "", nil, oops.In("codec").With("step", "encode").Errorf("unknown record type %T", body)
	}
}

func decodeRehearsal(env envelope) (control.Body, error) {
	if env.Kind == kindStartRehearsal {
		b, err := unmarshalBody[startRehearsal](env)
		return control.StartRehearsal(b), err
	}
	b, err := unmarshalBody[endRehearsal](env)
	return control.EndRehearsal(b), err
}
