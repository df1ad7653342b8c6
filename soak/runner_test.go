package soak_test

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
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
	// heartbeat is how often runners report, and reportLife the silence after
	// which their report is dropped, as on the platform.
	heartbeat  = 500 * time.Millisecond
	reportLife = 3 * heartbeat
	// stopTime is how long runners take for a stop.
	stopTime = 100 * time.Millisecond
	service  = "desk"
)

var (
	runnerRoom = fleet.Capacity{CPU: 8000, Memory: 8000}
	taskNeeds  = fleet.Capacity{CPU: 1000, Memory: 100}
)

// runnerHost is where runners live, one life after the other, at one address.
type runnerHost struct {
	w     *world
	name  string
	ln    net.Listener
	front *proxy

	mu    sync.Mutex
	lives int
	id    fleet.RunnerID
	born  fleet.Incarnation
	serve http.Handler
	end   context.CancelFunc
}

func (w *world) addRunner(t *testing.T, name string) *runnerHost {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	h := &runnerHost{w: w, name: name, ln: ln, front: newProxy(t, ln.Addr().String())}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	w.wg.Go(func() { _ = srv.Serve(ln) }) // ends when it is closed
	w.wg.Go(func() { h.report(w.ctx) })
	t.Cleanup(func() { h.crash(); _ = srv.Close() })
	h.boot(true)
	return h
}

// ServeHTTP hands a call to the present life.
func (h *runnerHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	serve := h.serve
	h.mu.Unlock()
	if serve == nil {
		panic(http.ErrAbortHandler)
	}
	serve.ServeHTTP(w, r)
}

// boot starts a new life, under the id of the last one or another.
func (h *runnerHost) boot(fresh bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.serve != nil {
		return
	}
	h.lives++
	if fresh {
		h.id = fleet.RunnerID(fmt.Sprintf("%s-%d", h.name, h.lives))
	}
	h.born = fleet.Incarnation(time.Now().UnixMilli()*100) + fleet.Incarnation(h.w.nextLife.Add(1)%100)
	runner := standin.NewTaskRunner(standin.TaskRunnerConfig{
		ID: h.id, Incarnation: h.born, Capacity: runnerRoom, ClockRate: 1 - 0.02*rand.Float64(), StopDuration: stopTime,
		Plan: h.w.plan, OnRunEvent: h.w.history.ran, Clock: loop.BootClock(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.w.wg.Go(func() { runner.Run(ctx) })
	h.end, h.serve = cancel, platformtest.RunnerHandler(h.id, runner)
}

// crash ends the present life with all that it runs.
func (h *runnerHost) crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.serve == nil {
		return
	}
	h.end()
	h.serve = nil
	h.w.history.died(h.born)
	h.front.breakAll()
}

// report tells the store about the runner, and that it has gone.
func (h *runnerHost) report(ctx context.Context) {
	lastSeen := make(map[fleet.RunnerID]time.Time)
	for loop.Sleep(ctx, heartbeat) == nil {
		h.mu.Lock()
		id, up := h.id, h.serve != nil
		value, err := platformtest.EncodeRunner(&fleet.Runner{
			ID: id, Incarnation: h.born, Service: service, Address: h.front.address(), DataCentre: "z0", Capacity: runnerRoom,
			Instance: fleet.InstanceID(h.name),
		})
		h.mu.Unlock()
		if up && err == nil && !h.front.is(silence) {
			h.tell(ctx, id, value)
			lastSeen[id] = time.Now()
		}
		for gone, at := range lastSeen {
			if time.Since(at) > reportLife && h.tell(ctx, gone, nil) {
				delete(lastSeen, gone)
			}
		}
	}
}

func (h *runnerHost) tell(ctx context.Context, id fleet.RunnerID, value []byte) bool {
	return h.w.store.Append(ctx, storage.TopicRunners, []storage.Record{{Key: string(id), Value: value}}) == nil
}
