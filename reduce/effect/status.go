package effect

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/measure"
	"github.com/banyanrail/banyanrail/reduce/rehearsal"
)

// Reply answers an operator's command.
type Reply struct {
	ID     uint64
	Result control.Result
}

// ReplyStatus answers a request for the state.
type ReplyStatus struct {
	ID     uint64
	Status Status
}

// ReplyText answers a request for the services text in force.
type ReplyText struct {
	ID      uint64
	Version fleet.Version
	// Text is nil when no text is in force.
	Text *fleet.Text
}

// ReplyForecast answers a request for a forecast.
type ReplyForecast struct {
	ID       uint64
	Forecast Forecast
}

// Forecast predicts the effects of losing a failure domain.
type Forecast struct {
	Domain rehearsal.Domain `json:"domain"`
	// Instances is the number of instances in the domain.
	Instances int                 `json:"instances"`
	Services  []rehearsal.Service `json:"services"`
}

// RehearsalStatus is the status of one rehearsal.
type RehearsalStatus struct {
	ID     fleet.Offset     `json:"id"`
	Domain rehearsal.Domain `json:"domain"`
	Note   string           `json:"note,omitempty"`
	Forced bool             `json:"forced,omitempty"`
	// Phase is running or ended, and Reason says why it ended.
	Phase     string              `json:"phase"`
	Reason    string              `json:"reason,omitempty"`
	Detail    string              `json:"detail,omitempty"`
	Started   time.Time           `json:"started"`
	Ended     time.Time           `json:"ended,omitzero"`
	Duration  time.Duration       `json:"duration_ns"`
	Instances []fleet.InstanceID  `json:"instances"`
	Forecast  []rehearsal.Service `json:"forecast"`
	// Watched is the part of the rehearsal's duration that Observed covers.
	Watched  time.Duration        `json:"watched_ns"`
	Observed []rehearsal.Observed `json:"observed"`
}

// Status is a summary of an entry's state.
type Status struct {
	Entry    fleet.EntryID `json:"entry"`
	Ready    bool          `json:"ready"`
	Stopping bool          `json:"stopping"`
	// Gap is set while records that the entry needs have expired in the log.
	Gap bool `json:"gap"`
	// LogDown is set while the log cannot be read.
	LogDown  bool            `json:"log_down"`
	Version  fleet.Version   `json:"version"`
	Offset   fleet.Offset    `json:"offset"`
	Requests int             `json:"requests"`
	Queued   int             `json:"queued"`
	Running  int             `json:"running"`
	Peers    []fleet.EntryID `json:"peers"`
	// Versions holds the version in force at each live entry, as last reported.
	Versions   map[fleet.EntryID]fleet.Version `json:"versions"`
	Instances  []InstanceStatus                `json:"instances"`
	Waves      []WaveStatus                    `json:"waves"`
	Services   []ServiceStatus                 `json:"services"`
	Measures   Measures                        `json:"measures"`
	Rehearsals []RehearsalStatus               `json:"rehearsals"`
	Totals     map[string]uint64               `json:"totals"`
	Pools      map[fleet.PoolName]int          `json:"pools"`
	Claims     ClaimStatus                     `json:"claims"`
	// Holds lists the pools whose slots this entry grants.
	Holds []fleet.PoolName `json:"holds,omitempty"`
}

// ClaimStatus is the state of an entry's fold of the claims stream.
type ClaimStatus struct {
	// Open is set while non-idempotent requests are accepted.
	Open bool `json:"open"`
	// Offset is the offset of the last group folded.
	Offset fleet.Offset `json:"offset"`
	// Keys is the number of keys kept.
	Keys int `json:"keys"`
	// Held is the number of claims of this entry without an outcome.
	Held int `json:"held"`
	// Groups is the number of this entry's groups that have not been read back.
	Groups int `json:"groups"`
}

// InstanceStatus is the status of one instance in the entry's state.
type InstanceStatus struct {
	ID      fleet.InstanceID `json:"id"`
	Pool    fleet.PoolName   `json:"pool"`
	Running int              `json:"running"`
	// Phase is the phase of the instance's maintenance, and Epoch the offset of
	// the record that set it.
	Phase string       `json:"phase"`
	Epoch fleet.Offset `json:"epoch"`
	// Detail says why the instance failed.
	Detail string `json:"detail,omitempty"`
}

// WaveStatus is the status of one wave.
type WaveStatus struct {
	ID      fleet.Offset       `json:"id"`
	Phase   string             `json:"phase"`
	Note    string             `json:"note,omitempty"`
	Detail  string             `json:"detail,omitempty"`
	Started time.Time          `json:"started,omitzero"`
	Ended   time.Time          `json:"ended,omitzero"`
	Steps   int                `json:"steps"`
	Pending int                `json:"pending"`
	Done    int                `json:"done"`
	Current []fleet.InstanceID `json:"current,omitempty"`
	Failed  []fleet.InstanceID `json:"failed,omitempty"`
	Skipped []fleet.InstanceID `json:"skipped,omitempty"`
}

// ServiceStatus is the demand and the budget of one service, over all entries.
type ServiceStatus struct {
	Name fleet.ServiceName `json:"name"`
	Pool fleet.PoolName    `json:"pool"`
	// Demand is in slots. Observed is set when it was measured and not only
	// declared.
	Demand   float64 `json:"demand"`
	Observed bool    `json:"observed"`
	Answered uint64  `json:"answered"`
	Failed   uint64  `json:"failed"`
	// Burn and BurnShort are the burn rates of the availability budget over the
	// long and the short window. A rate of 1 spends exactly the budget.
	Burn      float64 `json:"burn"`
	BurnShort float64 `json:"burn_short"`
	// Burnt is the spent share of the availability budget for the requests since
	// the entries started.
	Burnt float64 `json:"burnt"`
}

// Measures are the costs of the fleet for its users.
type Measures struct {
	Buffer   measure.Buffer   `json:"buffer"`
	RollOuts measure.RollOuts `json:"roll_outs"`
	// Moves counts moves between pools since the first record.
	Moves uint64 `json:"moves"`
}
