package usage

import "github.com/banyanrail/banyanrail/fleet"

// IsFailure reports whether a refusal for this reason counts against the
// availability budget. Refusals caused by the caller do not.
func IsFailure(reason fleet.Reason) bool {
	switch reason {
	case fleet.ReasonQueueFull,
		fleet.ReasonNoCapacity,
		fleet.ReasonDeadline,
		fleet.ReasonLogUnavailable,
		fleet.ReasonOverloaded,
		fleet.ReasonEndpointFailed,
		fleet.ReasonInDoubt:
		return true
	default:
		return false
	}
}
