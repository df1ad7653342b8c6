package standin

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/infra"
)

// defaultRebootTime is how long a reboot takes unless WorkerFault says else.
const defaultRebootTime = 50 * time.Millisecond

type commandAsked struct {
	call     uint64
	id       string
	instance fleet.InstanceID
	command  infra.Command
}

type workerFaultSet struct{ fault WorkerFault }

func (commandAsked) isPlatformEvent()   {}
func (workerFaultSet) isPlatformEvent() {}

type replyCommand struct {
	call   uint64
	result commandResult
}

type changeInstance struct {
	instance fleet.InstanceID
	power    Power
}

func (replyCommand) isPlatformEffect()   {}
func (changeInstance) isPlatformEffect() {}

type commandResult uint8

const (
	commandDone commandResult = iota + 1
	commandPending
	commandDown
	commandLost
)

// Power is what the worker control did to an instance.
type Power uint8

// States of an instance.
const (
	// PowerUp brought the instance back in working order.
	PowerUp Power = iota + 1
	// PowerDown took it down, with all that it ran.
	PowerDown
	// PowerBroken brought it back, and it fails everything it starts.
	PowerBroken
)

// WorkerFault is what goes wrong at the worker control.
type WorkerFault struct {
	// Down refuses all commands.
	Down bool
	// LoseAnswers is how many of the next commands take effect but are answered
	// with an error.
	LoseAnswers int
	// Break is how many of the next rebooted instances come back broken.
	Break int
	// RebootTime is how long a reboot takes; zero means a short default.
	RebootTime time.Duration
}

// ExecutedCommand is a command that the worker control carried out.
type ExecutedCommand struct {
	ID       string
	Instance fleet.InstanceID
	Command  infra.Command
}

type workerState struct {
	fault WorkerFault
	// commands holds the time at which each command is done, by its id.
	commands map[string]time.Time
	reboots  []reboot
	ordered  []ExecutedCommand
}

type reboot struct {
	instance fleet.InstanceID
	done     time.Time
	power    Power
}

func newWorkerState() workerState { return workerState{commands: make(map[string]time.Time)} }

// command carries out a command once and tells how far it has come.
func (s *platformState) command(now time.Time, e commandAsked) {
	w := &s.workers
	if w.fault.Down {
		s.out = append(s.out, replyCommand{call: e.call, result: commandDown})
		return
	}
	done, known := w.commands[e.id]
	if !known {
		done = s.carryOut(now, e)
		w.commands[e.id] = done
		w.ordered = append(w.ordered, ExecutedCommand{ID: e.id, Instance: e.instance, Command: e.command})
	}
	result := commandPending
	if !done.After(now) {
		result = commandDone
	}
	if w.fault.LoseAnswers > 0 {
		w.fault.LoseAnswers--
		result = commandLost
	}
	s.out = append(s.out, replyCommand{call: e.call, result: result})
}

// carryOut starts a command and returns when it will be done.
func (s *platformState) carryOut(now time.Time, e commandAsked) time.Time {
	w := &s.workers
	switch e.command {
	case infra.CommandReboot:
		took := w.fault.RebootTime
		if took == 0 {
			took = defaultRebootTime
		}
		power := PowerUp
		if w.fault.Break > 0 {
			w.fault.Break--
			power = PowerBroken
		}
		done := now.Add(took)
		w.reboots = append(w.reboots, reboot{instance: e.instance, done: done, power: power})
		s.out = append(s.out, changeInstance{instance: e.instance, power: PowerDown})
		return done
	case infra.CommandStop:
		s.out = append(s.out, changeInstance{instance: e.instance, power: PowerDown})
	case infra.CommandThrottle, infra.CommandCheckpoint:
	}
	return now
}

// finishReboots brings back the instances whose reboot has ended.
func (s *platformState) finishReboots(now time.Time) {
	w := &s.workers
	kept := w.reboots[:0]
	for _, r := range w.reboots {
		if r.done.After(now) {
			kept = append(kept, r)
			continue
		}
		s.out = append(s.out, changeInstance{instance: r.instance, power: r.power})
	}
	w.reboots = kept
}
