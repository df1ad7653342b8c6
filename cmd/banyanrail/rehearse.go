package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/rehearsal"
)

type rehearseCmd struct {
	Forecast *rehearseForecastCmd `arg:"subcommand:forecast" help:"show what the loss of a failure domain would break"`
	Start    *rehearseStartCmd    `arg:"subcommand:start" help:"drain a failure domain for a limited time"`
	Stop     *rehearseStopCmd     `arg:"subcommand:stop" help:"bring the failure domain back"`
	Status   *rehearseStatusCmd   `arg:"subcommand:status" help:"show rehearsals"`
}

func (*rehearseCmd) run(context.Context, *settings) error {
	return fmt.Errorf("%w: rehearse needs a subcommand: forecast, start, stop or status", errUsage)
}

type rehearseForecastCmd struct {
	DataCentre string `arg:"--data-centre,required" help:"data centre to lose"`
	Rack       string `arg:"--rack" help:"rack to lose; the whole data centre when absent"`
}

func (c *rehearseForecastCmd) run(ctx context.Context, s *settings) error {
	f, err := newClient(s).Forecast(ctx, c.DataCentre, c.Rack)
	if err != nil {
		return err
	}
	if s.JSON {
		return json.NewEncoder(s.out).Encode(f)
	}
	fmt.Fprintf(s.out, "loss of %s, %d instances\n\n", f.Domain, f.Instances)
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tPOOL\tSLOTS\tOF\tDEMAND\tANSWERED\tBREAKS\tCAUSE\tBUDGET SPENT IN")
	for i := range f.Services {
		v := &f.Services[i]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.1f\t%.2f %%\t%t\t%s\t%s\n",
			v.Name, v.Pool, v.Slots, v.Before, v.PoolDemand, percent(v.Availability), v.Breaks, v.Cause, timeToExhaustion(v))
	}
	return w.Flush()
}

// timeToExhaustion returns how long the loss may last until the service's budget
// is spent.
func timeToExhaustion(v *rehearsal.Service) string {
	if v.Exhausted == 0 {
		return "never"
	}
	return v.Exhausted.Round(time.Second).String()
}

func percent(share float64) float64 { return 100 * share }

type rehearseStartCmd struct {
	DataCentre string        `arg:"--data-centre,required" help:"data centre to take out of service"`
	Rack       string        `arg:"--rack" help:"rack to take out of service; the whole data centre when absent"`
	For        time.Duration `arg:"--for" default:"10m" help:"how long it stays out of service"`
	Note       string        `arg:"--note" help:"reason, shown to other operators"`
	Force      bool          `arg:"--force" help:"start it even if the forecast says that a service breaks"`
	Wait       bool          `arg:"--wait" help:"show progress until it has ended"`
}

func (c *rehearseStartCmd) run(ctx context.Context, s *settings) error {
	cl := newClient(s)
	res, err := cl.SendCommand(ctx, "start rehearsal", "/v1/rehearsals", entry.RehearsalRequest{
		DataCentre: fleet.DataCentre(c.DataCentre), Rack: fleet.Rack(c.Rack),
		Seconds: c.For.Seconds(), Note: c.Note, Force: c.Force,
	})
	if err != nil {
		return err
	}
	if err := printResult(s, res, "rehearsal %d started\n", res.Offset); err != nil || !c.Wait {
		return err
	}
	return cl.followRehearsal(ctx, s, res.Offset)
}

type rehearseStopCmd struct {
	Rehearsal int64 `arg:"positional,required" help:"number of the rehearsal"`
}

func (c *rehearseStopCmd) run(ctx context.Context, s *settings) error {
	path := "/v1/rehearsals/" + strconv.FormatInt(c.Rehearsal, 10) + "/stop"
	res, err := newClient(s).SendCommand(ctx, "stop rehearsal", path, struct{}{})
	if err != nil {
		return err
	}
	return printResult(s, res, "rehearsal %d stopped\n", c.Rehearsal)
}

type rehearseStatusCmd struct{}

func (*rehearseStatusCmd) run(ctx context.Context, s *settings) error {
	st, err := newClient(s).Status(ctx)
	if err != nil {
		return err
	}
	if s.JSON {
		return json.NewEncoder(s.out).Encode(st.Rehearsals)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REHEARSAL\tDOMAIN\tPHASE\tREASON\tINSTANCES\tSTARTED\tFOR\tNOTE\tDETAIL")
	for i := range st.Rehearsals {
		r := &st.Rehearsals[i]
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", r.ID, r.Domain, r.Phase, r.Reason,
			len(r.Instances), r.Started.Format(time.DateTime), rehearsalDuration(r), r.Note, r.Detail)
	}
	return w.Flush()
}

// rehearsalDuration returns the duration of a rehearsal, or the planned one while
// it has not ended.
func rehearsalDuration(r *effect.RehearsalStatus) time.Duration {
	if r.Ended.IsZero() {
		return r.Duration
	}
	return r.Ended.Sub(r.Started).Round(time.Second)
}

// followRehearsal shows the progress of a rehearsal until it ends, and then its
// result.
func (c *client) followRehearsal(ctx context.Context, s *settings, id fleet.Offset) error {
	drained := -1
	return c.follow(ctx, func(st effect.Status) (bool, error) {
		i := slices.IndexFunc(st.Rehearsals, func(r effect.RehearsalStatus) bool { return r.ID == id })
		if i < 0 {
			return false, nil
		}
		r := &st.Rehearsals[i]
		if n := countDrained(st, r.Instances); n != drained && r.Phase == "running" {
			drained = n
			fmt.Fprintf(s.progress, "rehearsal %d: %d of %d instances drained\n", r.ID, n, len(r.Instances))
		}
		if r.Phase == "running" {
			return false, nil
		}
		if s.JSON {
			return true, json.NewEncoder(s.out).Encode(r)
		}
		return true, printRehearsal(s.out, r)
	})
}

func countDrained(st effect.Status, ids []fleet.InstanceID) int {
	n := 0
	for _, in := range st.Instances {
		if in.Phase == "drained" && slices.Contains(ids, in.ID) {
			n++
		}
	}
	return n
}

// printResult prints a formatted line, or the result as JSON with --json.
func printResult(s *settings, res entry.OperatorResult, format string, args ...any) error {
	if s.JSON {
		return json.NewEncoder(s.out).Encode(res)
	}
	_, err := fmt.Fprintf(s.out, format, args...)
	return err
}
