package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/membudget"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Headers of the callers' interface.
const (
	headerMember         = "Banyanrail-Member"
	headerSize           = "Banyanrail-Size"
	headerTimeLimit      = "Banyanrail-Time-Limit"
	headerIdempotencyKey = "Idempotency-Key"
	headerRan            = "Banyanrail-Ran"
	headerRequest        = "Banyanrail-Request"
	headerAttempts       = "Banyanrail-Attempts"
	headerRetryAfter     = "Retry-After"
)

// maxBodyBytes is the limit for every request body, in addition to the limit of
// the service.
const maxBodyBytes = 16 << 20

// CallerHandler returns the handler of the HTTP interface for callers.
func (e *Entry) CallerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/services/{service}/requests", e.handleRequest)
	mux.HandleFunc("GET /healthz", e.handleLive)
	mux.HandleFunc("GET /readyz", e.handleReady)
	return mux
}

func (e *Entry) handleRequest(w http.ResponseWriter, r *http.Request) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := e.tracer.Start(ctx, "caller request", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("service", r.PathValue("service"))))
	defer span.End()
	// The buffer is not released for other bodies: an attempt may outlast the request.
	read, err := membudget.ReadBody(r, maxBodyBytes)
	if err != nil {
		membudget.CloseAfterAnswer(w)
		e.writeRefusal(w, bodyRefusal(err))
		return
	}
	body := read.Bytes()
	ev, err := parseArrival(r, body)
	if err != nil {
		e.writeProblem(w, malformedRequest(err))
		return
	}
	x := e.exchanges.open(ctx, r, body)
	defer e.exchanges.close(x)
	ev.ID = x.id
	if e.loop.Offer(ev) != nil {
		e.writeRefusal(w, effect.Refuse{
			Request: x.id, Reason: fleet.ReasonOverloaded, Ran: fleet.RanNo, RetryAfter: time.Second,
		})
		return
	}
	e.awaitReply(w, r, x)
}

// awaitReply waits for the reply and writes it. If the caller disconnects first,
// awaitReply cancels the request and still waits for the reply, so that the
// exchange exists until the reducer has ended the request.
func (e *Entry) awaitReply(w http.ResponseWriter, r *http.Request, x *exchange) {
	select {
	case rep := <-x.reply:
		e.writeReply(r.Context(), w, x, rep)
		return
	case <-r.Context().Done():
	case <-e.loop.Done():
		return
	}
	if e.loop.Post(event.RequestCancelled{ID: x.id}) != nil {
		return
	}
	select {
	case <-x.reply:
	case <-e.loop.Done():
	}
}

func (e *Entry) writeReply(ctx context.Context, w http.ResponseWriter, x *exchange, rep reply) {
	if rep.response == nil {
		e.writeRefusal(w, rep.refusal)
		return
	}
	membudget.Force(ctx, int64(len(rep.response.Body)))
	h := w.Header()
	copyHeader(h, rep.response.Header)
	h.Set(headerRan, fleet.RanYes.String())
	h.Set(headerRequest, e.requestName(x.id))
	h.Set(headerAttempts, strconv.Itoa(rep.attempts))
	h.Set("Content-Length", strconv.Itoa(len(rep.response.Body)))
	w.WriteHeader(rep.response.Status)
	_, _ = w.Write(rep.response.Body) // fails only if the caller has disconnected
}

// requestName returns the request's id for callers and logs, which is unique
// among all entries.
func (e *Entry) requestName(id fleet.RequestID) string {
	return e.name + "-" + strconv.FormatUint(uint64(id), 10)
}

// copyHeader copies the headers that describe the answer, but not those of the
// connection to the endpoint.
func copyHeader(to, from http.Header) {
	for _, name := range []string{"Content-Type", "Content-Encoding", "Content-Language", "Etag", "Last-Modified", "Location"} {
		if v, ok := from[name]; ok {
			to[name] = v
		}
	}
}

func bodyRefusal(err error) effect.Refuse {
	switch {
	case errors.Is(err, membudget.ErrEvicted):
		return effect.Refuse{Reason: fleet.ReasonOverloaded, Ran: fleet.RanNo, RetryAfter: membudget.RetryAfter}
	case errors.Is(err, membudget.ErrTooLarge):
		return effect.Refuse{Reason: fleet.ReasonBodyTooLarge, Ran: fleet.RanNo}
	default:
		return effect.Refuse{Reason: fleet.ReasonCancelled, Ran: fleet.RanNo}
	}
}

// parseArrival returns the event of a request with the given body. It fails if a
// header is malformed.
func parseArrival(r *http.Request, body []byte) (event.RequestArrived, error) {
	ev := event.RequestArrived{
		Service:  fleet.ServiceName(r.PathValue("service")),
		Member:   fleet.MemberName(r.Header.Get(headerMember)),
		Key:      fleet.Key(r.Header.Get(headerIdempotencyKey)),
		BodyHash: xxhash.Sum64(body),
		BodySize: int64(len(body)),
	}
	if v := r.Header.Get(headerSize); v != "" {
		size, err := strconv.ParseInt(v, 10, 64)
		if err != nil || size < 0 {
			return ev, errors.New(headerSize + " is not a whole number of at least 0")
		}
		ev.Size = size
	}
	if v := r.Header.Get(headerTimeLimit); v != "" {
		limit, err := time.ParseDuration(v)
		if err != nil || limit <= 0 {
			return ev, errors.New(headerTimeLimit + " is not a positive duration such as 2.5s")
		}
		ev.TimeLimit = limit
	}
	return ev, nil
}

func (e *Entry) handleLive(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (e *Entry) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	detail := "ready"
	if !e.claimsOpen.Load() {
		detail = "ready for idempotent services only: the claims stream is out of reach"
	}
	_, _ = io.WriteString(w, detail+"\n") // fails only if the client has disconnected
}
