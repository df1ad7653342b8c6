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

// Endpoint stands in for an endpoint: it answers each request with its own body
// after some work time, within its slots.
type Endpoint struct {
	loop *loop.Loop[runnerEvent, runnerEffect]
	runs *loop.Calls[RunResult]
	asks *loop.Calls[Runs]
}

// NewEndpoint returns an endpoint with a number of slots and a work time.
func NewEndpoint(slots int, work time.Duration) *Endpoint {
	r := &Endpoint{runs: loop.NewCalls[RunResult](), asks: loop.NewCalls[Runs]()}
	state := newRunnerState(slots, work)
	r.loop = loop.New(loop.Config[runnerEvent, runnerEffect]{
		Reduce: state.reduce,
		Act:    r.act,
		Timer:  runnerTimerOf,
		Wake:   runnerTimer{},
	})
	return r
}

// Run serves until the context ends.
func (r *Endpoint) Run(ctx context.Context) { r.loop.Run(ctx) }

// SetFault changes what goes wrong.
func (r *Endpoint) SetFault(f EndpointFault) error { return r.loop.Post(runnerFaultSet{fault: f}) }

// Runs returns what the endpoint ran so far.
func (r *Endpoint) Runs(ctx context.Context) (Runs, error) {
	return r.asks.Do(ctx, func(call uint64) error { return r.loop.Post(runsAsked{call: call}) })
}

func runnerTimerOf(e runnerEffect) (time.Time, bool) {
	t, ok := e.(runnerSetTimer)
	return t.at, ok
}

func (r *Endpoint) act(e runnerEffect) {
	switch e := e.(type) {
	case replyRun:
		r.runs.Resolve(e.call, e.result)
	case replyRuns:
		r.asks.Resolve(e.call, e.runs)
	}
}

// ServeHTTP implements http.Handler.
func (r *Endpoint) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch {
	case req.Method == http.MethodGet && req.URL.Path == RunsPath:
		r.serveRuns(w, req)
	case req.Method == http.MethodGet:
		r.serveHealth(w, req)
	default:
		r.serveRun(w, req)
	}
}

// RunsPath is where an endpoint tells its Runs.
const RunsPath = "/v1/runs"

func (r *Endpoint) serveRuns(w http.ResponseWriter, req *http.Request) {
	runs, err := r.Runs(req.Context())
	if err != nil {
		return
	}
	WriteJSON(w, http.StatusOK, runs)
}

func (r *Endpoint) serveHealth(w http.ResponseWriter, req *http.Request) {
	result, err := r.runs.Do(req.Context(), func(call uint64) error {
		return r.loop.Post(healthAsked{call: call})
	})
	if err != nil {
		return
	}
	w.Header().Set(endpoint.HeaderLeaving, strconv.FormatBool(result == RunLeaving))
	if result == RunFailed {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (r *Endpoint) serveRun(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result, err := r.runs.Do(req.Context(), func(call uint64) error {
		return r.loop.Post(runAsked{
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
	w.Header().Set("Etag", strconv.Quote(attempt)) // tells answers of two runs apart
	w.Header().Set("Content-Type", req.Header.Get("Content-Type"))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if result == RunTruncated {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body) // the caller has gone if this fails
	if result == RunTruncated {
		panic(http.ErrAbortHandler)
	}
}

// SetPower follows the platform's worker control. It never blocks.
func (r *Endpoint) SetPower(p Power) error {
	return r.loop.Offer(runnerFaultSet{fault: EndpointFault{Down: p == PowerDown, FailAll: p == PowerBroken}})
}
