package daemon

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Main checks a daemon's settings, runs it, and ends the process with a code of
// its own for wrong settings and for a failed run. Run logs its error itself.
func Main[Config any](check func() (Config, error), run func(Config) error) {
	c, err := check()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if run(c) != nil {
		os.Exit(exitFailed)
	}
}
