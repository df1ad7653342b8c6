package entry

import (
	"context"
	"errors"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/infra"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/samber/oops"
)

const (
	// commandInstanceTimeout is the time-out for one command to the platform's
	// instance control.
	commandInstanceTimeout = 5 * time.Second
	// checkTimeout is the time-out for one health check.
	checkTimeout = 2 * time.Second
)

var purposeCommands = map[control.Purpose]infra.Command{
	control.PurposeReboot: infra.CommandReboot,
	control.PurposeStop:   infra.CommandStop,
}

// errDeadlinePassed means that a command was not sent because its deadline had
// passed.
var errDeadlinePassed = errors.New("entry: the command's deadline has passed")

// actInstances passes an effect that concerns endpoint instances to its driver.
func (e *Entry) actInstances(out effect.Effect) {
	switch o := out.(type) {
	case effect.CommandInstance:
		e.commandInstance(o)
	case effect.CheckInstance:
		e.checkInstance(o)
	}
}

// commandInstance queues a command to the platform's instance control.
func (e *Entry) commandInstance(o effect.CommandInstance) {
	err := e.logPool.Go(func() {
		err := e.sendCommand(o)
		_ = e.loop.Post(event.CommandFinished{ // fails only once the loop has ended
			Instance: o.Instance, Epoch: o.Epoch, Outcome: commandOutcome(err), Err: err,
		})
	})
	if err != nil {
		e.deps.Logger.Error("command queued after the pool stopped", "entry", e.cfg.ID, "instance", o.Instance, "error", err)
	}
}

func (e *Entry) sendCommand(o effect.CommandInstance) error {
	fail := oops.In("entry").With("step", "command instance", "peer", o.Instance)
	if !e.clock().Before(o.Deadline) {
		return fail.Wrap(errDeadlinePassed)
	}
	if e.deps.InstanceCommander == nil {
		return fail.Wrap(infra.ErrUnavailable)
	}
	ctx, cancel := context.WithTimeout(e.background, commandInstanceTimeout)
	defer cancel()
	return e.deps.InstanceCommander.Command(ctx, o.ID, o.Instance, purposeCommands[o.Purpose])
}

func commandOutcome(err error) event.CommandOutcome {
	switch {
	case err == nil:
		return event.CommandDone
	case errors.Is(err, infra.ErrPending):
		return event.CommandPending
	default:
		return event.CommandUnknown
	}
}

// checkInstance queues a health check of an endpoint.
func (e *Entry) checkInstance(o effect.CheckInstance) {
	err := e.logPool.Go(func() {
		ctx, cancel := context.WithTimeout(e.background, checkTimeout)
		defer cancel()
		healthy, leaving := e.client.Probe(ctx, o.Address)
		_ = e.loop.Post(event.InstanceChecked{Instance: o.Instance, Epoch: o.Epoch, Healthy: healthy && !leaving}) // fails only once the loop has ended
	})
	if err != nil {
		e.deps.Logger.Error("health check queued after the pool stopped", "entry", e.cfg.ID, "instance", o.Instance, "error", err)
	}
}

func listedEndpoints(rows []infra.ListedInstance) event.EndpointsListed {
	var ev event.EndpointsListed
	for _, row := range rows {
		if row.Role == infra.RoleEndpoint && row.Leaving {
			ev.Leaving = append(ev.Leaving, fleet.InstanceID(row.ID))
		}
	}
	return ev
}
