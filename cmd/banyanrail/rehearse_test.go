package main

import (
	"encoding/json"
	"strconv"
	"testing"

	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/shoenig/test/must"
)

func TestRehearseFromForecastToReport(t *testing.T) {
	c, f := startCLI(t)
	out, code := c.run("publish", c.file(f.Text(8)))
	must.EqOp(t, 0, code, must.Sprint(out))

	out, code = c.run("rehearse", "forecast", "--data-centre", "dc1")
	must.EqOp(t, 0, code, must.Sprint(out))
	must.StrContains(t, out, "BUDGET SPENT IN")
	out, code = c.run("rehearse", "forecast", "--data-centre", "nowhere", "--json")
	must.EqOp(t, exitFailed, code)
	must.StrContains(t, out, "no instance is in nowhere")

	out, code = c.run("rehearse", "start", "--data-centre", "dc1", "--for", "1h", "--json", "--force")
	must.EqOp(t, 0, code, must.Sprint(out))
	var res entry.OperatorResult
	must.NoError(t, json.Unmarshal([]byte(out), &res))
	out, code = c.run("rehearse", "start", "--data-centre", "dc1")
	must.EqOp(t, exitConflict, code)
	must.StrContains(t, out, "is under way")
	out, code = c.run("rehearse", "status")
	must.EqOp(t, 0, code)
	must.StrContains(t, out, "running")

	out, code = c.run("rehearse", "stop", strconv.FormatInt(int64(res.Offset), 10))
	must.EqOp(t, 0, code, must.Sprint(out))
	out, code = c.run("rehearse", "status", "--json")
	must.EqOp(t, 0, code)
	var all []effect.RehearsalStatus
	must.NoError(t, json.Unmarshal([]byte(out), &all))
	must.Len(t, 1, all)
	must.EqOp(t, "operator", all[0].Reason)
	out, code = c.run("report")
	must.EqOp(t, 0, code)
	must.StrContains(t, out, "of dc1")
}
