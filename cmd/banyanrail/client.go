package main

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/go-resty/resty/v2"
	"github.com/samber/oops"
)

// errConflict means that another change came first.
var errConflict = errors.New("conflict")

// client talks to an entry's operators' interface.
type client struct{ http *resty.Client }

func newClient(s *settings) *client {
	c := resty.New().SetBaseURL(s.Entry)
	if s.Token != "" {
		c.SetAuthToken(s.Token)
	}
	return &client{http: c}
}

func (c *client) status(ctx context.Context) (effect.Status, error) {
	var st effect.Status
	resp, err := c.http.R().SetContext(ctx).SetResult(&st).Get("/v1/status")
	return st, c.check("read status", resp, err)
}

func (c *client) publish(ctx context.Context, base fleet.Version, src []byte) (entry.OperatorResult, error) {
	var res entry.OperatorResult
	resp, err := c.http.R().
		SetContext(ctx).
		SetQueryParam("base", strconv.FormatInt(int64(base), 10)).
		SetBody(src).
		SetResult(&res).
		Put("/v1/text")
	return res, c.check("publish", resp, err)
}

// check turns a failed call into an error that names the step and the peer.
func (c *client) check(step string, resp *resty.Response, err error) error {
	fail := oops.In("banyanrail").With("step", step, "peer", c.http.BaseURL)
	switch {
	case err != nil:
		return fail.Wrapf(err, "%s at %s", step, c.http.BaseURL)
	case resp.StatusCode() == http.StatusConflict:
		return fail.Wrapf(errConflict, "%s at %s: %s", step, c.http.BaseURL, resp.String())
	case resp.IsError():
		return fail.Errorf("%s at %s: status %d: %s", step, c.http.BaseURL, resp.StatusCode(), resp.String())
	default:
		return nil
	}
}
