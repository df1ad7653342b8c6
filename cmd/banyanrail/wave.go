package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"text/tabwriter"

	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/samber/oops"
)

type waveCmd struct {
	Start  *waveStartCmd  `arg:"subcommand:start" help:"reboot the instances of a scope, step by step"`
	List   *waveListCmd   `arg:"subcommand:list" help:"show waves"`
	Pause  *wavePauseCmd  `arg:"subcommand:pause" help:"start no further step"`
	Resume *waveResumeCmd `arg:"subcommand:resume" help:"continue a paused wave"`
	Abort  *waveAbortCmd  `arg:"subcommand:abort" help:"end a wave"`
}

func (*waveCmd) run(context.Context, *settings) error {
	return oops.Errorf("wave needs a subcommand: start, list, pause, resume or abort")
}

type waveStartCmd struct {
	Pools      []string `arg:"--pool,separate" help:"pool to reboot; all when absent"`
	DataCentre string   `arg:"--data-centre" help:"data centre to reboot; all when absent"`
	Note       string   `arg:"--note" help:"reason, shown to other operators"`
	Wait       bool     `arg:"--wait" help:"show progress until the wave ends or pauses"`
}

func (c *waveStartCmd) run(ctx context.Context, s *settings) error {
	req := entry.WaveRequest{DataCentre: fleet.DataCentre(c.DataCentre), Note: c.Note}
	for _, p := range c.Pools {
		req.Pools = append(req.Pools, fleet.PoolName(p))
	}
	cl := newClient(s)
	res, err := cl.SendCommand(ctx, "start wave", "/v1/waves", req)
	if err != nil {
		return err
	}
	if err := printProgress(s, res, "wave %d started\n", res.Offset); err != nil || !c.Wait {
		return err
	}
	return cl.followWave(ctx, s, res.Offset)
}

type waveListCmd struct{}

func (*waveListCmd) run(ctx context.Context, s *settings) error {
	st, err := newClient(s).Status(ctx)
	if err != nil {
		return err
	}
	if s.JSON {
		return json.NewEncoder(os.Stdout).Encode(st.Waves)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WAVE\tPHASE\tSTEPS\tPENDING\tDONE\tFAILED\tSKIPPED\tNOTE\tDETAIL")
	for _, v := range st.Waves {
		fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n",
			v.ID, v.Phase, v.Steps, v.Pending, v.Done, len(v.Failed), len(v.Skipped), v.Note, v.Detail)
	}
	return w.Flush()
}

type wavePauseCmd struct {
	Wave int64 `arg:"positional,required" help:"number of the wave"`
}

func (c *wavePauseCmd) run(ctx context.Context, s *settings) error {
	return changeWave(ctx, s, c.Wave, "pause")
}

type waveResumeCmd struct {
	Wave int64 `arg:"positional,required" help:"number of the wave"`
}

func (c *waveResumeCmd) run(ctx context.Context, s *settings) error {
	return changeWave(ctx, s, c.Wave, "resume")
}

type waveAbortCmd struct {
	Wave int64 `arg:"positional,required" help:"number of the wave"`
}

func (c *waveAbortCmd) run(ctx context.Context, s *settings) error {
	return changeWave(ctx, s, c.Wave, "abort")
}

func changeWave(ctx context.Context, s *settings, wave int64, change string) error {
	path := "/v1/waves/" + strconv.FormatInt(wave, 10) + "/" + change
	res, err := newClient(s).SendCommand(ctx, change+" wave", path, struct{}{})
	if err != nil {
		return err
	}
	return printProgress(s, res, "wave %d: %s accepted\n", wave, change)
}
