package daemon

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2 // wrong settings
)

// Main checks a daemon's settings and runs it. It ends the process with exit code
// 2 if the settings are wrong, and 1 if run fails. Run has to log its own error.
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
