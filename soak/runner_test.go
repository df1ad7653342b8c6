package soak_test

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/platform/platformtest"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/banyanrail/banyanrail/storage"
	"github.com/shoenig/test/must"
)

const (
	// reportInterval is the time between two reports of a runner. Without a report
	// for reportExpiry the runner is removed, as on the platform.
	reportInterval = 500 * time.Millisecond
	reportExpiry   = 3 * reportInterval
	// stopTime is how long a runner takes to stop a task.
	stopTime = 100 * time.Millisecond
	// maxLease is the longest lease that a runner grants.
	maxLease = 10 * time.Second
	service  = "desk"
)

var (
	runnerCapacity = fleet.Capacity{CPU: 8000, Memory: 8000}
	taskNeeds      = fleet.Capacity{CPU: 1000, Memory: 100}
	longTaskNeeds  = fleet.Capacity{CPU: 400, Memory: 100}
)

// runnerHost runs one runner process after another at the same address.
type runnerHost struct {
	tb            *testbed
	name, address string
	proxy         *proxy

	mu    sync.Mutex
	boots int
	id    fleet.RunnerID
	// instance is the instance under the runner, and gone is set once it has ended for good.
	instance    fleet.InstanceID
	gone        bool
	incarnation fleet.Incarnation
	process     *runnerProcess
	// restarts is the number of incarnations under the id of the one before, cuts that of
	// those which were cut off while they were up.
	restarts, cuts int
}

func (tb *testbed) addRunner(t *testing.T, name, address string) *runnerHost {
	t.Helper()
	h := &runnerHost{tb: tb, name: name, address: address, instance: fleet.InstanceID(name), proxy: newProxy(t, address)}
	h.proxy.late = &lateCalls{runner: h, rng: rand.New(rand.NewSource(tb.seed + int64(len(tb.runners))))}
	must.NoError(t, h.boot(true))
	t.Cleanup(h.crash)
	tb.wg.Go(func() { h.report(tb.ctx) })
	return h
}

// boot starts a new incarnation, under the previous id or a new one, unless one is up.
func (h *runnerHost) boot(newID bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil || h.gone {
		return nil
	}
	h.boots++
	if !newID {
		h.restarts++
	} else {
		h.id = fleet.RunnerID(fmt.Sprintf("%s-%d", h.name, h.boots))
	}
	h.incarnation = h.tb.newIncarnation()
	var err error
	h.process, err = startRunner(runnerSettings{
		ID: h.id, Incarnation: h.incarnation, Address: h.address, ClockRate: 1 - 0.02*rand.Float64(),
	}, h.addRun)
	h.tb.log.Printf("%s (%d) started, error %v", h.id, h.incarnation, err)
	return err
}

// currentIncarnation returns the incarnation that is up, or the last one that was.
func (h *runnerHost) currentIncarnation() fleet.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation
}

// addRun records an event of a run.
func (h *runnerHost) addRun(e standin.RunEvent) {
	h.tb.history.addRun(e)
	h.tb.log.Printf("%s (%d) %v attempt %d at %s: started %v, outcome %q, acknowledged %v, lease expired %v", e.Runner, e.Incarnation,
		e.Task, e.Attempt, e.At.Format("15:04:05.000000"), e.Started, e.Outcome, e.Acknowledged, e.LeaseExpired)
}

// endForGood kills the current incarnation and ends its instance: lists have it no longer.
func (h *runnerHost) endForGood() {
	h.crash()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		h.gone = true
	}
}

// ended reports whether the instance has ended for good.
func (h *runnerHost) ended() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gone
}

// join boots a runner on another instance in place of one that has ended for good.
func (h *runnerHost) join(t *testing.T) {
	t.Helper()
	h.mu.Lock()
	if h.gone {
		h.gone, h.instance = false, fleet.InstanceID(fmt.Sprintf("%s-after-%d", h.name, h.boots))
	}
	h.mu.Unlock()
	h.tb.bootRunner(t, h, true)
}

// instances returns what the list of instances shows.
func (tb *testbed) instances() []fleet.ManagedInstance {
	var out []fleet.ManagedInstance
	for _, h := range tb.runners {
		h.mu.Lock()
		i := fleet.ManagedInstance{ID: h.instance, Pool: service, State: fleet.InstanceDown}
		if h.process != nil {
			i.State, i.Runner = fleet.InstanceUp, h.id
		}
		if !h.gone {
			out = append(out, i)
		}
		h.mu.Unlock()
	}
	return out
}

// up reports whether a process of the runner is up.
func (h *runnerHost) up() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process != nil
}

// addCut counts that a restarted runner has been cut off.
func (h *runnerHost) addCut() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil && h.restarts > 0 {
		h.cuts++
		h.tb.log.Printf("%s (%d) cut off", h.id, h.incarnation)
	}
}

// newIncarnation returns the time in Unix milliseconds, or the next later one that no
// runner has been given.
func (tb *testbed) newIncarnation() fleet.Incarnation {
	for {
		last := tb.lastIncarnation.Load()
		next := max(last+1, time.Now().UnixMilli())
		if tb.lastIncarnation.CompareAndSwap(last, next) {
			return fleet.Incarnation(next)
		}
	}
}

// crash kills the current incarnation, with all its runs.
func (h *runnerHost) crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return
	}
	h.process.kill()
	h.process = nil
	h.tb.history.addCrash(h.incarnation)
	h.tb.log.Printf("%s (%d) killed", h.id, h.incarnation)
	h.proxy.resetAll()
}

// report writes the runner's reports to the store, and removes runners whose
// reports have expired.
func (h *runnerHost) report(ctx context.Context) {
	lastSeen := make(map[fleet.RunnerID]time.Time)
	for loop.Sleep(ctx, reportInterval) == nil {
		h.mu.Lock()
		id, up := h.id, h.process != nil
		value, err := platformtest.EncodeRunner(&fleet.Runner{
			ID: id, Incarnation: h.incarnation, Service: service, Address: h.proxy.address(), DataCentre: "z0", Capacity: runnerCapacity,
			Instance: h.instance,
		})
		h.mu.Unlock()
		if up && err == nil && !h.proxy.hasMode(dropAll, keepBack) {
			h.storeRecord(ctx, id, value)
			lastSeen[id] = time.Now()
		}
		for expired, at := range lastSeen {
			if time.Since(at) > reportExpiry && h.storeRecord(ctx, expired, nil) {
				delete(lastSeen, expired)
			}
		}
	}
}

func (h *runnerHost) storeRecord(ctx context.Context, id fleet.RunnerID, value []byte) bool {
	return h.tb.store.Append(ctx, storage.TopicRunners, []storage.Record{{Key: string(id), Value: value}}) == nil
}
