// Package endpoint sends requests to endpoints and tells how each attempt
// ended: answered in full, certainly not sent, refused, or broken.
package endpoint

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/go-resty/resty/v2"
	"github.com/samber/oops"
	"go.opentelemetry.io/otel/propagation"
)

// Headers between entries and endpoints.
const (
	// HeaderAttempt identifies the attempt; an endpoint that sends it back lets
	// the entry recognise an answer that belongs to another request.
	HeaderAttempt = "Banyanrail-Attempt"
	// HeaderKey carries the idempotency key. It is not Idempotency-Key, since
	// net/http sends requests with that header again by itself when a
	// connection breaks.
	HeaderKey = "Banyanrail-Key"
	// HeaderFence carries the offset of the claim.
	HeaderFence = "Banyanrail-Fence"
	// HeaderMember names the member the request belongs to.
	HeaderMember = "Banyanrail-Member"
	// HeaderRan set to "no" on a 503 means that the endpoint did not run it.
	HeaderRan = "Banyanrail-Ran"
	// HeaderLeaving set to "true" means that the endpoint takes no new work.
	HeaderLeaving = "Banyanrail-Leaving"
)

// Request is one attempt to send.
type Request struct {
	Attempt     string
	Service     fleet.ServiceName
	Address     string
	Member      fleet.MemberName
	Key         fleet.Key
	Fence       fleet.Offset
	ContentType string
	Body        []byte
}

// Response is an endpoint's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is how an attempt ended.
type Result struct {
	Outcome  event.AttemptOutcome
	Response *Response
	Leaving  bool
	Err      error
}

// Client sends attempts over pooled connections.
type Client struct{ http *resty.Client }

// NewClient returns a client that keeps at most maxConnections to an endpoint.
func NewClient(maxConnections int) *Client {
	transport := &http.Transport{
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	c := resty.New().
		SetTransport(transport).
		SetRedirectPolicy(resty.NoRedirectPolicy())
	return &Client{http: c}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.GetClient().CloseIdleConnections() }

// Do sends one attempt and reads the whole answer.
func (c *Client) Do(ctx context.Context, req Request) Result {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	resp, err := c.send(ctx, req)
	if err != nil {
		fail := oops.In("endpoint").With("step", "dispatch", "peer", req.Address, "attempt", req.Attempt)
		if !connected {
			return Result{Outcome: event.AttemptNotSent, Err: fail.Wrap(err)}
		}
		return Result{Outcome: event.AttemptBroken, Err: fail.Wrap(err)}
	}
	return judge(req, resp)
}

func (c *Client) send(ctx context.Context, req Request) (*resty.Response, error) {
	r := c.http.R().
		SetContext(ctx).
		SetHeader(HeaderAttempt, req.Attempt).
		SetHeader(HeaderMember, string(req.Member)).
		SetBody(req.Body)
	if req.ContentType != "" {
		r.SetHeader("Content-Type", req.ContentType)
	}
	if req.Key != "" {
		r.SetHeader(HeaderKey, string(req.Key))
		r.SetHeader(HeaderFence, strconv.FormatInt(int64(req.Fence), 10))
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(r.Header))
	return r.Post("http://" + req.Address + "/" + url.PathEscape(string(req.Service)))
}

// probePath is where endpoints tell whether they are well.
const probePath = "/healthz"

// Probe asks an endpoint whether it is well, and whether it is leaving.
func (c *Client) Probe(ctx context.Context, address string) (ok, leaving bool) {
	resp, err := c.http.R().SetContext(ctx).Get("http://" + address + probePath)
	if err != nil {
		return false, false
	}
	return resp.StatusCode() == http.StatusOK, resp.Header().Get(HeaderLeaving) == "true"
}

// judge says what an answer that was received means.
func judge(req Request, resp *resty.Response) Result {
	fail := oops.In("endpoint").With("step", "answer", "peer", req.Address, "attempt", req.Attempt)
	header := resp.Header()
	leaving := header.Get(HeaderLeaving) == "true"
	if resp.StatusCode() == http.StatusServiceUnavailable && header.Get(HeaderRan) == "no" {
		return Result{Outcome: event.AttemptRefused, Leaving: leaving, Err: fail.Errorf("refused by the endpoint")}
	}
	if echo := header.Get(HeaderAttempt); echo != "" && echo != req.Attempt {
		return Result{Outcome: event.AttemptBroken, Err: fail.Errorf("answer belongs to attempt %q", echo)}
	}
	if !isWhole(resp.RawResponse) {
		return Result{Outcome: event.AttemptBroken, Err: fail.Errorf("answer has no length that tells whether it is whole")}
	}
	return Result{
		Outcome:  event.AttemptAnswered,
		Response: &Response{Status: resp.StatusCode(), Header: header, Body: resp.Body()},
		Leaving:  leaving,
	}
}

// isWhole reports whether the end of the answer was marked, by a length or by
// chunks. Reading has failed already when the mark was not reached.
func isWhole(r *http.Response) bool {
	chunked := len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
	return r.ContentLength >= 0 || chunked || r.ProtoMajor >= 2
}
