package main

import (
	"errors"

	"github.com/banyanrail/banyanrail/operator"
)

// Exit codes.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitInvalid     = 4
	exitUnavailable = 5
	exitUndecided   = 6
)

// errUsage means that the command line is invalid.
var errUsage = errors.New("usage")

var exitCodes = []struct {
	err  error
	code int
}{
	{errUsage, exitUsage},
	{operator.ErrConflict, exitConflict},
	{operator.ErrInvalid, exitInvalid},
	{operator.ErrUnavailable, exitUnavailable},
	{operator.ErrUndecided, exitUndecided},
}

func exitCode(err error) int {
	for _, c := range exitCodes {
		if errors.Is(err, c.err) {
			return c.code
		}
	}
	return exitFailed
}
