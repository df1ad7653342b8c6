package operator

import "errors"

// Kinds of failures, by what an operator can do about them.
var (
	// ErrConflict means that a concurrent change was accepted first.
	ErrConflict = errors.New("conflict")
	// ErrInvalid means that the request has faults.
	ErrInvalid = errors.New("invalid")
	// ErrUnavailable means that the entry or the log could not be reached, and
	// that nothing was changed.
	ErrUnavailable = errors.New("unavailable")
	// ErrUndecided means that it is unknown whether a change took effect.
	ErrUndecided = errors.New("undecided")
)
