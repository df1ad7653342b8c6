package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanrail/banyanrail/endpoint"
	"github.com/banyanrail/banyanrail/loop"
)

// Endpoint is a stand-in for an endpoint. It answers each request with the
// request's body after a work time, and refuses requests beyond its slots.
type Endpoint struct {
	loop    *loop.Loop[endpointEvent, endpointEffect]
	results *loop.Calls[RunResult]
	reports *loop.Calls[Runs]
}

// NewEndpoint returns an endpoint with a number of slots and a work time.
func NewEndpoint(slots int, work time.Duration) *Endpoint {
	ep := &Endpoint{results: loop.NewCalls[RunResult](), reports: loop.NewCalls[Runs]()}
	state := newEndpointState(slots, work)
	ep.loop = loop.New(loop.Config[endpointEvent, endpointEffect]{
		Reduce: state.reduce,
		Act:    ep.act,
		Timer:  endpointTimerOf,
		Wake:   endpointTimer{},
	})
	return ep
}

// Run processes events until the context ends.
func (ep *Endpoint) Run(ctx context.Context) { ep.loop.Run(ctx) }

// SetFault replaces the faults of the endpoint.
func (ep *Endpoint) SetFault(f EndpointFault) error { return ep.loop.Post(endpointFaultSet{fault: f}) }

// Runs returns counts of the requests so far.
func (ep *Endpoint) Runs(ctx context.Context) (Runs, error) {
	return ep.reports.Do(ctx, func(call uint64) error { return ep.loop.Post(runsRequested{call: call}) })
}

func endpointTimerOf(e endpointEffect) (time.Time, bool) {
	t, ok := e.(endpointSetTimer)
	return t.at, ok
}

func (ep *Endpoint) act(e endpointEffect) {
	switch e := e.(type) {
	case replyRun:
		ep.results.Resolve(e.call, e.result)
	case replyRuns:
		ep.reports.Resolve(e.call, e.runs)
	}
}

// ServeHTTP implements http.Handler.
func (ep *Endpoint) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch {
	case req.Method == http.MethodGet && req.URL.Path == RunsPath:
		ep.serveRuns(w, req)
	case req.Method == http.MethodGet:
		ep.serveHealth(w, req)
	default:
		ep.serveRun(w, req)
	}
}

// RunsPath is the path under which an endpoint serves its Runs.
const RunsPath = "/v1/runs"

func (ep *Endpoint) serveRuns(w http.ResponseWriter, req *http.Request) {
	runs, err := ep.Runs(req.Context())
	if err != nil {
		return
	}
	WriteJSON(w, http.StatusOK, runs)
}

func (ep *Endpoint) serveHealth(w http.ResponseWriter, req *http.Request) {
	result, err := ep.results.Do(req.Context(), func(call uint64) error {
		return ep.loop.Post(healthRequested{call: call})
	})
	if err != nil {
		return
	}
	w.Header().Set(endpoint.HeaderLeaving, strconv.FormatBool(result == RunLeaving))
	if result == RunFailed {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (ep *Endpoint) serveRun(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result, err := ep.results.Do(req.Context(), func(call uint64) error {
		return ep.loop.Post(runRequested{
			call:    call,
			key:     req.Header.Get(endpoint.HeaderKey),
			attempt: req.Header.Get(endpoint.HeaderAttempt),
		})
	})
	if err != nil {
		return
	}
	reply(w, req, body, result)
}

func reply(w http.ResponseWriter, req *http.Request, body []byte, result RunResult) {
	attempt := req.Header.Get(endpoint.HeaderAttempt)
	w.Header().Set(endpoint.HeaderAttempt, attempt)
	switch result {
	case RunRefused, RunLeaving:
		w.Header().Set(endpoint.HeaderRan, "no")
		w.Header().Set(endpoint.HeaderLeaving, strconv.FormatBool(result == RunLeaving))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case RunFailed:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	case RunBroken:
		panic(http.ErrAbortHandler)
	case RunSwapped:
		attempt += "-other"
	case RunDone, RunTruncated:
	}
	w.Header().Set(endpoint.HeaderAttempt, attempt)
	w.Header().Set("Etag", strconv.Quote(attempt)) // distinguishes the answers of two runs
	w.Header().Set("Content-Type", req.Header.Get("Content-Type"))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if result == RunTruncated {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body) // fails only when the caller has disconnected
	if result == RunTruncated {
		panic(http.ErrAbortHandler)
	}
}

// SetPower sets the faults that follow from a command of the worker control. It
// never blocks.
func (ep *Endpoint) SetPower(p Power) error {
	return ep.loop.Offer(endpointFaultSet{fault: EndpointFault{Down: p == PowerDown, FailAll: p == PowerBroken}})
}
