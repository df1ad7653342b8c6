package soak_test

import (
	"fmt"
	"math/rand"
	"syscall"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/storage"
)

// faultKind is a kind of fault or of planned maintenance.
type faultKind int

const (
	killEntry faultKind = iota
	killAllEntries
	pauseEntry
	stopEntry
	rollEntries
	reloadEntry
	disturbStore
	disturbRunner
	disturbClients
	storeDown
	storeCompacted
	crashRunner
	replaceRunner
	reconfigure
	faultKinds
	// endInstance is drawn apart from the others.
	endInstance
)

var faultNames = [...]string{
	"kill entry", "kill all entries", "pause entry", "stop entry", "roll entries", "reload entry", "disturb store",
	"disturb runner", "disturb clients", "store down", "store compacted", "crash runner", "replace runner", "reconfigure", "", "end instance",
}

// fault is a randomly drawn fault. Faults may overlap.
type fault struct {
	kind  faultKind
	start time.Duration
	// duration is how long the fault lasts, or the time before a process restarts.
	duration time.Duration
	// target is the index of the entry or the runner.
	target int
	mode   mode
}

func (f fault) String() string {
	return fmt.Sprintf("%s %d (%v) at %v for %v", faultNames[f.kind], f.target, f.mode, f.start, f.duration)
}

// drawFaults draws the faults that begin within a period. Many begin shortly after
// the previous one or before it.
func (tb *testbed) drawFaults(within time.Duration) []fault {
	var out []fault
	at := time.Duration(0)
	for {
		at += time.Duration(tb.rng.Int63n(int64(1500 * time.Millisecond)))
		if tb.rng.Intn(3) == 0 {
			at -= time.Duration(tb.rng.Int63n(int64(time.Second)))
		}
		if at > within {
			return out
		}
		out = append(out, fault{
			kind: faultKind(tb.rng.Intn(int(faultKinds))), start: max(0, at),
			duration: time.Duration(100+tb.rng.Intn(2500)) * time.Millisecond,
			target:   tb.rng.Intn(entryCount), mode: mode(1 + tb.rng.Intn(int(delay))),
		})
	}
}

// drawEndings draws instances that end for good. Their draws leave those of other faults as
// they are.
func (tb *testbed) drawEndings(within time.Duration) []fault {
	rng := rand.New(rand.NewSource(tb.seed))
	var out []fault
	for range 1 + rng.Intn(2) {
		out = append(out, fault{
			kind: endInstance, start: time.Duration(rng.Int63n(int64(within))), duration: time.Duration(1000+rng.Intn(5000)) * time.Millisecond,
			target: rng.Intn(entryCount),
		})
	}
	return out
}

// inject applies a fault and reverts it.
func (tb *testbed) inject(t *testing.T, f fault) {
	e, r := tb.entries[f.target], tb.runners[f.target]
	switch f.kind {
	case killEntry:
		tb.restart(t, e, f.duration, syscall.SIGKILL)
	case killAllEntries:
		for _, e := range tb.entries {
			e.signal(syscall.SIGKILL)
		}
		for _, e := range tb.entries {
			tb.restart(t, e, f.duration/entryCount, syscall.SIGKILL)
		}
	case pauseEntry:
		e.signal(syscall.SIGSTOP)
		tb.sleep(f.duration)
		e.signal(syscall.SIGCONT)
	case stopEntry:
		tb.restart(t, e, f.duration, syscall.SIGTERM)
	case rollEntries:
		for _, e := range tb.entries {
			tb.restart(t, e, 0, syscall.SIGTERM)
		}
	case reloadEntry:
		e.signal(syscall.SIGHUP)
	case reconfigure:
		tb.configure(t)
	default:
		tb.injectExternal(t, f, e, r)
	}
}

// injectExternal applies faults of the network, the store and the runners.
func (tb *testbed) injectExternal(t *testing.T, f fault, e *entryProcess, r *runnerHost) {
	switch f.kind {
	case disturbStore:
		tb.setModeFor(e.storeProxy, f)
	case disturbClients:
		tb.setModeFor(e.clientProxy, f)
	case disturbRunner:
		tb.setModeFor(r.proxy, f)
	case storeDown:
		tb.store.SetDown(true)
		tb.sleep(f.duration)
		tb.store.SetDown(false)
	case storeCompacted:
		for _, topic := range []storage.Topic{storage.TopicTenure, storage.TopicLedger, storage.TopicOperators, storage.TopicRunners} {
			tb.store.Compact(topic)
		}
	case endInstance:
		r.endForGood()
		tb.sleep(f.duration)
		r.join(t)
	case crashRunner, replaceRunner:
		r.crash()
		tb.sleep(f.duration)
		tb.bootRunner(t, r, f.kind == replaceRunner)
	default:
	}
}

func (tb *testbed) sleep(d time.Duration) { _ = loop.Sleep(tb.ctx, d) }

func (tb *testbed) setModeFor(p *proxy, f fault) {
	p.setMode(f.mode)
	tb.sleep(f.duration)
	p.setMode(forward)
}

func (tb *testbed) bootRunner(t *testing.T, r *runnerHost, newID bool) {
	if err := r.boot(newID); err != nil {
		t.Errorf("cannot start runner: %v", err)
	}
}

// restart sends a signal to an entry's process, waits until it has ended and for
// downTime, and starts it again.
func (tb *testbed) restart(t *testing.T, e *entryProcess, downTime time.Duration, s syscall.Signal) {
	<-e.signal(s)
	tb.sleep(downTime)
	if err := e.start(); err != nil {
		t.Errorf("cannot start entry: %v", err)
	}
}
