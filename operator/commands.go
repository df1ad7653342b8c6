package operator

import (
	"context"
	"net/http"
	"strconv"

	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/reduce/effect"
)

// SendCommand posts a command to a path and returns the outcome of its record.
// The step names the command in errors.
func (c *Client) SendCommand(ctx context.Context, step, path string, body any) (entry.OperatorResult, error) {
	var res entry.OperatorResult
	resp, err := c.http.R().SetContext(ctx).SetBody(body).SetResult(&res).Post(path)
	return res, c.checkResponse(step, resp, err)
}

// Undrain brings an instance back into service. A nil epoch stands for the epoch
// in force.
func (c *Client) Undrain(ctx context.Context, instance string, epoch *int64) (entry.OperatorResult, error) {
	var res entry.OperatorResult
	r := c.http.R().SetContext(ctx).SetResult(&res).SetPathParam("instance", instance)
	if epoch != nil {
		r.SetQueryParam("epoch", strconv.FormatInt(*epoch, 10))
	}
	resp, err := r.Execute(http.MethodDelete, "/v1/drains/{instance}")
	return res, c.checkResponse("undrain", resp, err)
}

// Forecast returns the effects of the loss of a data centre, or of one of its
// racks if rack is not empty.
func (c *Client) Forecast(ctx context.Context, dataCentre, rack string) (effect.Forecast, error) {
	var f effect.Forecast
	resp, err := c.http.R().SetContext(ctx).SetResult(&f).
		SetQueryParam("data_centre", dataCentre).SetQueryParam("rack", rack).Get("/v1/forecast")
	return f, c.checkResponse("forecast", resp, err)
}
