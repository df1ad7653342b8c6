package endpoint

import (
	"context"

	"github.com/samber/oops"
)

// pathHealth is where an endpoint tells whether it is fit for work.
const pathHealth = "/healthz"

// Check asks an endpoint whether it is fit for work.
func (c *Client) Check(ctx context.Context, address string) error {
	fail := oops.In("endpoint").With("step", "check health", "peer", address)
	resp, err := c.http.R().SetContext(ctx).Get("http://" + address + pathHealth)
	if err != nil {
		return fail.Wrap(err)
	}
	if resp.IsError() {
		return fail.Errorf("status %d", resp.StatusCode())
	}
	return nil
}
