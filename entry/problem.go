package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/services"
)

// problem is an RFC 9457 problem document.
type problem struct {
	Type     string `json:"type"`
	Title    string `json:"title"`
	Status   int    `json:"status"`
	Detail   string `json:"detail,omitempty"`
	Ran      string `json:"ran,omitempty"`
	Request  string `json:"request,omitempty"`
	Attempts int    `json:"attempts,omitempty"`
	// Step and Peer name the step that failed and the instance or address concerned.
	Step string `json:"step,omitempty"`
	Peer string `json:"peer,omitempty"`
	// Faults lists the faults of a services text.
	Faults []services.Fault `json:"faults,omitempty"`

	retryAfter time.Duration
}

var reasonStatus = map[fleet.Reason]int{
	fleet.ReasonNoText:         http.StatusServiceUnavailable,
	fleet.ReasonUnknownService: http.StatusNotFound,
	fleet.ReasonUnknownMember:  http.StatusForbidden,
	fleet.ReasonBodyTooLarge:   http.StatusRequestEntityTooLarge,
	fleet.ReasonSizeTooLarge:   http.StatusUnprocessableEntity,
	fleet.ReasonKeyMissing:     http.StatusBadRequest,
	fleet.ReasonKeyMalformed:   http.StatusBadRequest,
	fleet.ReasonKeyExpired:     http.StatusUnprocessableEntity,
	fleet.ReasonKeyFromFuture:  http.StatusUnprocessableEntity,
	fleet.ReasonKeyReused:      http.StatusUnprocessableEntity,
	fleet.ReasonQueueFull:      http.StatusTooManyRequests,
	fleet.ReasonQuota:          http.StatusTooManyRequests,
	fleet.ReasonNoCapacity:     http.StatusServiceUnavailable,
	fleet.ReasonDeadline:       http.StatusGatewayTimeout,
	fleet.ReasonCancelled:      http.StatusBadRequest,
	fleet.ReasonStopping:       http.StatusServiceUnavailable,
	fleet.ReasonLogUnavailable: http.StatusServiceUnavailable,
	fleet.ReasonOverloaded:     http.StatusServiceUnavailable,
	fleet.ReasonEndpointFailed: http.StatusBadGateway,
	fleet.ReasonInDoubt:        http.StatusBadGateway,
	fleet.ReasonAnswerNotKept:  http.StatusGone,
}

func (e *Entry) writeRefusal(w http.ResponseWriter, o effect.Refuse) {
	p := problem{
		Type:       "urn:banyanrail:problem:" + o.Reason.String(),
		Title:      o.Reason.String(),
		Status:     reasonStatus[o.Reason],
		Ran:        o.Ran.String(),
		Attempts:   o.Attempts,
		Peer:       string(o.Instance),
		retryAfter: o.RetryAfter,
	}
	if o.Request != 0 {
		p.Request = e.requestName(o.Request)
	}
	e.writeProblem(w, p)
}

// malformedRequest returns the problem of a request with a malformed header.
func malformedRequest(err error) problem {
	return problem{
		Type:   "urn:banyanrail:problem:malformed-request",
		Title:  "malformed-request",
		Status: http.StatusBadRequest,
		Detail: err.Error(),
		Ran:    fleet.RanNo.String(),
		Step:   "read request",
	}
}

func (e *Entry) writeProblem(w http.ResponseWriter, p problem) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if p.Ran != "" {
		h.Set(headerRan, p.Ran)
		h.Set(headerAttempts, strconv.Itoa(p.Attempts))
	}
	if p.Request != "" {
		h.Set(headerRequest, p.Request)
	}
	if p.retryAfter > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // fails only if the caller has disconnected
}
