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

// progressInterval is the time between looks at how far a command has come.
const progressInterval = 500 * time.Millisecond

// followInstance prints each phase of an instance after an epoch, until one
// that is final.
func (c *client) followInstance(ctx context.Context, s *settings, id fleet.InstanceID, after fleet.Offset, final []string) error {
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
		return slices.Contains(final, in.Phase), nil
	})
}

// followWave prints each change of a wave until it ends or pauses.
func (c *client) followWave(ctx context.Context, s *settings, id fleet.Offset) error {
	done := -1
	return c.follow(ctx, func(st effect.Status) (bool, error) {
		i := slices.IndexFunc(st.Waves, func(w effect.WaveStatus) bool { return w.ID == id })
		if i < 0 {
			return false, nil
		}
		w := st.Waves[i]
		through := w.Done + len(w.Failed) + len(w.Skipped)
		if through == done && w.Phase == "running" {
			return false, nil
		}
		done = through
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

// follow looks at the status until done says so.
func (c *client) follow(ctx context.Context, done func(effect.Status) (bool, error)) error {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		st, err := c.Status(ctx)
		if err != nil {
			return err
		}
		if end, err := done(st); end || err != nil {
			return err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// printProgress prints a line for people, or the value as JSON.
func printProgress(s *settings, value any, format string, args ...any) error {
	if s.JSON {
		return json.NewEncoder(os.Stdout).Encode(value)
	}
	_, err := fmt.Printf(format, args...)
	return err
}

func offset(n *int64) *fleet.Offset {
	if n == nil {
		return nil
	}
	o := fleet.Offset(*n)
	return &o
}
