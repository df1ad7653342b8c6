package control

import "slices"

// DrainReason says why an instance is drained.
type DrainReason uint8

// Reasons of a drain.
const (
	ReasonOperator DrainReason = iota + 1
	ReasonWave
	ReasonMove
	ReasonFailure
	ReasonRehearsal
)

var drainReasonNames = [...]string{
	ReasonOperator:  "operator",
	ReasonWave:      "wave",
	ReasonMove:      "move",
	ReasonFailure:   "failure",
	ReasonRehearsal: "rehearsal",
}

// String returns the reason's name.
func (r DrainReason) String() string { return nameOf(drainReasonNames[:], int(r)) }

// Purpose says what happens to an instance once it is drained.
type Purpose uint8

// Purposes of a drain.
const (
	// PurposeHold keeps the instance out of service until it is undrained.
	PurposeHold Purpose = iota + 1
	// PurposeStop stops the instance.
	PurposeStop
	// PurposeReboot reboots the instance and brings it back into service.
	PurposeReboot
	// PurposeMove puts the instance into another pool.
	PurposeMove
)

var purposeNames = [...]string{
	PurposeHold:   "hold",
	PurposeStop:   "stop",
	PurposeReboot: "reboot",
	PurposeMove:   "move",
}

// String returns the purpose's name.
func (p Purpose) String() string { return nameOf(purposeNames[:], int(p)) }

// ParsePurpose returns the purpose with this name.
func ParsePurpose(name string) (Purpose, bool) {
	i := slices.Index(purposeNames[:], name)
	return Purpose(max(i, 0)), i > 0
}

// Phase is the phase of an instance's maintenance.
type Phase uint8

// Phases of an instance.
const (
	// InService instances take requests without restriction.
	InService Phase = iota
	// Draining instances take no new requests; those in flight finish.
	Draining
	// Drained instances have no requests in flight from any entry.
	Drained
	// Probation instances take one request at a time from each entry.
	Probation
	// Failed instances did not come up after their reboot, or failed their
	// probation. They take no requests until an operator undrains them.
	Failed
)

var phaseNames = [...]string{
	InService: "in-service",
	Draining:  "draining",
	Drained:   "drained",
	Probation: "probation",
	Failed:    "failed",
}

// String returns the phase's name.
func (p Phase) String() string { return nameOf(phaseNames[:], int(p)) }

func nameOf(names []string, i int) string {
	if i < len(names) && names[i] != "" {
		return names[i]
	}
	return "none"
}
