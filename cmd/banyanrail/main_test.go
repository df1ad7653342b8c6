package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/load"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/services"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

type cli struct {
	t        *testing.T
	entry    string
	progress bytes.Buffer
}

func startCLI(t *testing.T) (*cli, *dev.Fleet) {
	t.Helper()
	f, err := dev.Start(dev.Config{Entries: 3, Runners: 2, Slots: 8, ProcessingTime: time.Millisecond})
	must.NoError(t, err)
	t.Cleanup(f.Stop)
	c := &cli{t: t, entry: f.Entries[0].OperatorsURL}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		st, err := newClient(&settings{Entry: c.entry}).Status(t.Context())
		return err == nil && len(st.Versions) == len(f.Entries)
	}), wait.Timeout(30*time.Second)))
	return c, f
}

// run runs the command line and returns its output and exit code.
func (c *cli) run(args ...string) (string, int) {
	c.t.Helper()
	var out bytes.Buffer
	s := settings{out: &out, progress: &c.progress}
	p, err := arg.NewParser(arg.Config{}, &s)
	must.NoError(c.t, err)
	must.NoError(c.t, p.Parse(append([]string{"--entry", c.entry}, args...)))
	cmd, ok := p.Subcommand().(command)
	must.True(c.t, ok)
	if err := cmd.run(c.t.Context(), &s); err != nil {
		return out.String() + err.Error(), exitCode(err)
	}
	return out.String(), 0
}

func (c *cli) file(text string) string {
	c.t.Helper()
	path := filepath.Join(c.t.TempDir(), "services.hcl")
	must.NoError(c.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestCheckListsFaultsAsJSON(t *testing.T) {
	c := &cli{t: t}
	out, code := c.run("check", "--json", c.file("pool \"p\" {\n  slots = 0\n}\nmember \"m\" {\n  weight = 0\n}\n"))
	must.EqOp(t, exitInvalid, code)
	var res checkResult
	must.NoError(t, json.NewDecoder(bytes.NewBufferString(out)).Decode(&res))
	must.False(t, res.Valid)
	must.Len(t, 2, res.Faults)
	must.EqOp(t, 5, res.Faults[1].Line)
}

func TestPlanPublishAndStatus(t *testing.T) {
	c, f := startCLI(t)
	first := c.file(f.Text(8))
	out, code := c.run("plan", first)
	must.EqOp(t, 0, code, must.Sprint(out))
	must.StrContains(t, out, "against version 0: 7 to add")

	out, code = c.run("publish", first)
	must.EqOp(t, 0, code, must.Sprint(out))
	must.StrContains(t, out, "version 1 is in force")
	must.StrContains(t, c.progress.String(), "of 3 entries")

	second := c.file(f.Text(4))
	out, code = c.run("plan", "--json", second)
	must.EqOp(t, 0, code, must.Sprint(out))
	var plan planResult
	must.NoError(t, json.Unmarshal([]byte(out), &plan))
	must.EqOp(t, 1, plan.Base)
	must.Eq(t, []services.Change{
		{Action: services.ActionChange, Block: "pool", Name: "main", Setting: "slots", Before: "8", After: "4"},
	}, plan.Changes)

	out, code = c.run("publish", "--base", "1", "--json", second)
	must.EqOp(t, 0, code, must.Sprint(out))
	var res publishResult
	must.NoError(t, json.Unmarshal([]byte(out), &res))
	must.EqOp(t, 2, res.Version)

	out, code = c.run("publish", "--base", "1", first)
	must.EqOp(t, exitConflict, code)
	must.StrContains(t, out, "publish at "+c.entry)

	out, code = c.run("status", "--json")
	must.EqOp(t, 0, code)
	var st effect.Status
	must.NoError(t, json.Unmarshal([]byte(out), &st))
	must.EqOp(t, 2, st.Version)
	out, code = c.run("status")
	must.EqOp(t, 0, code)
	must.StrContains(t, out, "runner-02")
	must.StrContains(t, out, "buffer cost")
	must.StrContains(t, out, "BUDGET BURNT")

	out, code = c.run("watch", "--for", "50ms", "--every", "10ms")
	must.EqOp(t, 0, code)
	must.StrContains(t, out, "version 2 in force")
}

func TestPublishDuringOutageIsUnavailable(t *testing.T) {
	c, f := startCLI(t)
	must.NoError(t, f.Platform.SetLogFault(standin.LogFault{Down: true}))
	out, code := c.run("publish", "--base", "0", c.file(f.Text(8)))
	must.EqOp(t, exitUnavailable, code)
	must.StrContains(t, out, "log-unavailable")
}

func TestErrorsNameStepAndPeer(t *testing.T) {
	c := &cli{t: t, entry: "http://127.0.0.1:1"}
	for _, step := range []string{"status", "plan"} {
		args := []string{step}
		if step == "plan" {
			args = append(args, c.file(""))
		}
		out, code := c.run(args...)
		must.EqOp(t, exitUnavailable, code)
		must.StrContains(t, out, "read ")
		must.StrContains(t, out, " at http://127.0.0.1:1")
	}
	_, code := c.run("publish", "--base", "0", c.file(""))
	must.EqOp(t, exitUnavailable, code)
}

func TestFaultyTextIsNotSent(t *testing.T) {
	c := &cli{t: t, entry: "http://127.0.0.1:1"}
	out, code := c.run("publish", "--base", "0", c.file("pool {"))
	must.EqOp(t, exitInvalid, code)
	must.StrContains(t, out, "services.hcl:1,")
}

func TestLoadEndsWithASummaryLine(t *testing.T) {
	c := &cli{t: t}
	out, code := c.run("load")
	must.EqOp(t, exitUsage, code, must.Sprint(out))
	_, code = c.run("load", "--dev", "--rate", "0")
	must.EqOp(t, exitUsage, code)

	out, code = c.run("load", "--dev", "--entries", "2", "--runners", "5", "--work", "1ms", "--for", "300ms", "--burst", "50ms")
	must.EqOp(t, 0, code, must.Sprint(out))
	var sum load.Summary
	must.NoError(t, json.Unmarshal([]byte(out), &sum))
	must.Positive(t, sum.Requests)
	must.MapLen(t, len(defaultServices), sum.Services)
	must.NotNil(t, sum.Fleet)
	must.EqOp(t, 0, sum.Fleet.Moves)
	must.EqOp(t, 0, sum.Crossed+sum.Lost+sum.CutOff+*sum.Doubled+*sum.RanThoughRefused)
}
