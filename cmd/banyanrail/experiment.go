package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/banyanrail/banyanrail/experiment"
	"github.com/banyanrail/banyanrail/reduce"
	"github.com/banyanrail/banyanrail/services"
)

type experimentCmd struct {
	Burst   *burstCmd   `arg:"subcommand:burst" help:"a burst of demand with a greedy member on one pool"`
	Wave    *waveRunCmd `arg:"subcommand:wave" help:"a wave over 50 instances under load"`
	Loss    *lossCmd    `arg:"subcommand:loss" help:"the loss of a data centre during a wave, compared with its forecast"`
	Idle    *idleCmd    `arg:"subcommand:idle" help:"resource use of an idle entry"`
	Reserve *reserveCmd `arg:"subcommand:reserve" help:"the planner compared with fixed pools, in virtual time"`
}

func (*experimentCmd) run(context.Context, *settings) error {
	return fmt.Errorf("%w: experiment needs a subcommand: burst, wave, loss, idle or reserve", errUsage)
}

// printExperimentResult prints the result of an experiment as JSON, unless the
// experiment failed.
func printExperimentResult(s *settings, res any, err error) error {
	if err != nil {
		return err
	}
	return json.NewEncoder(s.out).Encode(res)
}

type burstCmd struct {
	Placement string        `arg:"--placement" default:"holder" help:"which entry grants slots: holder or local"`
	Rate      float64       `arg:"--rate" default:"2000" help:"requests per second; the slots can process 800"`
	For       time.Duration `arg:"--for" default:"10s" help:"how long the burst lasts"`
	KillAfter time.Duration `arg:"--kill-after" help:"time after which the entry that grants the slots is killed; never when absent"`
	Entries   int           `arg:"--entries" default:"9" help:"entry instances"`
}

func (c *burstCmd) run(ctx context.Context, s *settings) error {
	res, err := experiment.Burst{
		Entries: c.Entries, Placement: reduce.Placement(c.Placement), Rate: c.Rate, Duration: c.For, KillAfter: c.KillAfter,
	}.Run(ctx)
	return printExperimentResult(s, res, err)
}

type waveRunCmd struct {
	MaxStep int `arg:"--max-step" default:"4" help:"largest number of instances out of service at the same time"`
	Entries int `arg:"--entries" default:"9" help:"entry instances"`
}

func (c *waveRunCmd) run(ctx context.Context, s *settings) error {
	res, err := experiment.Wave{Entries: c.Entries, MaxStep: c.MaxStep}.Run(ctx)
	return printExperimentResult(s, res, err)
}

type lossCmd struct {
	Rate    float64 `arg:"--rate" default:"140" help:"requests per second for each service"`
	Entries int     `arg:"--entries" default:"9" help:"entry instances"`
}

func (c *lossCmd) run(ctx context.Context, s *settings) error {
	res, err := experiment.Loss{Entries: c.Entries, Rate: c.Rate}.Run(ctx)
	return printExperimentResult(s, res, err)
}

type idleCmd struct {
	Entries int `arg:"--entries" default:"9" help:"entry instances"`
}

func (c *idleCmd) run(ctx context.Context, s *settings) error {
	res, err := experiment.Idle{Entries: c.Entries}.Run(ctx)
	return printExperimentResult(s, res, err)
}

type reserveCmd struct {
	File  string `arg:"positional,required" help:"services text"`
	Fixed bool   `arg:"--fixed" help:"move no instance"`
	Shift bool   `arg:"--shift" help:"let the demand of the first service grow permanently"`
}

func (c *reserveCmd) run(_ context.Context, s *settings) error {
	src, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	text, err := services.Parse(c.File, src)
	if err != nil {
		return err
	}
	res := experiment.Reserve{Text: text, Fixed: c.Fixed, Shift: c.Shift}.Run()
	return printExperimentResult(s, res, nil)
}
