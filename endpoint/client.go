// Package endpoint sends requests to endpoints and tells how each attempt
// ended: answered in full, certainly not sent, refused, or broken.
package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/go-resty/resty/v2"
	"github.com/samber/oops"
	"go.opentelemetry.io/otel/propagation"
)

// Headers between entries and endpoints.
const (
	// HeaderAttempt identifies the attempt. An endpoint that sends it back lets
	// the entry recognise answers of other attempts, and keep its connections.
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
	Attempt string
	Service fleet.ServiceName
	Address string
	Member  fleet.MemberName
	Key     fleet.Key
	Fence   fleet.Offset
	// NewConnection takes a connection of its own and closes it afterwards.
	NewConnection bool
	ContentType   string
	Body          []byte
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

const (
	// maxAnswer is the largest body of an answer, in bytes.
	maxAnswer   = 64 << 20
	idleTimeout = time.Minute
)

// Client sends attempts over pooled connections.
type Client struct {
	// pooled keeps connections, fresh takes a new one for each attempt.
	pooled, fresh *resty.Client
	// silent holds the addresses of endpoints that don't send HeaderAttempt
	// back. Only a fresh connection is sure to carry no other attempt's answer.
	silent sync.Map
}

// NewClient returns a client that keeps at most maxConnections to an endpoint.
func NewClient(maxConnections int) *Client {
	return &Client{
		pooled: newHTTP(&http.Transport{
			MaxConnsPerHost:     maxConnections,
			MaxIdleConnsPerHost: min(maxConnections, fleet.IdleConnections),
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}),
		fresh: newHTTP(&http.Transport{
			MaxConnsPerHost:    maxConnections,
			DisableKeepAlives:  true,
			DisableCompression: true,
		}),
	}
}

func newHTTP(transport *http.Transport) *resty.Client {
	return resty.New().
		SetTransport(transport).
		SetRedirectPolicy(resty.RedirectPolicyFunc(func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		}))
}

// Close drops idle connections.
func (c *Client) Close() { c.pooled.GetClient().CloseIdleConnections() }

// connection is what an attempt learnt of its connection.
type connection struct{ got, reused bool }

// Do sends one attempt and reads the whole answer.
func (c *Client) Do(ctx context.Context, req Request) Result {
	var conn connection
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = connection{got: true, reused: info.Reused} },
	})
	got, err := c.send(ctx, req)
	if err != nil {
		fail := oops.In("endpoint").With("step", "dispatch", "peer", req.Address, "attempt", req.Attempt)
		if !conn.got {
			return Result{Outcome: event.AttemptNotSent, Err: fail.Wrap(err)}
		}
		return Result{Outcome: event.AttemptBroken, Err: fail.Wrap(err)}
	}
	return c.judge(req, got, conn)
}

// client returns the HTTP client for a request.
func (c *Client) client(req Request) *resty.Client {
	if _, silent := c.silent.Load(req.Address); silent || req.NewConnection {
		return c.fresh
	}
	return c.pooled
}

// defaultContentType stands for a body whose caller named no type.
const defaultContentType = "application/octet-stream"

// anyType is the Accept header. Without one resty compares the type of the body
// with expressions for JSON and XML, to ask for the same.
const anyType = "*/*"

// answer is what came back. It is whole if its end was marked, by a length or
// by chunks, since reading fails when the mark is not reached.
type answer struct {
	Response
	whole bool
}

// send returns the answer with its body, which is read here and not by resty,
// since resty would look for JSON in it.
func (c *Client) send(ctx context.Context, req Request) (answer, error) {
	contentType := req.ContentType
	if contentType == "" {
		contentType = defaultContentType
	}
	r := c.client(req).R().
		SetContext(ctx).
		SetDoNotParseResponse(true).
		SetHeader("Accept", anyType).
		SetHeader("Content-Type", contentType).
		SetHeader(HeaderAttempt, req.Attempt).
		SetHeader(HeaderMember, string(req.Member)).
		SetBody(bytes.NewReader(req.Body))
	if req.Key != "" {
		r.SetHeader(HeaderKey, string(req.Key))
		r.SetHeader(HeaderFence, strconv.FormatInt(int64(req.Fence), 10))
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(r.Header))
	resp, err := r.Post("http://" + req.Address + "/" + url.PathEscape(string(req.Service)))
	if err != nil {
		return answer{}, err
	}
	raw := resp.RawResponse
	body, err := readBody(raw)
	return answer{
		Response: Response{Status: raw.StatusCode, Header: raw.Header, Body: body},
		whole:    raw.ContentLength >= 0 || isChunked(raw) || raw.ProtoMajor >= 2,
	}, errors.Join(err, raw.Body.Close())
}

func isChunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

var errAnswerTooLarge = errors.New("answer is too large")

func readBody(r *http.Response) ([]byte, error) {
	if r.ContentLength > maxAnswer {
		return nil, errAnswerTooLarge
	}
	if r.ContentLength >= 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnswer+1))
	if len(body) > maxAnswer {
		return nil, errAnswerTooLarge
	}
	return body, err
}

// probePath is where endpoints tell whether they are well.
const probePath = "/healthz"

// Probe asks an endpoint whether it is well, and whether it is leaving.
func (c *Client) Probe(ctx context.Context, address string) (ok, leaving bool) {
	resp, err := c.fresh.R().SetContext(ctx).Get("http://" + address + probePath)
	if err != nil {
		return false, false
	}
	return resp.StatusCode() == http.StatusOK, resp.Header().Get(HeaderLeaving) == "true"
}

// judge says what an answer that was received means.
func (c *Client) judge(req Request, got answer, conn connection) Result {
	fail := oops.In("endpoint").With("step", "answer", "peer", req.Address, "attempt", req.Attempt)
	header := got.Header
	if err := c.checkOwner(req, header.Get(HeaderAttempt), conn); err != nil {
		return Result{Outcome: event.AttemptBroken, Err: fail.Wrap(err)}
	}
	leaving := header.Get(HeaderLeaving) == "true"
	if got.Status == http.StatusServiceUnavailable && header.Get(HeaderRan) == "no" {
		return Result{Outcome: event.AttemptRefused, Leaving: leaving, Err: fail.Errorf("refused by the endpoint")}
	}
	if !got.whole {
		return Result{Outcome: event.AttemptBroken, Err: fail.Errorf("answer has no length that tells whether it is whole")}
	}
	return Result{
		Outcome:  event.AttemptAnswered,
		Response: &got.Response,
		Leaving:  leaving,
	}
}

// errForeignAnswer means that an answer belongs to another attempt, or may.
var errForeignAnswer = errors.New("answer may belong to another attempt")

// checkOwner tells whether an answer is the attempt's own. Without an echo of
// the attempt's id, only the first answer on a connection is.
func (c *Client) checkOwner(req Request, echo string, conn connection) error {
	if echo == req.Attempt {
		return nil
	}
	if echo != "" {
		return errForeignAnswer
	}
	c.silent.Store(req.Address, struct{}{})
	if conn.reused {
		return errForeignAnswer
	}
	return nil
}
