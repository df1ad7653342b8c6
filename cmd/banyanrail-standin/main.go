// Command banyanrail-standin runs a stand-in as a process, either for the
// platform's services or for an endpoint.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/banyanrail/banyanrail/daemon"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/standin"
)

// grace is the time-out of a stand-in's shutdown.
const grace = time.Second

type platformCmd struct {
	Listen string `arg:"--listen" default:"127.0.0.1:8090" help:"IP address and port"`
}

type endpointCmd struct {
	Listen string        `arg:"--listen" default:"127.0.0.1:8100" help:"IP address and port"`
	Slots  int           `arg:"--slots" help:"concurrent requests"`
	Work   time.Duration `arg:"--work" default:"20ms" help:"processing time of a request"`
}

type settings struct {
	Platform *platformCmd `arg:"subcommand:platform" help:"run the platform's log, list and worker control"`
	Endpoint *endpointCmd `arg:"subcommand:endpoint" help:"run an endpoint that answers with the request's body"`
}

// server is a stand-in that serves HTTP.
type server interface {
	http.Handler
	Run(ctx context.Context)
}

func main() {
	s := settings{}
	p := arg.MustParse(&s)
	var err error
	switch {
	case s.Platform != nil:
		err = serve(s.Platform.Listen, standin.NewPlatform())
	case s.Endpoint != nil:
		slots := s.Endpoint.Slots
		if slots == 0 {
			slots = fleet.DefaultSlots
		}
		err = serve(s.Endpoint.Listen, standin.NewEndpoint(slots, s.Endpoint.Work))
	default:
		p.Fail("a subcommand is required: platform or endpoint")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serve runs a stand-in until the process receives SIGINT or SIGTERM.
func serve(listen string, s server) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	go s.Run(ctx)
	return daemon.Serve(ctx, listen, nil, nil, s, grace)
}
