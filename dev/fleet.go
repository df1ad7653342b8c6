// Package dev runs a whole fleet in one process: the platform's stand-in,
// endpoint stand-ins and real entries, over loopback. "banyanrail dev" and the
// tests use it.
package dev

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"text/template"
	"time"

	"github.com/banyanrail/banyanrail/bytecount"
	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/infra"
	"github.com/banyanrail/banyanrail/peer"
	"github.com/banyanrail/banyanrail/reduce"
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
	// ProcessingTime is how long an endpoint takes for a request.
	ProcessingTime time.Duration
	// Placement says who grants slots.
	Placement reduce.Placement
	// SnapshotInterval is the time between snapshots; zero means the default.
	SnapshotInterval time.Duration
	// Deps are handed to every entry; Log is set by the fleet.
	Deps entry.Deps
	// Tap makes the tap of an entry; nil uses that of Deps.
	Tap func(fleet.EntryID) entry.Tap
	// Traffic counts what the entries send and receive; nil counts nothing.
	Traffic *Traffic
}

// Traffic counts the bytes between entries, to the log and worker control, and
// to the platform's list. TCP and IP headers are not in it.
type Traffic struct{ Peers, Log, List bytecount.Counter }

// Fleet is a running fleet.
type Fleet struct {
	Platform *standin.Platform
	Runners  []*Runner
	Entries  []*EntryInstance

	cfg         Config
	platformURL string
	listURL     string
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	// started is the number of entries started so far.
	started int
	traffic *Traffic
}

// Runner is an endpoint stand-in with its address.
type Runner struct {
	*standin.Endpoint
	ID      fleet.InstanceID
	Address string
}

// EntryInstance is an entry with its listeners.
type EntryInstance struct {
	ID    fleet.EntryID
	Entry *entry.Entry
	// CallersURL and OperatorsURL are the base URLs of its two interfaces.
	CallersURL   string
	OperatorsURL string
	// PeerAddress is where other entries reach it.
	PeerAddress string
	// Log is the entry's way to the log.
	Log *LogSwitch
	// Kill ends the entry at once, without a graceful shutdown.
	Kill context.CancelFunc
}

// Start starts a fleet. Stop it when done.
func Start(cfg Config) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{Platform: standin.NewPlatform(), cfg: cfg, ctx: ctx, cancel: cancel, traffic: cfg.Traffic}
	if f.traffic == nil {
		f.traffic = &Traffic{}
	}
	f.Platform.OnPower(f.setPower)
	if err := f.start(ctx, cfg); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, cfg Config) error {
	f.spawn(func() { f.Platform.Run(ctx) })
	platformAddr, err := f.serveCounted(ctx, f.Platform, &f.traffic.Log)
	if err != nil {
		return err
	}
	listAddr, err := f.serveCounted(ctx, f.Platform, &f.traffic.List)
	if err != nil {
		return err
	}
	f.platformURL, f.listURL = "http://"+platformAddr, "http://"+listAddr
	for i := range cfg.Runners {
		r := &Runner{Endpoint: standin.NewEndpoint(cfg.Slots, cfg.ProcessingTime), ID: fleet.InstanceID(fmt.Sprintf("runner-%02d", i+1))}
		f.spawn(func() { r.Run(ctx) })
		if r.Address, err = f.serve(ctx, r); err != nil {
			return err
		}
		f.Runners = append(f.Runners, r)
	}
	for range cfg.Entries {
		if _, err := f.addNode(false); err != nil {
			return err
		}
	}
	return f.list()
}

// AddEntry starts one more entry and puts it on the platform's list. With cut
// set it cannot reach the log until its LogSwitch is closed.
func (f *Fleet) AddEntry(cut bool) (*EntryInstance, error) {
	node, err := f.addNode(cut)
	if err != nil {
		return nil, err
	}
	return node, f.list()
}

func (f *Fleet) addNode(cut bool) (*EntryInstance, error) {
	node, err := f.newNode(cut)
	if err != nil {
		return nil, err
	}
	f.Entries = append(f.Entries, node)
	return node, nil
}

