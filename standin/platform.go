package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/infra"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/cespare/xxhash/v2"
)

// maxRecord is the largest size of a record in the log, in bytes.
const maxRecord = 4 << 20

// Platform is a stand-in for the platform's log, instance list and worker control.
type Platform struct {
	loop    *loop.Loop[platformEvent, platformEffect]
	appends *loop.Calls[appendResult]
	reads   *loop.Calls[readResult]
	lists   *loop.Calls[[]infra.ListedInstance]
	mux     *http.ServeMux

	commands *loop.Calls[commandResult]
	executed *loop.Calls[[]ExecutedCommand]
	onPower  func(fleet.InstanceID, Power)
}

// NewPlatform returns a stand-in with an empty log.
func NewPlatform() *Platform {
	p := &Platform{
		appends: loop.NewCalls[appendResult](),
		reads:   loop.NewCalls[readResult](),
		lists:   loop.NewCalls[[]infra.ListedInstance](),
		mux:     http.NewServeMux(),

		commands: loop.NewCalls[commandResult](),
		executed: loop.NewCalls[[]ExecutedCommand](),
		onPower:  func(fleet.InstanceID, Power) {},
	}
	state := newPlatformState()
	p.loop = loop.New(loop.Config[platformEvent, platformEffect]{
		Reduce: state.reduce,
		Act:    p.act,
		Timer:  platformTimerOf,
		Wake:   platformTimer{},
	})
	p.mux.HandleFunc("POST /v1/streams/{stream}/records", p.handleAppend)
	p.mux.HandleFunc("GET /v1/instances", p.handleList)
	p.mux.HandleFunc("PUT /v1/instances", p.handleSetList)
	p.mux.HandleFunc("PUT /v1/instances/{instance}/commands/{command}", p.handleCommand)
	p.mux.HandleFunc("GET /v1/streams/{stream}/records", p.handleRead)
	return p
}

// Run processes events until the context ends.
func (p *Platform) Run(ctx context.Context) { p.loop.Run(ctx) }

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// SetLogFault replaces the faults of the log.
func (p *Platform) SetLogFault(f LogFault) error { return p.loop.Post(logFaultSet{fault: f}) }

// Trim drops the records of a stream before an offset.
func (p *Platform) Trim(stream string, oldest fleet.Offset) error {
	return p.loop.Post(logTrimmed{stream: stream, oldest: oldest})
}

func platformTimerOf(e platformEffect) (time.Time, bool) {
	t, ok := e.(platformSetTimer)
	return t.at, ok
}

func (p *Platform) act(e platformEffect) {
	switch e := e.(type) {
	case replyAppend:
		p.appends.Resolve(e.call, e.result)
	case replyRead:
		p.reads.Resolve(e.call, e.result)
	case replyList:
		p.lists.Resolve(e.call, e.rows)
	case replyCommand:
		p.commands.Resolve(e.call, e.result)
	case replyExecuted:
		p.executed.Resolve(e.call, e.executed)
	case changePower:
		p.onPower(e.instance, e.power)
	}
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	res, err := p.appends.Do(r.Context(), func(call uint64) error {
		return p.loop.Post(appendRequested{call: call, stream: r.PathValue("stream"), data: data})
	})
	switch {
	case err != nil || res.lost:
		http.Error(w, "outcome unknown", http.StatusInternalServerError)
	case res.down:
		http.Error(w, "log is down", http.StatusTooManyRequests)
	default:
		WriteJSON(w, http.StatusCreated, infra.AppendAnswer{Offset: res.offset})
	}
}

func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not an offset", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "wait is not a duration", http.StatusBadRequest)
		return
	}
	res, err := p.reads.Do(r.Context(), func(call uint64) error {
		return p.loop.Post(readRequested{call: call, stream: r.PathValue("stream"), from: fleet.Offset(from), wait: wait})
	})
	if err != nil || res.down {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return
	}
	WriteJSON(w, http.StatusOK, res.page)
}

func (p *Platform) handleList(w http.ResponseWriter, r *http.Request) {
	rows, err := p.lists.Do(r.Context(), func(call uint64) error {
		return p.loop.Post(listRequested{call: call})
	})
	if err != nil {
		http.Error(w, "list is down", http.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(rows)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", fmt.Sprintf(`"%x"`, xxhash.Sum64(body)))
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(body))
}

// handleSetList replaces the instance list of a stand-in that runs as a process.
func (p *Platform) handleSetList(w http.ResponseWriter, r *http.Request) {
	var rows []infra.ListedInstance
	if err := json.NewDecoder(r.Body).Decode(&rows); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if p.SetListed(rows) == nil {
		w.WriteHeader(http.StatusNoContent)
	}
}

// SetListed replaces the instance list.
func (p *Platform) SetListed(rows []infra.ListedInstance) error {
	return p.loop.Post(listSet{rows: rows})
}

// WriteJSON writes an answer with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only when the client has disconnected
}
