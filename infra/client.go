package infra

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/banyanrail/banyanrail/dial"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/go-resty/resty/v2"
	"github.com/samber/oops"
)

// readMargin is how much longer than the requested wait a read may take.
const readMargin = 2 * time.Second

// AppendAnswer is the body of the answer to an append.
type AppendAnswer struct {
	Offset fleet.Offset `json:"offset"`
}

// CommandBody is the body of a command.
type CommandBody struct {
	Command Command `json:"command"`
}

// Client is a client of the platform's services over HTTP.
type Client struct {
	http *resty.Client
	// cached is the latest list of instances.
	cached atomic.Pointer[cachedList]
}

// cachedList is a list of instances with its entity tag.
type cachedList struct {
	tag  string
	rows []ListedInstance
}

var (
	_ Log               = (*Client)(nil)
	_ InstanceLister    = (*Client)(nil)
	_ InstanceCommander = (*Client)(nil)
)

// NewClient returns a client of the platform at a base URL.
func NewClient(baseURL string) *Client {
	return &Client{http: resty.New().SetBaseURL(baseURL)}
}

// Append implements Log with POST /v1/streams/{stream}/records.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (fleet.Offset, error) {
	var out AppendAnswer
	resp, err := c.http.R().
		SetContext(ctx).
		SetHeader("Content-Type", "application/octet-stream").
		SetBody(data).
		SetResult(&out).
		SetPathParam("stream", stream).
		Post("/v1/streams/{stream}/records")
	fail := oops.In("infra").With("step", "append", "peer", c.http.BaseURL, "stream", stream)
	switch {
	case dial.Failed(err):
		return 0, fail.Wrap(errors.Join(ErrNotAppended, err))
	case err != nil:
		return 0, fail.Wrap(errors.Join(ErrUnknown, err))
	case resp.StatusCode() == http.StatusCreated && out.Offset > 0:
		return out.Offset, nil
	case resp.StatusCode() >= http.StatusInternalServerError:
		return 0, fail.Wrapf(ErrUnknown, "status %d", resp.StatusCode())
	default:
		return 0, fail.Wrapf(ErrNotAppended, "status %d", resp.StatusCode())
	}
}

// Read implements Log with GET /v1/streams/{stream}/records.
func (c *Client) Read(ctx context.Context, stream string, from fleet.Offset, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readMargin)
	defer cancel()
	var page Page
	resp, err := c.http.R().
		SetContext(ctx).
		SetResult(&page).
		SetPathParam("stream", stream).
		SetQueryParam("from", strconv.FormatInt(int64(from), 10)).
		SetQueryParam("wait", wait.String()).
		Get("/v1/streams/{stream}/records")
	return page, c.check(resp, err, "read")
}

// List implements InstanceLister with a conditional GET /v1/instances: the platform
// doesn't send an unchanged list again.
func (c *Client) List(ctx context.Context) ([]ListedInstance, error) {
	var rows []ListedInstance
	req := c.http.R().SetContext(ctx).SetResult(&rows)
	last := c.cached.Load()
	if last != nil {
		req.SetHeader("If-None-Match", last.tag)
	}
	resp, err := req.Get("/v1/instances")
	if err := c.check(resp, err, "list instances"); err != nil {
		return nil, err
	}
	if last != nil && resp.StatusCode() == http.StatusNotModified {
		return last.rows, nil
	}
	c.cached.Store(nil)
	if tag := resp.Header().Get("ETag"); tag != "" {
		c.cached.Store(&cachedList{tag: tag, rows: rows})
	}
	return rows, nil
}

// Command implements InstanceCommander with PUT /v1/instances/{id}/commands/{command id}.
func (c *Client) Command(ctx context.Context, id string, instance fleet.InstanceID, command Command) error {
	resp, err := c.http.R().
		SetContext(ctx).
		SetBody(CommandBody{Command: command}).
		SetPathParam("instance", string(instance)).
		SetPathParam("id", id).
		Put("/v1/instances/{instance}/commands/{id}")
	if err == nil && resp.StatusCode() == http.StatusAccepted {
		return oops.In("infra").With("step", "command instance", "peer", c.http.BaseURL).Wrap(ErrPending)
	}
	return c.check(resp, err, "command instance")
}

func (c *Client) check(resp *resty.Response, err error, step string) error {
	fail := oops.In("infra").With("step", step, "peer", c.http.BaseURL)
	if err != nil {
		return fail.Wrap(errors.Join(ErrUnavailable, err))
	}
	if resp.IsError() {
		return fail.Wrapf(ErrUnavailable, "status %d", resp.StatusCode())
	}
	return nil
}
