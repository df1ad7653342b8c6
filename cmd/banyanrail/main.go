// Command banyanrail is the command line for operators.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

type settings struct {
	Check      *checkCmd      `arg:"subcommand:check" help:"check a services text"`
	Plan       *planCmd       `arg:"subcommand:plan" help:"show what a services text would change"`
	Publish    *publishCmd    `arg:"subcommand:publish" help:"bring a services text into force"`
	Status     *statusCmd     `arg:"subcommand:status" help:"show the state of the fleet as an entry sees it"`
	Watch      *watchCmd      `arg:"subcommand:watch" help:"show changes of an entry's state as they happen"`
	Drain      *drainCmd      `arg:"subcommand:drain" help:"take an instance out of service"`
	Undrain    *undrainCmd    `arg:"subcommand:undrain" help:"bring an instance back into service"`
	Move       *moveCmd       `arg:"subcommand:move" help:"move an instance to another pool"`
	Wave       *waveCmd       `arg:"subcommand:wave" help:"reboot instances step by step"`
	Rehearse   *rehearseCmd   `arg:"subcommand:rehearse" help:"forecast and rehearse the loss of a failure domain"`
	Report     *reportCmd     `arg:"subcommand:report" help:"show measures, budgets and rehearsals"`
	Dev        *devCmd        `arg:"subcommand:dev" help:"run a whole fleet in this process"`
	Experiment *experimentCmd `arg:"subcommand:experiment" help:"measure a policy on an embedded fleet"`
	Load       *loadCmd       `arg:"subcommand:load" help:"send requests to a fleet and count their outcomes"`
	Version    *versionCmd    `arg:"subcommand:version" help:"show the version of this program"`

	Entry string `arg:"--entry,env:BANYANRAIL_ENTRY" default:"http://127.0.0.1:8081" help:"base URL of an entry's operators' interface"`
	Token string `arg:"--,env:BANYANRAIL_OPERATOR_TOKEN" help:"bearer token"`
	JSON  bool   `arg:"--json" help:"print JSON"`

	// out receives results, and progress receives messages while a command runs.
	out      io.Writer `arg:"-"`
	progress io.Writer `arg:"-"`
}

// command is a subcommand.
type command interface {
	run(ctx context.Context, s *settings) error
}

func main() {
	s := settings{out: os.Stdout, progress: os.Stderr}
	p := arg.MustParse(&s)
	cmd, ok := p.Subcommand().(command)
	if !ok {
		p.WriteHelp(os.Stderr)
		os.Exit(exitUsage)
	}
	if err := runCommand(cmd, &s); err != nil {
		fmt.Fprintln(os.Stderr, "banyanrail:", err)
		os.Exit(exitCode(err))
	}
}

// runCommand runs a subcommand until it ends or the process receives SIGINT or
// SIGTERM.
func runCommand(cmd command, s *settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return cmd.run(ctx, s)
}