// newNode starts an entry under an id that none had before.
func (f *Fleet) newNode(cut bool) (*EntryInstance, error) {
	f.started++
	return f.startNode(fmt.Sprintf("entry-%d", f.started), cut)
}

func (f *Fleet) startNode(id string, cut bool) (*EntryInstance, error) {
	ctx, kill := context.WithCancel(f.ctx)
	peersListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		kill()
		return nil, oops.In("dev").With("step", "listen").Wrap(err)
	}
	client := infra.NewClient(f.platformURL)
	node := &EntryInstance{
		ID:          fleet.EntryID(id),
		Kill:        kill,
		Log:         NewLogSwitch(client),
		PeerAddress: peersListener.Addr().String(),
	}
	node.Log.SetDisconnected(cut)
	deps := f.cfg.Deps
	if f.cfg.Tap != nil {
		deps.Tap = f.cfg.Tap(node.ID)
	}
	deps.Log, deps.Instances, deps.InstanceCommander = node.Log, infra.NewClient(f.listURL), client
	node.Entry = entry.New(entry.Config{
		ID:               node.ID,
		Seed:             uint64(f.started),
		Incarnation:      uint64(f.started),
		PeerAddress:      node.PeerAddress,
		Placement:        f.cfg.Placement,
		SnapshotInterval: f.cfg.SnapshotInterval,
	}, deps)
	f.servePeers(ctx, node.Entry, f.traffic.Peers.Listener(peersListener))
	f.spawn(func() { node.Entry.Run(ctx) })
	callers, err := f.serve(ctx, node.Entry.CallerHandler())
	if err != nil {
		return nil, err
	}
	operators, err := f.serve(ctx, node.Entry.OperatorHandler())
	if err != nil {
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
		if err := r.SetPower(power); err != nil && f.cfg.Deps.Logger != nil {
			f.cfg.Deps.Logger.Error("set power", "instance", id, "error", err)
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
	return f.serveCounted(ctx, h, &bytecount.Counter{})
}

func (f *Fleet) serveCounted(ctx context.Context, h http.Handler, wire *bytecount.Counter) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", oops.In("dev").With("step", "listen").Wrap(err)
	}
	ln = wire.Listener(ln)
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.spawn(func() { _ = srv.Serve(ln) }) // always returns ErrServerClosed
	f.spawn(func() {
		<-ctx.Done()
		_ = srv.Close() // nothing is left to do if this fails
	})
	return ln.Addr().String(), nil
}

// servePeers takes in the messages of other entries.
func (f *Fleet) servePeers(ctx context.Context, e *entry.Entry, ln net.Listener) {
	srv := grpc.NewServer(peer.ServerOptions()...)
	e.RegisterPeers(srv)
	f.spawn(func() { _ = srv.Serve(ln) }) // returns once the server is stopped
	f.spawn(func() {
		<-ctx.Done()
		srv.Stop()
	})
}

// list puts all entries and runners on the platform's list.
func (f *Fleet) list() error {
	var rows []infra.ListedInstance
	for _, n := range f.Entries {
		rows = append(rows, infra.ListedInstance{ID: string(n.ID), Role: infra.RoleEntry, Address: n.PeerAddress})
	}
	for _, r := range f.Runners {
		rows = append(rows, infra.ListedInstance{ID: string(r.ID), Role: infra.RoleEndpoint, Address: r.Address})
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

service "permit" {
  pool       = "main"
  idempotent = false
}

member "lawa" {
  weight = 1
}
`))

// Text returns a services text for the fleet: one pool of all runners, an
// idempotent service "survey", a non-idempotent service "permit" and one member
// "lawa".
func (f *Fleet) Text(slots int) string {
	var out bytes.Buffer
	_ = textTemplate.Execute(&out, struct { // the template is fixed and writes to memory
		Runners []*Runner
		Slots   int
	}{f.Runners, slots})
	return out.String()
}
