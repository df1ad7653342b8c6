// Package dev runs a whole fleet in one process, over loopback: stand-ins for the
// platform and the endpoints, and real entries. "banyanrail dev", experiments and
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

// Config holds the parameters of a fleet.
type Config struct {
	// Entries is the number of entry instances.
	Entries int
	// Runners is the number of endpoints.
	Runners int
	// Slots is the number of requests that one endpoint runs concurrently.
	Slots int
	// ProcessingTime is how long an endpoint takes to process a request.
	ProcessingTime time.Duration
	// Placement selects the entries that grant slots.
	Placement reduce.Placement
	// SnapshotInterval is the time between snapshots; zero means the default.
	SnapshotInterval time.Duration
	// Deps are the dependencies of every entry. The fleet sets Log, Instances and
	// InstanceCommander itself.
	Deps entry.Deps
	// Tap returns the tap of an entry. If it is nil, Deps.Tap is used.
	Tap func(fleet.EntryID) entry.Tap
	// Traffic counts the bytes that the entries send and receive, unless it is nil.
	Traffic *Traffic
}

// Traffic counts bytes in both directions: between entries, between entries and
// the log and the worker control, and between entries and the platform's list of
// instances. It excludes TCP and IP headers.
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

// EntryInstance is a running entry with its addresses.
type EntryInstance struct {
	ID    fleet.EntryID
	Entry *entry.Entry
	// CallersURL and OperatorsURL are the base URLs of the interfaces for callers
	// and for operators.
	CallersURL   string
	OperatorsURL string
	// PeerAddress is the address for other entries.
	PeerAddress string
	// Log is the entry's client of the log.
	Log *LogSwitch
	// Kill stops the entry at once, without a graceful shutdown.
	Kill context.CancelFunc
}

// Start starts a fleet. The caller has to call Stop.
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
		if _, err := f.addEntry(false); err != nil {
			return err
		}
	}
	return f.updateList()
}

// AddEntry starts one more entry and adds it to the platform's list of instances.
// If logDisconnected is set, the entry can't reach the log until
// Log.SetDisconnected(false) is called.
func (f *Fleet) AddEntry(logDisconnected bool) (*EntryInstance, error) {
	inst, err := f.addEntry(logDisconnected)
	if err != nil {
		return nil, err
	}
	return inst, f.updateList()
}

func (f *Fleet) addEntry(logDisconnected bool) (*EntryInstance, error) {
	inst, err := f.newEntry(logDisconnected)
	if err != nil {
		return nil, err
	}
	f.Entries = append(f.Entries, inst)
	return inst, nil
}

// newEntry starts an entry under an id that was not used before.
func (f *Fleet) newEntry(logDisconnected bool) (*EntryInstance, error) {
	f.started++
	return f.startEntry(fmt.Sprintf("entry-%d", f.started), logDisconnected)
}

func (f *Fleet) startEntry(id string, logDisconnected bool) (*EntryInstance, error) {
	ctx, kill := context.WithCancel(f.ctx)
	peersListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		kill()
		return nil, oops.In("dev").With("step", "listen").Wrap(err)
	}
	client := infra.NewClient(f.platformURL)
	inst := &EntryInstance{
		ID:          fleet.EntryID(id),
		Kill:        kill,
		Log:         NewLogSwitch(client),
		PeerAddress: peersListener.Addr().String(),
	}
	inst.Log.SetDisconnected(logDisconnected)
	deps := f.cfg.Deps
	if f.cfg.Tap != nil {
		deps.Tap = f.cfg.Tap(inst.ID)
	}
	deps.Log, deps.Instances, deps.InstanceCommander = inst.Log, infra.NewClient(f.listURL), client
	inst.Entry = entry.New(entry.Config{
		ID:               inst.ID,
		Seed:             uint64(f.started),
		Incarnation:      uint64(f.started),
		PeerAddress:      inst.PeerAddress,
		Placement:        f.cfg.Placement,
		SnapshotInterval: f.cfg.SnapshotInterval,
	}, deps)
	f.servePeers(ctx, inst.Entry, f.traffic.Peers.Listener(peersListener))
	f.spawn(func() { inst.Entry.Run(ctx) })
	callers, err := f.serve(ctx, inst.Entry.CallerHandler())
	if err != nil {
		return nil, err
	}
	operators, err := f.serve(ctx, inst.Entry.OperatorHandler())
	if err != nil {
		return nil, err
	}
	inst.CallersURL, inst.OperatorsURL = "http://"+callers, "http://"+operators
	return inst, nil
}

// setPower applies a power change by the worker control to the instance's runner.
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

// Stop stops all parts of the fleet and waits until their goroutines have ended.
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

func (f *Fleet) serveCounted(ctx context.Context, h http.Handler, counter *bytecount.Counter) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", oops.In("dev").With("step", "listen").Wrap(err)
	}
	ln = counter.Listener(ln)
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.spawn(func() { _ = srv.Serve(ln) }) // always returns ErrServerClosed
	f.spawn(func() {
		<-ctx.Done()
		_ = srv.Close() // the error is irrelevant on shutdown
	})
	return ln.Addr().String(), nil
}

// servePeers serves the entry's interface for other entries.
func (f *Fleet) servePeers(ctx context.Context, e *entry.Entry, ln net.Listener) {
	srv := grpc.NewServer(peer.ServerOptions()...)
	e.RegisterPeers(srv)
	f.spawn(func() { _ = srv.Serve(ln) }) // returns once the server is stopped
	f.spawn(func() {
		<-ctx.Done()
		srv.Stop()
	})
}

// updateList replaces the platform's list of instances by all entries and runners.
func (f *Fleet) updateList() error {
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
	_ = textTemplate.Execute(&out, struct { // can't fail: the template is constant and the buffer is in memory
		Runners []*Runner
		Slots   int
	}{f.Runners, slots})
	return out.String()
}
