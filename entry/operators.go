package entry

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/google/uuid"
)

const (
	// commandTimeout is the time within which the record of an operator's command
	// has to be read back from the log.
	commandTimeout = 10 * time.Second
)

// HeaderVersion is the response header with the version of the services text.
const HeaderVersion = "Banyanrail-Version"

// OperatorResult is the body of the response to an operator's command.
type OperatorResult struct {
	Record  fleet.RecordID `json:"record"`
	Outcome string         `json:"outcome"`
	Offset  fleet.Offset   `json:"offset"`
	Version fleet.Version  `json:"version"`
	Detail  string         `json:"detail,omitempty"`
}

// OperatorHandler returns the handler of the HTTP interface for operators.
func (e *Entry) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/text", e.handlePublish)
	mux.HandleFunc("PATCH /v1/text", e.handlePatch)
	mux.HandleFunc("GET /v1/text", e.handleText)
	mux.HandleFunc("GET /v1/status", e.handleStatus)
	e.handleMaintenance(mux)
	e.handleRehearsals(mux)
	mux.HandleFunc("GET /healthz", e.handleLive)
	mux.HandleFunc("GET /readyz", e.handleReady)
	return e.authorised(mux)
}

// authorised rejects requests without the operators' bearer token.
func (e *Entry) authorised(next http.Handler) http.Handler {
	if e.cfg.OperatorToken == "" {
		return next
	}
	want := []byte("Bearer " + e.cfg.OperatorToken)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			e.writeProblem(w, problem{Type: "about:blank", Title: "unauthorised", Status: http.StatusUnauthorized})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// command proposes a record and responds with its outcome.
func (e *Entry) command(w http.ResponseWriter, r *http.Request, body control.Body) {
	now := e.clock()
	rec := control.Record{
		ID:     fleet.RecordID(uuid.NewString()),
		Time:   now,
		Author: r.Header.Get("Banyanrail-Author"),
		Body:   body,
	}
	res, err := e.commandResults.Do(r.Context(), func(id uint64) error {
		return e.loop.Offer(event.OperatorCommanded{ID: id, Record: rec, Deadline: now.Add(commandTimeout)})
	})
	if err != nil {
		e.writeProblem(w, operatorProblem(http.StatusServiceUnavailable, "propose record", err.Error()))
		return
	}
	e.writeJSON(w, outcomeStatus[res.Outcome], OperatorResult{
		Record:  res.Record,
		Outcome: res.Outcome.String(),
		Offset:  res.Offset,
		Version: res.Version,
		Detail:  res.Detail,
	})
}

var outcomeStatus = map[control.Outcome]int{
	control.Accepted:  http.StatusOK,
	control.Conflict:  http.StatusConflict,
	control.Duplicate: http.StatusConflict,
	control.Invalid:   http.StatusUnprocessableEntity,
	control.LogDown:   http.StatusServiceUnavailable,
	control.Undecided: http.StatusGatewayTimeout,
	control.Voided:    http.StatusServiceUnavailable,
	control.NotReady:  http.StatusServiceUnavailable,
}

func (e *Entry) requestStatus(r *http.Request) (effect.Status, error) {
	return e.statuses.Do(r.Context(), func(id uint64) error {
		return e.loop.Offer(event.StatusRequested{ID: id})
	})
}

func (e *Entry) handleStatus(w http.ResponseWriter, r *http.Request) {
	st, err := e.requestStatus(r)
	if err != nil {
		e.writeProblem(w, operatorProblem(http.StatusServiceUnavailable, "read status", err.Error()))
		return
	}
	e.writeJSON(w, http.StatusOK, st)
}

func operatorProblem(status int, step, detail string) problem {
	return problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail, Step: step}
}

func (e *Entry) writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the operator has disconnected
}
