package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/membudget"
	"github.com/banyanrail/banyanrail/reduce/control"
)

// maxCommandBytes is the limit for the body of an operator's command.
const maxCommandBytes = 64 << 10

// DrainRequest is the body of POST /v1/drains.
type DrainRequest struct {
	Instance fleet.InstanceID `json:"instance"`
	// Purpose is hold, stop or reboot; empty means hold.
	Purpose string `json:"purpose,omitempty"`
	// Epoch is the epoch of the instance on which the operator bases the command;
	// absent means the current epoch.
	Epoch *fleet.Offset `json:"epoch,omitempty"`
	// Force drains the instance even if its pool is too small without it.
	Force bool `json:"force,omitempty"`
}

// MoveRequest is the body of POST /v1/moves.
type MoveRequest struct {
	Instance fleet.InstanceID `json:"instance"`
	To       fleet.PoolName   `json:"to"`
	Epoch    *fleet.Offset    `json:"epoch,omitempty"`
}

// WaveRequest is the body of POST /v1/waves. Empty fields select everything.
type WaveRequest struct {
	Pools      []fleet.PoolName `json:"pools,omitempty"`
	DataCentre fleet.DataCentre `json:"data_centre,omitempty"`
	Note       string           `json:"note,omitempty"`
}

// handleMaintenance registers the handlers for drains, moves and waves.
func (e *Entry) handleMaintenance(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/drains", e.handleDrain)
	mux.HandleFunc("DELETE /v1/drains/{instance}", e.handleUndrain)
	mux.HandleFunc("POST /v1/moves", e.handleMove)
	mux.HandleFunc("POST /v1/waves", e.handleStartWave)
	mux.HandleFunc("GET /v1/waves", e.handleWaves)
	mux.HandleFunc("POST /v1/waves/{wave}/pause", e.waveHandler(func(id fleet.Offset) control.Body {
		return control.PauseWave{Wave: id, Base: control.CurrentEpoch, Detail: "paused by an operator"}
	}))
	mux.HandleFunc("POST /v1/waves/{wave}/resume", e.waveHandler(func(id fleet.Offset) control.Body {
		return control.ResumeWave{Wave: id, Base: control.CurrentEpoch}
	}))
	mux.HandleFunc("POST /v1/waves/{wave}/abort", e.waveHandler(func(id fleet.Offset) control.Body {
		return control.AbortWave{Wave: id, Base: control.CurrentEpoch}
	}))
}

func (e *Entry) handleDrain(w http.ResponseWriter, r *http.Request) {
	var req DrainRequest
	if !e.readCommand(w, r, &req) {
		return
	}
	purpose := control.PurposeHold
	if req.Purpose != "" {
		var ok bool
		purpose, ok = control.ParsePurpose(req.Purpose)
		if !ok || purpose == control.PurposeMove {
			e.writeProblem(w, operatorProblem(http.StatusBadRequest, "read request", "purpose is not hold, stop or reboot"))
			return
		}
	}
	e.command(w, r, control.Drain{
		Instance: req.Instance, Base: epochOr(req.Epoch), Reason: control.ReasonOperator, Purpose: purpose, Force: req.Force,
	})
}

func (e *Entry) handleUndrain(w http.ResponseWriter, r *http.Request) {
	base := control.CurrentEpoch
	if v := r.URL.Query().Get("epoch"); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			e.writeProblem(w, operatorProblem(http.StatusBadRequest, "read request", "epoch is not a number"))
			return
		}
		base = fleet.Offset(n)
	}
	e.command(w, r, control.Undrain{Instance: fleet.InstanceID(r.PathValue("instance")), Base: base})
}

func (e *Entry) handleMove(w http.ResponseWriter, r *http.Request) {
	var req MoveRequest
	if !e.readCommand(w, r, &req) {
		return
	}
	e.command(w, r, control.Move{Instance: req.Instance, To: req.To, Base: epochOr(req.Epoch)})
}

func (e *Entry) handleStartWave(w http.ResponseWriter, r *http.Request) {
	var req WaveRequest
	if !e.readCommand(w, r, &req) {
		return
	}
	e.command(w, r, control.StartWave{Scope: control.Scope{Pools: req.Pools, DataCentre: req.DataCentre}, Note: req.Note})
}

func (e *Entry) handleWaves(w http.ResponseWriter, r *http.Request) {
	st, err := e.requestStatus(r)
	if err != nil {
		e.writeProblem(w, operatorProblem(http.StatusServiceUnavailable, "read status", err.Error()))
		return
	}
	e.writeJSON(w, http.StatusOK, st.Waves)
}

// waveHandler returns a handler that proposes a record about the wave in the
// request's path.
func (e *Entry) waveHandler(body func(fleet.Offset) control.Body) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, err := strconv.ParseInt(r.PathValue("wave"), 10, 64)
		if err != nil {
			e.writeProblem(w, operatorProblem(http.StatusBadRequest, "read request", "wave is not a number"))
			return
		}
		e.command(w, r, body(fleet.Offset(id)))
	}
}

// readCommand decodes a JSON body. It writes a problem and returns false if the
// body is invalid.
func (e *Entry) readCommand(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := membudget.ReadBody(r, maxCommandBytes)
	if err != nil {
		membudget.CloseAfterAnswer(w)
		e.writeProblem(w, operatorProblem(bodyStatus(err), "read request", err.Error()))
		return false
	}
	defer body.Release()
	dec := json.NewDecoder(bytes.NewReader(body.Bytes()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		e.writeProblem(w, operatorProblem(http.StatusBadRequest, "read request", err.Error()))
		return false
	}
	return true
}

func epochOr(epoch *fleet.Offset) fleet.Offset {
	if epoch == nil {
		return control.CurrentEpoch
	}
	return *epoch
}
