package operator

import "errors"

// Kinds of failures, by what an operator can do about them.
var (
	// ErrConflict means that another change came first.
	ErrConflict = errors.New("conflict")
	// ErrInvalid means that what was sent has faults.
	ErrInvalid = errors.New("invalid")
	// ErrUnavailable means that the entry or the log could not be reached, and
	// that nothing was changed.
	ErrUnavailable = errors.New("unavailable")
	// ErrUndecided means that it is not known whether a change took effect.
	ErrUndecided = errors.New("undecided")
)
