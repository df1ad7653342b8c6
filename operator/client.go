// Package operator is a client of the operators' interface of an entry, for the
// command line and for programs that operate a fleet.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/services"
	"github.com/go-resty/resty/v2"
	"github.com/samber/oops"
)

// callTimeout is the time-out of a call to an entry. It is longer than the time
// that an entry takes to decide on a command.
const callTimeout = 20 * time.Second

// Client calls the operators' interface of an entry. Its errors name the step and
// the peer, and wrap one of this package's errors where one applies.
type Client struct{ http *resty.Client }

// New returns a client of the entry at a base URL. With an empty token it sends no
// Authorization header.
func New(baseURL, token string) *Client {
	c := resty.New().SetBaseURL(baseURL).SetTimeout(callTimeout)
	if token != "" {
		c.SetAuthToken(token)
	}
	return &Client{http: c}
}

// Status returns the state of the fleet as the entry sees it.
func (c *Client) Status(ctx context.Context) (effect.Status, error) {
	var st effect.Status
	resp, err := c.http.R().SetContext(ctx).SetResult(&st).Get("/v1/status")
	return st, c.checkResponse("read status", resp, err)
}

// Text returns the services text in force, or nil when there is none.
func (c *Client) Text(ctx context.Context) (*fleet.Text, fleet.Version, error) {
	resp, err := c.http.R().SetContext(ctx).Get("/v1/text")
	if err == nil && resp.StatusCode() == http.StatusNotFound {
		return nil, 0, nil
	}
	if err := c.checkResponse("read text", resp, err); err != nil {
		return nil, 0, err
	}
	version, err := strconv.ParseInt(resp.Header().Get(entry.HeaderVersion), 10, 64)
	if err != nil {
		return nil, 0, c.newError("read text").Wrapf(err, "read text at %s: %s", c.http.BaseURL, entry.HeaderVersion)
	}
	text, err := services.Parse(c.http.BaseURL, resp.Body())
	return text, fleet.Version(version), err
}

// Publish publishes a complete services text based on version base.
func (c *Client) Publish(ctx context.Context, base fleet.Version, src []byte) (entry.OperatorResult, error) {
	return c.send(ctx, http.MethodPut, base, src)
}

// PublishDelta publishes changes of the services text of version base.
func (c *Client) PublishDelta(ctx context.Context, base fleet.Version, d *fleet.Delta) (entry.OperatorResult, error) {
	data, err := codec.EncodeDelta(d)
	if err != nil {
		return entry.OperatorResult{}, c.newError("publish").Wrap(err)
	}
	return c.send(ctx, http.MethodPatch, base, data)
}

// send publishes a body. Unless the connection could not be opened, a call without
// an answer may have taken effect, so its error is ErrUndecided.
func (c *Client) send(ctx context.Context, method string, base fleet.Version, body []byte) (entry.OperatorResult, error) {
	var res entry.OperatorResult
	resp, err := c.http.R().
		SetContext(ctx).
		SetQueryParam("base", strconv.FormatInt(int64(base), 10)).
		SetBody(body).
		SetResult(&res).
		Execute(method, "/v1/text")
	var opErr *net.OpError
	if err != nil && (!errors.As(err, &opErr) || opErr.Op != "dial") {
		err = errors.Join(ErrUndecided, err)
	}
	return res, c.checkResponse("publish", resp, err)
}

func (c *Client) newError(step string) oops.OopsErrorBuilder {
	return oops.In("banyanrail").With("step", step, "peer", c.http.BaseURL)
}

var statusErrors = map[int]error{
	http.StatusConflict:            ErrConflict,
	http.StatusUnprocessableEntity: ErrInvalid,
	http.StatusServiceUnavailable:  ErrUnavailable,
	http.StatusGatewayTimeout:      ErrUndecided,
}

// checkResponse returns an error that names the step and the peer if a call
// failed.
func (c *Client) checkResponse(step string, resp *resty.Response, err error) error {
	builder := c.newError(step)
	switch {
	case errors.Is(err, ErrUndecided):
		return builder.Wrapf(err, "%s at %s", step, c.http.BaseURL)
	case err != nil:
		return builder.Wrapf(errors.Join(ErrUnavailable, err), "%s at %s", step, c.http.BaseURL)
	case !resp.IsError():
		return nil
	}
	kind, known := statusErrors[resp.StatusCode()]
	if !known {
		return builder.Errorf("%s at %s: status %d: %s", step, c.http.BaseURL, resp.StatusCode(), failureReason(resp))
	}
	return builder.Wrapf(kind, "%s at %s: %s", step, c.http.BaseURL, failureReason(resp))
}

// failureReason returns the reason that the entry gives in its answer.
func failureReason(resp *resty.Response) string {
	var body struct {
		Outcome string `json:"outcome"`
		Title   string `json:"title"`
		Detail  string `json:"detail"`
	}
	if json.Unmarshal(resp.Body(), &body) != nil {
		return strings.TrimSpace(resp.String())
	}
	parts := []string{body.Outcome, body.Title, body.Detail}
	nonEmpty := parts[:0]
	for _, part := range parts {
		if part != "" {
			nonEmpty = append(nonEmpty, part)
		}
	}
	return strings.Join(nonEmpty, ": ")
}
