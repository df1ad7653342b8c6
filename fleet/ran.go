package fleet

// Ran says whether a request ran at an endpoint.
type Ran uint8

// Values of Ran.
const (
	// RanUnknown means that the request may have run.
	RanUnknown Ran = iota
	// RanNo means that the request did not run and never will under this request
	// id.
	RanNo
	// RanYes means that an endpoint ran the request and its answer is known.
	RanYes
)

// String returns the value of the Banyanrail-Ran header.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	default:
		return "unknown"
	}
}

// Reason says why a request was refused or failed.
type Reason uint8

// Reasons, ordered from the checks of the entry to the failures of the endpoint.
const (
	ReasonNone Reason = iota
	ReasonNoText
	ReasonUnknownService
	ReasonUnknownMember
	ReasonBodyTooLarge
	ReasonSizeTooLarge
	ReasonKeyMissing
	ReasonKeyMalformed
	ReasonKeyExpired
	ReasonKeyFromFuture
	ReasonKeyReused
	ReasonQueueFull
	ReasonQuota
	ReasonNoCapacity
	ReasonDeadline
	ReasonCancelled
	ReasonStopping
	ReasonLogUnavailable
	ReasonOverloaded
	ReasonEndpointFailed
	ReasonInDoubt
	ReasonAnswerNotKept
)

var reasonNames = [...]string{
	ReasonNone:           "none",
	ReasonNoText:         "no-text-in-force",
	ReasonUnknownService: "unknown-service",
	ReasonUnknownMember:  "unknown-member",
	ReasonBodyTooLarge:   "body-too-large",
	ReasonSizeTooLarge:   "size-too-large",
	ReasonKeyMissing:     "idempotency-key-missing",
	ReasonKeyMalformed:   "idempotency-key-malformed",
	ReasonKeyExpired:     "idempotency-key-expired",
	ReasonKeyFromFuture:  "idempotency-key-from-future",
	ReasonKeyReused:      "idempotency-key-reused",
	ReasonQueueFull:      "queue-full",
	ReasonQuota:          "quota-exceeded",
	ReasonNoCapacity:     "no-capacity",
	ReasonDeadline:       "deadline-exceeded",
	ReasonCancelled:      "cancelled",
	ReasonStopping:       "stopping",
	ReasonLogUnavailable: "log-unavailable",
	ReasonOverloaded:     "overloaded",
	ReasonEndpointFailed: "endpoint-failed",
	ReasonInDoubt:        "in-doubt",
	ReasonAnswerNotKept:  "answer-not-kept",
}

// String returns the reason as written in problem documents and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}
