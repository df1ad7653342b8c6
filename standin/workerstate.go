package standin

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/infra"
)

// defaultRebootTime is the duration of a reboot unless WorkerFault sets another.
const defaultRebootTime = 50 * time.Millisecond

type commandRequested struct {
	call     uint64
	id       string
	instance fleet.InstanceID
	command  infra.Command
}

type workerFaultSet struct{ fault WorkerFault }

func (commandRequested) isPlatformEvent() {}
func (workerFaultSet) isPlatformEvent()   {}

type replyCommand struct {
	call   uint64
	result commandResult
}

type changePower struct {
	instance fleet.InstanceID
	power    Power
}

func (replyCommand) isPlatformEffect() {}
func (changePower) isPlatformEffect()  {}

type commandResult uint8

const (
	commandDone commandResult = iota + 1
	commandPending
	commandDown
	commandLost
)

// Power is the state in which the worker control left an instance.
type Power uint8

// States of an instance.
const (
	// PowerUp means that the instance works.
	PowerUp Power = iota + 1
	// PowerDown means that the instance is down, and that its requests were cut off.
	PowerDown
	// PowerBroken means that the instance is up but fails every request.
	PowerBroken
)

// WorkerFault holds the faults of the worker control.
type WorkerFault struct {
	// Down refuses all commands.
	Down bool
	// LoseAnswers is the number of next commands that take effect but are answered
	// with an error.
	LoseAnswers int
	// Break is the number of next reboots after which the instance is broken.
	Break int
	// RebootTime is the duration of a reboot. Zero means defaultRebootTime.
	RebootTime time.Duration
}

// ExecutedCommand is a command that the worker control executed.
type ExecutedCommand struct {
	ID       string
	Instance fleet.InstanceID
	Command  infra.Command
}

type workerState struct {
	fault WorkerFault
	// commands holds the completion time of each command by its id.
	commands map[string]time.Time
	reboots  []reboot
	executed []ExecutedCommand
}

type reboot struct {
	instance fleet.InstanceID
	done     time.Time
	power    Power
}

func newWorkerState() workerState { return workerState{commands: make(map[string]time.Time)} }

// command executes a command unless its id is known, and answers with its progress.
func (s *platformState) command(now time.Time, e commandRequested) {
	w := &s.workers
	if w.fault.Down {
		s.out = append(s.out, replyCommand{call: e.call, result: commandDown})
		return
	}
	done, known := w.commands[e.id]
	if !known {
		done = s.execute(now, e)
		w.commands[e.id] = done
		w.executed = append(w.executed, ExecutedCommand{ID: e.id, Instance: e.instance, Command: e.command})
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

// execute starts a command and returns its completion time.
func (s *platformState) execute(now time.Time, e commandRequested) time.Time {
	w := &s.workers
	switch e.command {
	case infra.CommandReboot:
		duration := w.fault.RebootTime
		if duration == 0 {
			duration = defaultRebootTime
		}
		power := PowerUp
		if w.fault.Break > 0 {
			w.fault.Break--
			power = PowerBroken
		}
		done := now.Add(duration)
		w.reboots = append(w.reboots, reboot{instance: e.instance, done: done, power: power})
		s.out = append(s.out, changePower{instance: e.instance, power: PowerDown})
		return done
	case infra.CommandStop:
		s.out = append(s.out, changePower{instance: e.instance, power: PowerDown})
	case infra.CommandThrottle, infra.CommandCheckpoint:
	}
	return now
}

// finishReboots changes the power of the instances whose reboot has ended.
func (s *platformState) finishReboots(now time.Time) {
	w := &s.workers
	kept := w.reboots[:0]
	for _, r := range w.reboots {
		if r.done.After(now) {
			kept = append(kept, r)
			continue
		}
		s.out = append(s.out, changePower{instance: r.instance, power: r.power})
	}
	w.reboots = kept
}
