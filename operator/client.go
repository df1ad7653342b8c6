// Package operator is a client of the operators' interface of entries, for the
// command line and for programs that drive a fleet.
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

// callTimeout bounds one call to an entry. It is longer than an entry takes to
// decide on a command.
const callTimeout = 20 * time.Second

// Client talks to the operators' interface of one entry. Its errors name the
// step and the peer, and wrap one of this package's errors.
type Client struct{ http *resty.Client }

// New returns a client of the entry at a base URL. An empty token sends none.
func New(baseURL, token string) *Client {
	c := resty.New().SetBaseURL(baseURL).SetTimeout(callTimeout)
	if token != "" {
		c.SetAuthToken(token)
	}
	return &Client{http: c}
}

// Status returns what the entry sees.
func (c *Client) Status(ctx context.Context) (effect.Status, error) {
	var st effect.Status
	resp, err := c.http.R().SetContext(ctx).SetResult(&st).Get("/v1/status")
	return st, c.check("read status", resp, err)
}

// Text returns the services text in force, or nil when there is none.
func (c *Client) Text(ctx context.Context) (*fleet.Text, fleet.Version, error) {
	resp, err := c.http.R().SetContext(ctx).Get("/v1/text")
	if err == nil && resp.StatusCode() == http.StatusNotFound {
		return nil, 0, nil
	}
	if err := c.check("read text", resp, err); err != nil {
		return nil, 0, err
	}
	version, err := strconv.ParseInt(resp.Header().Get(entry.HeaderVersion), 10, 64)
	if err != nil {
		return nil, 0, c.fail("read text").Wrapf(err, "read text at %s: %s", c.http.BaseURL, entry.HeaderVersion)
	}
	text, err := services.Parse(c.http.BaseURL, resp.Body())
	return text, fleet.Version(version), err
}

// Publish sends a whole text.
func (c *Client) Publish(ctx context.Context, base fleet.Version, src []byte) (entry.OperatorResult, error) {
	return c.send(ctx, http.MethodPut, base, src)
}

// PublishDelta sends what changes in the text of the base version.
func (c *Client) PublishDelta(ctx context.Context, base fleet.Version, d *fleet.Delta) (entry.OperatorResult, error) {
	data, err := codec.EncodeDelta(d)
	if err != nil {
		return entry.OperatorResult{}, c.fail("publish").Wrap(err)
	}
	return c.send(ctx, http.MethodPatch, base, data)
}

func (c *Client) send(ctx context.Context, method string, base fleet.Version, body []byte) (entry.OperatorResult, error) {
	var res entry.OperatorResult
	resp, err := c.http.R().
		SetContext(ctx).
		SetQueryParam("base", strconv.FormatInt(int64(base), 10)).
		SetBody(body).
		SetResult(&res).
		Execute(method, "/v1/text")
	var op *net.OpError
	if err != nil && (!errors.As(err, &op) || op.Op != "dial") {
		err = errors.Join(ErrUndecided, err)
	}
	return res, c.check("publish", resp, err)
}

func (c *Client) fail(step string) oops.OopsErrorBuilder {
	return oops.In("banyanrail").With("step", step, "peer", c.http.BaseURL)
}

var statusErrors = map[int]error{
	http.StatusConflict:            ErrConflict,
	http.StatusUnprocessableEntity: ErrInvalid,
	http.StatusServiceUnavailable:  ErrUnavailable,
	http.StatusGatewayTimeout:      ErrUndecided,
}

// check turns a failed call into an error that names the step and the peer.
func (c *Client) check(step string, resp *resty.Response, err error) error {
	fail := c.fail(step)
	switch {
	case errors.Is(err, ErrUndecided):
		return fail.Wrapf(err, "%s at %s", step, c.http.BaseURL)
	case err != nil:
		return fail.Wrapf(errors.Join(ErrUnavailable, err), "%s at %s", step, c.http.BaseURL)
	case !resp.IsError():
		return nil
	}
	kind, known := statusErrors[resp.StatusCode()]
	if !known {
		return fail.Errorf("%s at %s: status %d: %s", step, c.http.BaseURL, resp.StatusCode(), reason(resp))
	}
	return fail.Wrapf(kind, "%s at %s: %s", step, c.http.BaseURL, reason(resp))
}

// reason returns what the entry says about a failure.
func reason(resp *resty.Response) string {
	var body struct {
		Outcome string `json:"outcome"`
		Title   string `json:"title"`
		Detail  string `json:"detail"`
	}
	if json.Unmarshal(resp.Body(), &body) != nil {
		return strings.TrimSpace(resp.String())
	}
	parts := []string{body.Outcome, body.Title, body.Detail}
	said := parts[:0]
	for _, part := range parts {
		if part != "" {
			said = append(said, part)
		}
	}
	return strings.Join(said, ": ")
}
