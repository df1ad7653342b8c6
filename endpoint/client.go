// Package endpoint sends requests to endpoints and classifies the outcome of each
// attempt: answered completely, not sent, refused, or broken.
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
	// HeaderAttempt identifies the attempt. If an endpoint echoes it in its
	// answers, the entry detects answers to other attempts and can reuse
	// connections.
	HeaderAttempt = "Banyanrail-Attempt"
	// HeaderKey carries the idempotency key. It is not named Idempotency-Key,
	// since net/http retries requests with that header when a connection breaks.
	HeaderKey = "Banyanrail-Key"
	// HeaderFence carries the offset of the claim as a fencing token.
	HeaderFence = "Banyanrail-Fence"
	// HeaderMember carries the name of the member to which the request belongs.
	HeaderMember = "Banyanrail-Member"
	// HeaderRan is set to "no" in an answer with status 503 if the endpoint did
	// not run the request.
	HeaderRan = "Banyanrail-Ran"
	// HeaderLeaving is set to "true" if the endpoint accepts no new work.
	HeaderLeaving = "Banyanrail-Leaving"
)

// Request is one attempt of a request.
type Request struct {
	Attempt string
	Service fleet.ServiceName
	Address string
	Member  fleet.MemberName
	Key     fleet.Key
	Fence   fleet.Offset
	// NewConnection sends the attempt on a connection of its own, which is closed
	// afterwards.
	NewConnection bool
	ContentType   string
	Body          []byte
}

// Response is an endpoint's complete answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is the outcome of an attempt.
type Result struct {
	Outcome  event.AttemptOutcome
	Response *Response
	Leaving  bool
	Err      error
}

const (
	// maxAnswerBytes is the limit for the body of an answer, in bytes.
	maxAnswerBytes = 64 << 20
	idleTimeout    = time.Minute
)

// Client sends attempts over pooled connections.
type Client struct {
	// pooled reuses connections; fresh opens a new one for each attempt.
	pooled, fresh *resty.Client
	// noEcho holds the addresses of endpoints that don't echo HeaderAttempt. Only
	// on a new connection do their answers certainly belong to the attempt.
	noEcho sync.Map
}

// NewClient returns a client whose pooled and unpooled connections to an endpoint
// are each limited to maxConnections.
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

// Close closes idle connections.
func (c *Client) Close() { c.pooled.GetClient().CloseIdleConnections() }

// connection records whether an attempt got a connection, and whether that
// connection had been used before.
type connection struct{ got, reused bool }

// Do sends one attempt and reads the complete answer.
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
	return c.classify(req, got, conn)
}

// client returns the HTTP client for a request, according to whether it needs a
// new connection.
func (c *Client) client(req Request) *resty.Client {
	if _, noEcho := c.noEcho.Load(req.Address); noEcho || req.NewConnection {
		return c.fresh
	}
	return c.pooled
}

// defaultContentType is the content type of a body for which the caller gave none.
const defaultContentType = "application/octet-stream"

// acceptAny is the Accept header. Without it, resty would match the content type
// against regular expressions for JSON and XML to derive one.
const acceptAny = "*/*"

// answer is an answer as received. It is whole if a length or chunked encoding
// marks its end, since reading then fails unless the end is reached.
type answer struct {
	Response
	whole bool
}

// send sends an attempt and returns the answer with its body. The body is not read
// by resty, since resty would try to parse it as JSON.
func (c *Client) send(ctx context.Context, req Request) (answer, error) {
	contentType := req.ContentType
	if contentType == "" {
		contentType = defaultContentType
	}
	r := c.client(req).R().
		SetContext(ctx).
		SetDoNotParseResponse(true).
		SetHeader("Accept", acceptAny).
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
	if r.ContentLength > maxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	if r.ContentLength >= 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnswerBytes+1))
	if len(body) > maxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	return body, err
}

// probePath is the path of the endpoints' health check.
const probePath = "/healthz"

// Probe checks whether an endpoint is healthy, and whether it is leaving.
func (c *Client) Probe(ctx context.Context, address string) (ok, leaving bool) {
	resp, err := c.fresh.R().SetContext(ctx).Get("http://" + address + probePath)
	if err != nil {
		return false, false
	}
	return resp.StatusCode() == http.StatusOK, resp.Header().Get(HeaderLeaving) == "true"
}

// classify returns the result of an attempt for which an answer was received.
func (c *Client) classify(req Request, got answer, conn connection) Result {
	fail := oops.In("endpoint").With("step", "answer", "peer", req.Address, "attempt", req.Attempt)
	header := got.Header
	if err := c.checkAttempt(req, header.Get(HeaderAttempt), conn); err != nil {
		return Result{Outcome: event.AttemptBroken, Err: fail.Wrap(err)}
	}
	leaving := header.Get(HeaderLeaving) == "true"
	if got.Status == http.StatusServiceUnavailable && header.Get(HeaderRan) == "no" {
		return Result{Outcome: event.AttemptRefused, Leaving: leaving, Err: fail.Errorf("refused by the endpoint")}
	}
	if !got.whole {
		return Result{Outcome: event.AttemptBroken, Err: fail.Errorf("answer has neither a length nor chunked encoding, so it may be truncated")}
	}
	return Result{
		Outcome:  event.AttemptAnswered,
		Response: &got.Response,
		Leaving:  leaving,
	}
}

// errForeignAnswer means that an answer belongs to another attempt, or that this
// cannot be excluded.
var errForeignAnswer = errors.New("answer may belong to another attempt")

// checkAttempt returns an error unless an answer certainly belongs to the attempt.
// Without an echo of the attempt's id, only the first answer on a connection
// certainly does.
func (c *Client) checkAttempt(req Request, echo string, conn connection) error {
	if echo == req.Attempt {
		return nil
	}
	if echo != "" {
		return errForeignAnswer
	}
	c.noEcho.Store(req.Address, struct{}{})
	if conn.reused {
		return errForeignAnswer
	}
	return nil
}
