package main

import (
	"context"

	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
)

type drainCmd struct {
	Instance string `arg:"positional,required" help:"instance to drain"`
	Then     string `arg:"--then" default:"hold" help:"what follows the drain: hold, stop or reboot"`
	Epoch    *int64 `arg:"--epoch" help:"epoch of the instance that you saw; the one in force when absent"`
	Force    bool   `arg:"--force" help:"drain it even if its pool can't spare it"`
	Wait     bool   `arg:"--wait" help:"show progress until the drain is complete"`
}

func (c *drainCmd) run(ctx context.Context, s *settings) error {
	cl := newClient(s)
	res, err := cl.SendCommand(ctx, "drain", "/v1/drains", entry.DrainRequest{
		Instance: fleet.InstanceID(c.Instance), Purpose: c.Then, Epoch: offsetOrNil(c.Epoch), Force: c.Force,
	})
	if err != nil {
		return err
	}
	if err := printProgress(s, res, "%s is draining at epoch %d\n", c.Instance, res.Offset); err != nil || !c.Wait {
		return err
	}
	final := []string{"drained", "failed"}
	if c.Then == "reboot" {
		final = []string{"in-service", "failed"}
	}
	return cl.followInstance(ctx, s, fleet.InstanceID(c.Instance), res.Offset, final)
}

type undrainCmd struct {
	Instance string `arg:"positional,required" help:"instance to bring back"`
	Epoch    *int64 `arg:"--epoch" help:"epoch of the instance that you saw; the one in force when absent"`
	Wait     bool   `arg:"--wait" help:"show progress until it is in service"`
}

func (c *undrainCmd) run(ctx context.Context, s *settings) error {
	cl := newClient(s)
	res, err := cl.Undrain(ctx, c.Instance, c.Epoch)
	if err != nil {
		return err
	}
	if err := printProgress(s, res, "%s comes back at epoch %d\n", c.Instance, res.Offset); err != nil || !c.Wait {
		return err
	}
	return cl.followInstance(ctx, s, fleet.InstanceID(c.Instance), res.Offset, []string{"in-service", "failed"})
}

type moveCmd struct {
	Instance string `arg:"positional,required" help:"instance to move"`
	To       string `arg:"positional,required" help:"pool to move it to"`
	Epoch    *int64 `arg:"--epoch" help:"epoch of the instance that you saw; the one in force when absent"`
	Wait     bool   `arg:"--wait" help:"show progress until it is in service"`
}

func (c *moveCmd) run(ctx context.Context, s *settings) error {
	cl := newClient(s)
	res, err := cl.SendCommand(ctx, "move", "/v1/moves", entry.MoveRequest{
		Instance: fleet.InstanceID(c.Instance), To: fleet.PoolName(c.To), Epoch: offsetOrNil(c.Epoch),
	})
	if err != nil {
		return err
	}
	if err := printProgress(s, res, "%s moves to %s at epoch %d\n", c.Instance, c.To, res.Offset); err != nil || !c.Wait {
		return err
	}
	return cl.followInstance(ctx, s, fleet.InstanceID(c.Instance), res.Offset, []string{"in-service", "failed"})
}
