package standin

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/infra"
)

// maxCommandBody is the largest size of a command's body, in bytes.
const maxCommandBody = 4 << 10

type executedRequested struct{ call uint64 }

type replyExecuted struct {
	call     uint64
	executed []ExecutedCommand
}

func (executedRequested) isPlatformEvent() {}
func (replyExecuted) isPlatformEffect()    {}

// SetWorkerFault replaces the faults of the worker control.
func (p *Platform) SetWorkerFault(f WorkerFault) error {
	return p.loop.Post(workerFaultSet{fault: f})
}

// OnPower sets the function that is called when an instance goes down or comes
// back up. It must be set before Run, and the function must not block.
func (p *Platform) OnPower(power func(fleet.InstanceID, Power)) { p.onPower = power }

// ExecutedCommands returns the commands executed so far.
func (p *Platform) ExecutedCommands(ctx context.Context) ([]ExecutedCommand, error) {
	return p.executed.Do(ctx, func(call uint64) error { return p.loop.Post(executedRequested{call: call}) })
}

func (p *Platform) handleCommand(w http.ResponseWriter, r *http.Request) {
	var body infra.CommandBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommandBody)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	res, err := p.commands.Do(r.Context(), func(call uint64) error {
		return p.loop.Post(commandRequested{
			call: call, id: r.PathValue("command"), instance: fleet.InstanceID(r.PathValue("instance")), command: body.Command,
		})
	})
	switch {
	case err != nil || res == commandLost:
		http.Error(w, "outcome unknown", http.StatusInternalServerError)
	case res == commandDown:
		http.Error(w, "worker control is down", http.StatusServiceUnavailable)
	case res == commandPending:
		w.WriteHeader(http.StatusAccepted)
	default:
		w.WriteHeader(http.StatusOK)
	}
}
