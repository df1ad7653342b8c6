// Package dev runs a whole fleet in one process: the platform's stand-in,
// endpoint stand-ins and real entries, over loopback. "banyanrail dev" and the
// tests use it.
package dev

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"text/template"
	"time"

	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/platform"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/samber/oops"
	"google.golang.org/grpc"
)

// Config sizes a fleet.
type Config struct {
	// Entries is the number of entry instances.
	Entries int
	// Runners is the number of endpoints.
	Runners int
	// Slots is the number of requests that one endpoint runs at once.
	Slots int
	// Work is how long an endpoint takes for a request.
	Work time.Duration
	// Deps are handed to every entry; Log is set by the fleet.
	Deps entry.Deps
}

// Fleet is a running fleet.
type Fleet struct {
	Platform *standin.Platform
	Runners  []*Runner
	Nodes    []*Node

	logger *slog.Logger
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Runner is an endpoint stand-in with its address.
type Runner struct {
	*standin.Runner
	ID      fleet.InstanceID
	Address string
}

// Node is an entry with its listeners.
type Node struct {
	ID    fleet.EntryID
	Entry *entry.Entry
	// CallersURL and OperatorsURL are the base URLs of its two interfaces.
	CallersURL   string
	OperatorsURL string
	// PeerAddress is where other entries reach it.
	PeerAddress string
	// Kill ends the entry at once, without a graceful shutdown.
	Kill context.CancelFunc
}

// Start starts a fleet. Stop it when done.
func Start(cfg Config) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{Platform: standin.NewPlatform(), cancel: cancel, logger: cfg.Deps.Logger}
	f.Platform.OnPower(f.setPower)
	if err := f.start(ctx, cfg); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, cfg Config) error {
	f.spawn(func() { f.Platform.Run(ctx) })
	platformAddr, err := f.serve(ctx, f.Platform)
	if err != nil {
		return err
	}
	for i := range cfg.Runners {
		r := &Runner{Runner: standin.NewRunner(cfg.Slots, cfg.Work), ID: fleet.InstanceID(fmt.Sprintf("runner-%02d", i+1))}
		f.spawn(func() { r.Run(ctx) })
		if r.Address, err = f.serve(ctx, r); err != nil {
			return err
		}
		f.Runners = append(f.Runners, r)
	}
	for i := range cfg.Entries {
		node, err := f.startNode(ctx, cfg, fmt.Sprintf("entry-%d", i+1), "http://"+platformAddr)
		if err != nil {
			return err
		}
		f.Nodes = append(f.Nodes, node)
	}
	return f.list()
}

func (f *Fleet) startNode(ctx context.Context, cfg Config, id, platformURL string) (*Node, error) {
	ctx, kill := context.WithCancel(ctx)
	deps := cfg.Deps
	client := platform.NewClient(platformURL)
	deps.Log, deps.Instances, deps.Workers = client, client, client
	node := &Node{ID: fleet.EntryID(id), Entry: entry.New(entry.Config{ID: fleet.EntryID(id), Seed: uint64(len(f.Nodes) + 1)}, deps), Kill: kill}
	f.spawn(func() { node.Entry.Run(ctx) })
	callers, err := f.serve(ctx, node.Entry.Callers())
	if err != nil {
		return nil, err
	}
	operators, err := f.serve(ctx, node.Entry.Operators())
	if err != nil {
		return nil, err
	}
	if node.PeerAddress, err = f.servePeers(ctx, node.Entry); err != nil {
		return nil, err
	}
	node.CallersURL, node.OperatorsURL = "http://"+callers, "http://"+operators
	return node, nil
}

// setPower passes on what the worker control did to an instance.
func (f *Fleet) setPower(id fleet.InstanceID, power standin.Power) {
	for _, r := range f.Runners {
		if r.ID != id {
			continue
		}
		if err := r.SetPower(power); err != nil && f.logger != nil {
			f.logger.Error("set power", "instance", id, "error", err)
		}
	}
}

// Stop ends everything and waits for it.
func (f *Fleet) Stop() {
	f.cancel()
	f.wg.Wait()
}

func (f *Fleet) spawn(run func()) {
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		run()
	}()
}

// serve listens on a free loopback port and returns its address.
func (f *Fleet) serve(ctx context.Context, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", oops.In("dev").With("step", "listen").Wrap(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.spawn(func() { _ = srv.Serve(ln) }) // always returns ErrServerClosed
	f.spawn(func() {
		<-ctx.Done()
		_ = srv.Close() // nothing is left to do if this fails
	})
	return ln.Addr().String(), nil
}

// servePeers listens for other entries and returns the address.
func (f *Fleet) servePeers(ctx context.Context, e *entry.Entry) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", oops.In("dev").With("step", "listen").Wrap(err)
	}
	srv := grpc.NewServer()
	e.RegisterPeers(srv)
	f.spawn(func() { _ = srv.Serve(ln) }) // returns once the server is stopped
	f.spawn(func() {
		<-ctx.Done()
		srv.Stop()
	})
	return ln.Addr().String(), nil
}

// list puts all entries and runners on the platform's list.
func (f *Fleet) list() error {
	var rows []platform.Listed
	for _, n := range f.Nodes {
		rows = append(rows, platform.Listed{ID: string(n.ID), Role: platform.RoleEntry, Address: n.PeerAddress})
	}
	for _, r := range f.Runners {
		rows = append(rows, platform.Listed{ID: string(r.ID), Role: platform.RoleEndpoint, Address: r.Address})
	}
	return f.Platform.SetListed(rows)
}

var textTemplate = template.Must(template.New("services").Parse(`data_centre "dc1" {
  rack "r1" {
{{- range .Runners}}
    instance "{{.ID}}" {
      address = "{{.Address}}"
      pool    = "main"
    }
{{- end}}
  }
}

pool "main" {
  slots = {{.Slots}}
}

service "survey" {
  pool       = "main"
  idempotent = true
}

member "lawa" {
  weight = 1
}
`))

// Text returns a services text for the fleet: one pool of all runners, one
// service "survey" and one member "lawa".
func (f *Fleet) Text(slots int) string {
	var out bytes.Buffer
	_ = textTemplate.Execute(&out, struct { // the template is fixed and writes to memory
		Runners []*Runner
		Slots   int
	}{f.Runners, slots})
	return out.String()
}
