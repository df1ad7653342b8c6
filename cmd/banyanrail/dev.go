package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/entry"
)

type devCmd struct {
	Entries int           `arg:"--entries" default:"3" help:"entry instances"`
	Runners int           `arg:"--runners" default:"4" help:"endpoints"`
	Slots   int           `arg:"--slots" default:"8" help:"concurrent requests per endpoint"`
	Work    time.Duration `arg:"--work" default:"20ms" help:"processing time of a request"`
	For     time.Duration `arg:"--for" help:"stop after this time; run until interrupted when absent"`
}

func (c *devCmd) run(ctx context.Context, s *settings) error {
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	logger := slog.New(slog.NewTextHandler(os.Stderr, nil))
	f, err := dev.Start(dev.Config{
		Entries: c.Entries, Runners: c.Runners, Slots: c.Slots, ProcessingTime: c.Work,
		Deps: entry.Deps{Logger: logger},
	})
	if err != nil {
		return err
	}
	defer f.Stop()
	s.Entry = f.Entries[0].OperatorsURL
	if _, err := newClient(s).Publish(ctx, 0, []byte(f.Text(c.Slots))); err != nil {
		return err
	}
	for _, n := range f.Entries {
		fmt.Printf("callers %s  operators %s\n", n.CallersURL, n.OperatorsURL)
	}
	fmt.Printf("try: curl -H 'Banyanrail-Member: lawa' -d hello %s/v1/services/survey/requests\n", f.Entries[0].CallersURL)
	<-ctx.Done()
	return nil
}
