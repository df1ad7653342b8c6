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

// readSlack is how much longer than the asked wait a read may take.
const readSlack = 2 * time.Second

// AppendAnswer is the body of the answer to an append.
type AppendAnswer struct {
	Offset fleet.Offset `json:"offset"`
}

// CommandBody is the body of a command.
type CommandBody struct {
	Command Command `json:"command"`
}

// Client reaches the platform's services over HTTP.
type Client struct {
	http *resty.Client
	// listed is the newest list of instances.
	listed atomic.Pointer[taggedList]
}

// taggedList is a list of instances with the entity tag that it came with.
type taggedList struct {
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
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
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

// List implements Instances with a conditional GET /v1/instances: a list that
// has not changed is not sent again.
func (c *Client) List(ctx context.Context) ([]ListedInstance, error) {
	var rows []ListedInstance
	req := c.http.R().SetContext(ctx).SetResult(&rows)
	last := c.listed.Load()
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
	c.listed.Store(nil)
	if tag := resp.Header().Get("ETag"); tag != "" {
		c.listed.Store(&taggedList{tag: tag, rows: rows})
	}
	return rows, nil
}

// Command implements Workers with PUT /v1/instances/{id}/commands/{command id}.
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
