package soak_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/storage"
)

// faultKind is one kind of trouble or of planned work.
type faultKind int

const (
	killEntry faultKind = iota
	killAllEntries
	pauseEntry
	stopEntry
	rollEntries
	hangUp
	disturbStore
	disturbRunner
	disturbClients
	storeDown
	storeCompacted
	crashRunner
	replaceRunner
	reconfigure
	faultKinds
)

var faultNames = [...]string{
	"kill entry", "kill all entries", "pause entry", "stop entry", "roll entries", "hang up", "disturb store",
	"disturb runner", "disturb clients", "store down", "store compacted", "crash runner", "replace runner", "reconfigure",
}

// fault is one drawn fault. Faults overlap.
type fault struct {
	kind faultKind
	at   time.Duration
	// lasts is how long it lasts, or the pause before a process is started again.
	lasts time.Duration
	// target is the number of the entry or the runner.
	target int
	mode   mode
}

func (f fault) String() string {
	return fmt.Sprintf("%s %d (%v) at %v for %v", faultNames[f.kind], f.target, f.mode, f.at, f.lasts)
}

// drawFaults draws what goes wrong within a time. Often one thing follows the
// other at once.
func (w *world) drawFaults(within time.Duration) []fault {
	var out []fault
	at := time.Duration(0)
	for {
		at += time.Duration(w.rng.Int63n(int64(1500 * time.Millisecond)))
		if w.rng.Intn(3) == 0 {
			at -= time.Duration(w.rng.Int63n(int64(time.Second)))
		}
		if at > within {
			return out
		}
		out = append(out, fault{
			kind: faultKind(w.rng.Intn(int(faultKinds))), at: max(0, at),
			lasts:  time.Duration(100+w.rng.Intn(2500)) * time.Millisecond,
			target: w.rng.Intn(entryCount), mode: mode(1 + w.rng.Intn(int(hold))),
		})
	}
}

// inject carries out a fault and undoes it.
func (w *world) inject(t *testing.T, f fault) {
	e, r := w.entries[f.target], w.runners[f.target]
	switch f.kind {
	case killEntry:
		w.restart(t, e, f.lasts, syscall.SIGKILL)
	case killAllEntries:
		for _, e := range w.entries {
			e.signal(syscall.SIGKILL)
		}
		for _, e := range w.entries {
			w.restart(t, e, f.lasts/entryCount, syscall.SIGKILL)
		}
	case pauseEntry:
		e.signal(syscall.SIGSTOP)
		w.pause(f.lasts)
		e.signal(syscall.SIGCONT)
	case stopEntry:
		w.restart(t, e, f.lasts, syscall.SIGTERM)
	case rollEntries:
		for _, e := range w.entries {
			w.restart(t, e, 0, syscall.SIGTERM)
		}
	case hangUp:
		e.signal(syscall.SIGHUP)
	case reconfigure:
		w.configure(t)
	default:
		w.injectOutside(f, e, r)
	}
}

// injectOutside carries out the faults of the network, the store and runners.
func (w *world) injectOutside(f fault, e *entryProcess, r *runnerHost) {
	switch f.kind {
	case disturbStore:
		w.disturb(e.store, f)
	case disturbClients:
		w.disturb(e.front, f)
	case disturbRunner:
		w.disturb(r.front, f)
	case storeDown:
		w.store.SetDown(true)
		w.pause(f.lasts)
		w.store.SetDown(false)
	case storeCompacted:
		for _, topic := range []storage.Topic{storage.TopicTenure, storage.TopicLedger, storage.TopicOperators, storage.TopicRunners} {
			w.store.Compact(topic)
		}
	case crashRunner, replaceRunner:
		r.crash()
		w.pause(f.lasts)
		r.boot(f.kind == replaceRunner)
	default:
	}
}

func (w *world) pause(d time.Duration) { _ = loop.Sleep(w.ctx, d) }

func (w *world) disturb(p *proxy, f fault) {
	p.set(f.mode)
	w.pause(f.lasts)
	p.set(pass)
}

// restart ends an entry's process by a signal, waits, and starts it again.
func (w *world) restart(t *testing.T, e *entryProcess, after time.Duration, s syscall.Signal) {
	<-e.signal(s)
	w.pause(after)
	if err := e.start(); err != nil {
		t.Errorf("entry not started: %v", err)
	}
}
