package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/samber/oops"
)

// pollInterval is the time between status polls while a command is in progress.
const pollInterval = 500 * time.Millisecond

// followInstance prints each phase of an instance from epoch after on, until one
// of finalPhases.
func (c *client) followInstance(ctx context.Context, s *settings, id fleet.InstanceID, after fleet.Offset, finalPhases []string) error {
	seen := after - 1
	return c.follow(ctx, func(st effect.Status) (bool, error) {
		i := slices.IndexFunc(st.Instances, func(in effect.InstanceStatus) bool { return in.ID == id })
		if i < 0 || st.Instances[i].Epoch <= seen {
			return false, nil
		}
		in := st.Instances[i]
		seen = in.Epoch
		if err := printProgress(s, in, "%s %s %s\n", in.ID, in.Phase, in.Detail); err != nil {
			return true, err
		}
		if in.Phase == "failed" {
			return true, oops.Errorf("%s failed: %s", id, in.Detail)
		}
		return slices.Contains(finalPhases, in.Phase), nil
	})
}

// followWave prints each change of a wave until it ends or pauses.
func (c *client) followWave(ctx context.Context, s *settings, id fleet.Offset) error {
	shown := -1
	return c.follow(ctx, func(st effect.Status) (bool, error) {
		i := slices.IndexFunc(st.Waves, func(w effect.WaveStatus) bool { return w.ID == id })
		if i < 0 {
			return false, nil
		}
		w := st.Waves[i]
		finished := w.Done + len(w.Failed) + len(w.Skipped)
		if finished == shown && w.Phase == "running" {
			return false, nil
		}
		shown = finished
		if err := printProgress(s, w, "wave %d %s: step %d, %d done, %d failed, %d to go %s\n",
			w.ID, w.Phase, w.Steps, w.Done, len(w.Failed), w.Pending+len(w.Current), w.Detail); err != nil {
			return true, err
		}
		if w.Phase == "paused" {
			return true, oops.Errorf("wave %d paused: %s", id, w.Detail)
		}
		return w.Phase != "running", nil
	})
}

// follow polls the status until check returns true or an error.
func (c *client) follow(ctx context.Context, check func(effect.Status) (bool, error)) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		st, err := c.Status(ctx)
		if err != nil {
			return err
		}
		if ended, err := check(st); ended || err != nil {
			return err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// printProgress prints a formatted line, or the value as JSON with --json.
func printProgress(s *settings, value any, format string, args ...any) error {
	if s.JSON {
		return json.NewEncoder(os.Stdout).Encode(value)
	}
	_, err := fmt.Printf(format, args...)
	return err
}

// offsetOrNil converts an optional flag to an optional offset.
func offsetOrNil(n *int64) *fleet.Offset {
	if n == nil {
		return nil
	}
	o := fleet.Offset(*n)
	return &o
}
