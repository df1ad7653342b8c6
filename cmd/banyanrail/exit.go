package main

import "errors"

// Exit codes.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitInvalid     = 4
	exitUnavailable = 5
	exitUndecided   = 6
)

// Kinds of failures, by what an operator can do about them.
var (
	// errUsage means that the command line is wrong.
	errUsage = errors.New("usage")
	// errConflict means that another change came first.
	errConflict = errors.New("conflict")
	// errInvalid means that the services text has faults.
	errInvalid = errors.New("invalid")
	// errUnavailable means that an entry or the log could not be reached, and
	// that nothing was changed.
	errUnavailable = errors.New("unavailable")
	// errUndecided means that it is not known whether a change took effect.
	errUndecided = errors.New("undecided")
)

var exitCodes = []struct {
	err  error
	code int
}{
	{errUsage, exitUsage},
	{errConflict, exitConflict},
	{errInvalid, exitInvalid},
	{errUnavailable, exitUnavailable},
	{errUndecided, exitUndecided},
}

func exitCode(err error) int {
	for _, c := range exitCodes {
		if errors.Is(err, c.err) {
			return c.code
		}
	}
	return exitFailed
}
