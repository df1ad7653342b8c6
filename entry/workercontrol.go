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
	// commandInstanceTimeout bounds one command to the worker control.
	commandInstanceTimeout = 5 * time.Second
	// checkTimeout bounds one health check.
	checkTimeout = 2 * time.Second
)

var purposeCommands = map[control.Purpose]infra.Command{
	control.PurposeReboot: infra.CommandReboot,
	control.PurposeStop:   infra.CommandStop,
}

// errStale means that an effect was carried out too late to be sent.
var errStale = errors.New("entry: the command's deadline has passed")

// actOnWorkers carries out the effects about instances.
func (e *Entry) actOnWorkers(out effect.Effect) {
	switch o := out.(type) {
	case effect.CommandInstance:
		e.commandInstance(o)
	case effect.CheckInstance:
		e.checkInstance(o)
	}
}

// commandInstance queues a command to the platform's worker control.
func (e *Entry) commandInstance(o effect.CommandInstance) {
	err := e.logPool.Go(func() {
		err := e.sendCommand(o)
		_ = e.loop.Post(event.CommandFinished{ // fails only after the end
			Instance: o.Instance, Epoch: o.Epoch, Outcome: commandOutcome(err), Err: err,
		})
	})
	if err != nil {
		e.deps.Logger.Error("command after the end", "entry", e.cfg.ID, "instance", o.Instance, "error", err)
	}
}

func (e *Entry) sendCommand(o effect.CommandInstance) error {
	fail := oops.In("entry").With("step", "command instance", "peer", o.Instance)
	if !e.clock().Before(o.Deadline) {
		return fail.Wrap(errStale)
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
		well, leaving := e.client.Probe(ctx, o.Address)
		_ = e.loop.Post(event.InstanceChecked{Instance: o.Instance, Epoch: o.Epoch, Healthy: well && !leaving}) // fails only after the end
	})
	if err != nil {
		e.deps.Logger.Error("check after the end", "entry", e.cfg.ID, "instance", o.Instance, "error", err)
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
