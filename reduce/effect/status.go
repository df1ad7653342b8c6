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

// ReplyStatus answers a question for the state.
type ReplyStatus struct {
	ID     uint64
	Status Status
}

// ReplyText answers a question for the services text in force.
type ReplyText struct {
	ID      uint64
	Version fleet.Version
	// Text is nil when no text is in force.
	Text *fleet.Text
}

// ReplyForecast answers a question for a forecast.
type ReplyForecast struct {
	ID       uint64
	Forecast Forecast
}

// Forecast says what the loss of a failure domain would do.
type Forecast struct {
	Domain rehearsal.Domain `json:"domain"`
	// Instances is the number in the domain.
	Instances int                 `json:"instances"`
	Services  []rehearsal.Service `json:"services"`
}

// RehearsalStatus is one rehearsal.
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
	// Watched is how much of the rehearsal Observed is about.
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
	// Versions holds the version in force at each entry alive, as last heard.
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

// ClaimStatus is what an entry holds of the claims stream.
type ClaimStatus struct {
	// Open tells whether non-idempotent requests are taken.
	Open bool `json:"open"`
	// Offset is that of the last group folded.
	Offset fleet.Offset `json:"offset"`
	// Keys is the number of keys remembered.
	Keys int `json:"keys"`
	// Held is the number of claims of this entry without an outcome.
	Held int `json:"held"`
	// Groups is the number of groups that have not been read back.
	Groups int `json:"groups"`
}

// InstanceStatus is one instance as the entry sees it.
type InstanceStatus struct {
	ID      fleet.InstanceID `json:"id"`
	Pool    fleet.PoolName   `json:"pool"`
	Running int              `json:"running"`
	// Phase is how far the instance's maintenance has come, and Epoch the
	// offset of the record that it follows from.
	Phase string       `json:"phase"`
	Epoch fleet.Offset `json:"epoch"`
	// Detail says why the instance failed.
	Detail string `json:"detail,omitempty"`
}

// WaveStatus is one wave.
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
	// Demand is in slots. Observed is set when it was not only declared.
	Demand   float64 `json:"demand"`
	Observed bool    `json:"observed"`
	Answered uint64  `json:"answered"`
	Failed   uint64  `json:"failed"`
	// Burn and BurnShort are how fast the long and the short window burn the
	// budget: 1 is the rate that just spends it.
	Burn      float64 `json:"burn"`
	BurnShort float64 `json:"burn_short"`
	// Burnt is the share spent of what the budget allows for the requests since
	// the entries started.
	Burnt float64 `json:"burnt"`
}

// Measures are what the fleet costs its users.
type Measures struct {
	Buffer   measure.Buffer   `json:"buffer"`
	RollOuts measure.RollOuts `json:"roll_outs"`
	// Moves counts moves between pools since the first record.
	Moves uint64 `json:"moves"`
}
