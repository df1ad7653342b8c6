package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/rehearsal"
)

// RehearsalRequest is the body of POST /v1/rehearsals.
type RehearsalRequest struct {
	DataCentre fleet.DataCentre `json:"data_centre"`
	// Rack is empty for a whole data centre.
	Rack fleet.Rack `json:"rack,omitempty"`
	// Seconds is how long the domain stays out of service.
	Seconds float64 `json:"seconds"`
	Note    string  `json:"note,omitempty"`
	// Force starts the rehearsal even if the forecast predicts that a service
	// breaks.
	Force bool `json:"force,omitempty"`
}

// handleRehearsals registers the handlers for forecasts and rehearsals.
func (e *Entry) handleRehearsals(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/forecast", e.handleForecast)
	mux.HandleFunc("GET /v1/rehearsals", e.handleListRehearsals)
	mux.HandleFunc("POST /v1/rehearsals", e.handleStartRehearsal)
	mux.HandleFunc("POST /v1/rehearsals/{rehearsal}/stop", e.handleStopRehearsal)
}

func (e *Entry) handleForecast(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	domain := rehearsal.Domain{DataCentre: fleet.DataCentre(query.Get("data_centre")), Rack: fleet.Rack(query.Get("rack"))}
	f, err := e.forecasts.Do(r.Context(), func(id uint64) error {
		return e.loop.Offer(event.ForecastRequested{ID: id, Domain: domain})
	})
	if err != nil {
		e.writeProblem(w, operatorProblem(http.StatusServiceUnavailable, "forecast", err.Error()))
		return
	}
	if f.Instances == 0 {
		e.writeProblem(w, operatorProblem(http.StatusNotFound, "forecast", "no instance is in "+domain.String()))
		return
	}
	e.writeJSON(w, http.StatusOK, f)
}

func (e *Entry) handleListRehearsals(w http.ResponseWriter, r *http.Request) {
	st, err := e.requestStatus(r)
	if err != nil {
		e.writeProblem(w, operatorProblem(http.StatusServiceUnavailable, "read status", err.Error()))
		return
	}
	e.writeJSON(w, http.StatusOK, st.Rehearsals)
}

func (e *Entry) handleStartRehearsal(w http.ResponseWriter, r *http.Request) {
	var req RehearsalRequest
	if !e.readCommand(w, r, &req) {
		return
	}
	e.command(w, r, control.StartRehearsal{
		Domain:   rehearsal.Domain{DataCentre: req.DataCentre, Rack: req.Rack},
		Duration: time.Duration(req.Seconds * float64(time.Second)),
		Note:     req.Note,
		Force:    req.Force,
	})
}

func (e *Entry) handleStopRehearsal(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseInt(r.PathValue("rehearsal"), 10, 64)
	if err != nil {
		e.writeProblem(w, operatorProblem(http.StatusBadRequest, "read request", "rehearsal is not a number"))
		return
	}
	e.command(w, r, control.EndRehearsal{Rehearsal: fleet.Offset(id), Base: control.CurrentEpoch, Reason: control.EndOperator})
}
