package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/reduce/effect"
)

type watchCmd struct {
	Every time.Duration `arg:"--every" default:"1s" help:"time between polls"`
	For   time.Duration `arg:"--for" help:"stop after this time; watch until interrupted when absent"`
}

// watchLine holds the values that watch prints when one of them changes.
type watchLine struct {
	Entry   fleet.EntryID `json:"entry"`
	Ready   bool          `json:"ready"`
	Log     string        `json:"log"`
	Version fleet.Version `json:"version"`
	Entries int           `json:"entries"`
	InForce int           `json:"in_force"`
	// Error is set while the entry can't be reached.
	Error string `json:"error,omitempty"`
}

// run polls the entry until it is interrupted. It continues when the entry does not
// answer, since the entry may come back, and shows the error.
func (c *watchCmd) run(ctx context.Context, s *settings) error {
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	cl := newClient(s)
	var last watchLine
	for {
		st, err := cl.Status(ctx)
		if ctx.Err() != nil {
			return nil
		}
		line := newWatchLine(st, err)
		if line != last {
			last = line
			if err := line.print(s.out, s.JSON); err != nil {
				return err
			}
		}
		if loop.Sleep(ctx, c.Every) != nil {
			return nil
		}
	}
}

func newWatchLine(st effect.Status, err error) watchLine {
	if err != nil {
		return watchLine{Error: err.Error()}
	}
	return watchLine{
		Entry:   st.Entry,
		Ready:   st.Ready,
		Log:     logState(st),
		Version: st.Version,
		Entries: len(st.Versions),
		InForce: countInForce(st, st.Version),
	}
}

func (l watchLine) print(out io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(l)
	}
	now := time.Now().Format(time.TimeOnly)
	if l.Error != "" {
		_, err := fmt.Fprintf(out, "%s  %s\n", now, l.Error)
		return err
	}
	_, err := fmt.Fprintf(out, "%s  %s  ready %t  log %s  version %d in force at %d of %d entries\n",
		now, l.Entry, l.Ready, l.Log, l.Version, l.InForce, l.Entries)
	return err
}
