// Package infra defines the services of the platform that banyanrail needs: an
// append-only log, a list of instances that may be out of date, and commands for
// instances. Client implements them over HTTP, and package standin serves them in
// tests.
package infra

import (
	"context"
	"errors"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// StreamControl is the log stream of the control records.
const StreamControl = "control"

// StreamClaims is the log stream of the claims of non-idempotent requests.
const StreamClaims = "claims"

// Errors of the platform's services.
var (
	// ErrNotAppended means that the record is not in the log and never will be.
	ErrNotAppended = errors.New("infra: record was not appended")
	// ErrUnknown means that the append may or may not have taken effect.
	ErrUnknown = errors.New("infra: outcome of the append is unknown")
	// ErrUnavailable means that the service did not answer a read.
	ErrUnavailable = errors.New("infra: service is unavailable")
	// ErrPending means that the platform has accepted a command and not carried it
	// out yet.
	ErrPending = errors.New("infra: command is pending")
)

// Record is a record in the log.
type Record struct {
	Offset fleet.Offset `json:"offset"`
	Data   []byte       `json:"data"`
}

// Page is the answer to a read.
type Page struct {
	Records []Record `json:"records"`
	// Next is the offset to read from next.
	Next fleet.Offset `json:"next"`
	// Oldest is the first offset that the log still keeps. Records before it have
	// expired.
	Oldest fleet.Offset `json:"oldest"`
	// End is the offset that the next append gets; zero when the log does not
	// report it.
	End fleet.Offset `json:"end"`
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds one record to a stream. Its error wraps ErrNotAppended or
	// ErrUnknown.
	Append(ctx context.Context, stream string, data []byte) (fleet.Offset, error)
	// Read returns records from an offset on. When there are none yet, Read waits
	// for up to wait. Its error wraps ErrUnavailable.
	Read(ctx context.Context, stream string, from fleet.Offset, wait time.Duration) (Page, error)
}

// ListedInstance is one row of the platform's list of instances. The list may be out
// of date.
type ListedInstance struct {
	ID      string `json:"id"`
	Role    Role   `json:"role"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Role is the purpose of an instance.
type Role string

// Roles of listed instances.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// InstanceLister reads the platform's list of live and leaving instances.
type InstanceLister interface {
	// List returns the list, which callers must not modify. Its error wraps
	// ErrUnavailable.
	List(ctx context.Context) ([]ListedInstance, error)
}

// Command is a command to the platform about an instance.
type Command string

// Commands for instances.
const (
	CommandReboot     Command = "reboot"
	CommandStop       Command = "stop"
	CommandThrottle   Command = "throttle"
	CommandCheckpoint Command = "checkpoint"
)

// InstanceCommander sends commands for instances to the platform.
type InstanceCommander interface {
	// Command sends a command. Commands with the same id take effect once: sending
	// one again queries its progress. Its error wraps ErrPending while the platform
	// carries the command out, and ErrUnavailable when the command may or may not
	// take effect.
	Command(ctx context.Context, id string, instance fleet.InstanceID, command Command) error
}
