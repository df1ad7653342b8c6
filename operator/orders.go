package operator

import (
	"context"
	"net/http"
	"strconv"

	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/reduce/effect"
)

// SendCommand sends a command and returns what became of its record.
func (c *Client) SendCommand(ctx context.Context, step, path string, body any) (entry.OperatorResult, error) {
	var res entry.OperatorResult
	resp, err := c.http.R().SetContext(ctx).SetBody(body).SetResult(&res).Post(path)
	return res, c.check(step, resp, err)
}

// Undrain brings an instance back into service. A nil epoch means the one in
// force.
func (c *Client) Undrain(ctx context.Context, instance string, epoch *int64) (entry.OperatorResult, error) {
	var res entry.OperatorResult
	r := c.http.R().SetContext(ctx).SetResult(&res).SetPathParam("instance", instance)
	if epoch != nil {
		r.SetQueryParam("epoch", strconv.FormatInt(*epoch, 10))
	}
	resp, err := r.Execute(http.MethodDelete, "/v1/drains/{instance}")
	return res, c.check("undrain", resp, err)
}

// Forecast returns what the loss of a data centre would break, or that of a rack
// in it.
func (c *Client) Forecast(ctx context.Context, dataCentre, rack string) (effect.Forecast, error) {
	var f effect.Forecast
	resp, err := c.http.R().SetContext(ctx).SetResult(&f).
		SetQueryParam("data_centre", dataCentre).SetQueryParam("rack", rack).Get("/v1/forecast")
	return f, c.check("forecast", resp, err)
}
