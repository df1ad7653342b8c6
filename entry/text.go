package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/membudget"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/services"
)

// maxTextBytes is the limit for the size of a services text.
const maxTextBytes = 4 << 20

// handlePublish proposes a whole services text. The query parameter base is the
// version on which the text is based.
func (e *Entry) handlePublish(w http.ResponseWriter, r *http.Request) {
	base, src, ok := e.readText(w, r)
	if !ok {
		return
	}
	text, err := services.Parse("services.hcl", src)
	if err != nil {
		e.writeFaults(w, err)
		return
	}
	e.command(w, r, control.Publish{Base: base, Text: text})
}

// handlePatch proposes a delta against the services text in force, which costs
// the entry far less than a whole text.
func (e *Entry) handlePatch(w http.ResponseWriter, r *http.Request) {
	base, data, ok := e.readText(w, r)
	if !ok {
		return
	}
	delta, err := codec.DecodeDelta(data)
	if err != nil {
		e.writeFaults(w, err)
		return
	}
	current, err := e.textInForce(r.Context())
	switch {
	case err != nil:
		e.writeProblem(w, operatorProblem(http.StatusServiceUnavailable, "read text", err.Error()))
		return
	case current.Version < base || current.Text == nil:
		e.writeProblem(w, operatorProblem(http.StatusServiceUnavailable, "read text", "this entry has not read the base version yet"))
		return
	}
	if err := services.Check(current.Text.With(delta)); err != nil && current.Version == base {
		e.writeFaults(w, err)
		return
	}
	e.command(w, r, control.Publish{Base: base, Delta: delta})
}

// readText reads the base version and the body. It writes a problem and returns
// false if one of them is invalid.
func (e *Entry) readText(w http.ResponseWriter, r *http.Request) (fleet.Version, []byte, bool) {
	base, err := strconv.ParseInt(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		e.writeProblem(w, operatorProblem(http.StatusBadRequest, "read request", "base is not a version number"))
		return 0, nil, false
	}
	body, err := membudget.ReadBody(r, maxTextBytes)
	if err != nil {
		membudget.CloseAfterAnswer(w)
		e.writeProblem(w, operatorProblem(bodyStatus(err), "read request", err.Error()))
		return 0, nil, false
	}
	return fleet.Version(base), body.Bytes(), true
}

// bodyStatus returns the status for a body that was not read, with err.
func bodyStatus(err error) int {
	switch {
	case errors.Is(err, membudget.ErrEvicted):
		return http.StatusServiceUnavailable
	case errors.Is(err, membudget.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusBadRequest
	}
}

func (e *Entry) writeFaults(w http.ResponseWriter, err error) {
	p := operatorProblem(http.StatusUnprocessableEntity, "check text", err.Error())
	var faulty *services.Error
	if errors.As(err, &faulty) {
		p.Faults = faulty.Faults()
	}
	e.writeProblem(w, p)
}

func (e *Entry) textInForce(ctx context.Context) (effect.ReplyText, error) {
	return e.texts.Do(ctx, func(id uint64) error {
		return e.loop.Offer(event.TextRequested{ID: id})
	})
}

// handleText writes the services text in force in its canonical form.
func (e *Entry) handleText(w http.ResponseWriter, r *http.Request) {
	rep, err := e.textInForce(r.Context())
	if err != nil {
		e.writeProblem(w, operatorProblem(http.StatusServiceUnavailable, "read text", err.Error()))
		return
	}
	w.Header().Set(HeaderVersion, strconv.FormatInt(int64(rep.Version), 10))
	if rep.Text == nil {
		e.writeProblem(w, operatorProblem(http.StatusNotFound, "read text", "no services text is in force"))
		return
	}
	w.Header().Set("Content-Type", "application/hcl")
	_, _ = w.Write(services.Print(rep.Text)) // fails only if the operator has disconnected
}
