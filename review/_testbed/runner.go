package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/platform/platformtest"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/banyanrail/banyanrail/storage"
)

// stopTime is how long a runner takes to stop a task.
const stopTime = 100 * time.Millisecond

// firstReportDelay is the time from a runner's start, when it answers calls, to its
// first report.
const firstReportDelay = 400 * time.Millisecond

// callsRecorded is the time after a runner's start in which its calls are recorded in
// full.
const callsRecorded = 1500 * time.Millisecond

// runnerHost runs one incarnation of a runner after another at one address.
type runnerHost struct {
	b        *bed
	instance fleet.InstanceID
	capacity fleet.Capacity
	proxy    *proxy
	// labels are those of the next incarnation.
	labels []string

	mu          sync.Mutex
	boots       int
	id          fleet.RunnerID
	incarnation fleet.Incarnation
	handler     http.Handler
	stop        context.CancelFunc
	// crashes holds when incarnations ended.
	crashes map[life]time.Time
	// labelsOf holds the labels of each incarnation.
	labelsOf map[life][]string
	// bootedAt is when the current incarnation began.
	bootedAt time.Time
}

// life identifies an incarnation of a runner.
type life struct {
	id          fleet.RunnerID
	incarnation fleet.Incarnation
}

func lifeOf(e standin.RunEvent) life { return life{id: e.Runner, incarnation: e.Incarnation} }

func (b *bed) addRunner(instance string, capacity fleet.Capacity, labels ...string) (*runnerHost, error) {
	h := &runnerHost{b: b, instance: fleet.InstanceID(instance), capacity: capacity, labels: labels, crashes: make(map[life]time.Time), labelsOf: make(map[life][]string)}
	address, err := b.serve(h)
	if err != nil {
		return nil, err
	}
	if h.proxy, err = newProxy(address); err != nil {
		return nil, err
	}
	b.runners = append(b.runners, h)
	h.boot(true)
	return h, nil
}

// ServeHTTP passes a call to the current incarnation, if there is one.
func (h *runnerHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	handler, id, age := h.handler, h.id, time.Since(h.bootedAt)
	h.mu.Unlock()
	if handler == nil {
		panic(http.ErrAbortHandler)
	}
	if age < callsRecorded {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		h.b.rec.printf("runner %s, %d ms after its start: %s %s", id, age.Milliseconds(), r.URL.Path, body)
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	handler.ServeHTTP(w, r)
}

// boot starts an incarnation, under the previous id or a new one.
func (h *runnerHost) boot(newID bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.boots++
	if newID {
		h.id = fleet.RunnerID(fmt.Sprintf("i-%s-%d", h.instance, h.boots))
	}
	h.bootedAt = time.Now()
	h.incarnation = fleet.Incarnation(h.bootedAt.UnixMilli())
	runner := standin.NewTaskRunner(standin.TaskRunnerConfig{
		ID: h.id, Incarnation: h.incarnation, Capacity: h.capacity, StopDuration: stopTime,
		Plan: h.b.plan, OnRunEvent: h.b.addRun, Clock: loop.BootClock(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	go runner.Run(ctx)
	h.stop, h.handler = cancel, platformtest.RunnerHandler(h.id, runner)
	h.labelsOf[life{h.id, h.incarnation}] = h.labels
	h.proxy.resetAll()
	h.proxy.setMode(forward)
	h.b.rec.printf("runner %s starts on %s, born %d, labels %q", h.id, h.instance, h.incarnation, h.labels)
	go h.report(ctx, h.id, h.incarnation, h.labels)
}

// crash ends the current incarnation and all its runs. Its host resets connections.
func (h *runnerHost) crash() { h.end(refuse) }

// losePower ends the current incarnation and all its runs, and its host is silent.
func (h *runnerHost) losePower() { h.end(dark) }

func (h *runnerHost) end(m mode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.handler == nil {
		return
	}
	h.proxy.setMode(m)
	h.stop()
	h.handler = nil
	h.crashes[life{h.id, h.incarnation}] = time.Now()
	h.b.rec.printf("runner %s ends", h.id)
}

// report writes the reports of one incarnation. Its entry is removed three heartbeats
// after the last one, unless a later incarnation has taken it over.
func (h *runnerHost) report(ctx context.Context, id fleet.RunnerID, incarnation fleet.Incarnation, labels []string) {
	wait := firstReportDelay
	for {
		select {
		case <-ctx.Done():
			time.Sleep(3 * heartbeat)
			h.mu.Lock()
			replaced := h.id == id && h.incarnation != incarnation
			h.mu.Unlock()
			if !replaced {
				h.storeRecord(id, nil)
			}
			return
		case <-time.After(wait):
		}
		wait = heartbeat
		value, err := platformtest.EncodeRunner(&fleet.Runner{
			ID: id, Incarnation: incarnation, Service: service, Address: h.proxy.address(), DataCentre: "z0", Capacity: h.capacity,
			Instance: h.instance, Labels: labels,
		})
		if err == nil {
			h.storeRecord(id, value)
		}
	}
}

func (h *runnerHost) storeRecord(id fleet.RunnerID, value []byte) {
	_ = h.b.store.Append(context.Background(), storage.TopicRunners, []storage.Record{{Key: string(id), Value: value}}) // refused while the store is down
}

// plan returns the behaviour of a task.
func (b *bed) plan(id fleet.TaskID) standin.TaskPlan {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.plans[id.Job]
}

func (b *bed) addRun(e standin.RunEvent) {
	b.mu.Lock()
	b.runs = append(b.runs, e)
	b.mu.Unlock()
	what := string(e.Outcome)
	switch {
	case e.Started:
		what = "starts"
	case e.Acknowledged:
		what += ", acknowledged"
	}
	b.rec.printAt(e.At, "task %v attempt %d on %s: %s", e.Task, e.Attempt, e.Runner, what)
}

// interval is the time of one run.
type interval struct {
	event      standin.RunEvent
	begin, end time.Time
}

// intervals returns the runs of each task. A run that has not ended lasts until now.
func (b *bed) intervals() map[fleet.TaskID][]interval {
	now := time.Now()
	crashes := make(map[life]time.Time)
	for _, r := range b.runners {
		r.mu.Lock()
		maps.Copy(crashes, r.crashes)
		r.mu.Unlock()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	type key struct {
		life
		task    fleet.TaskID
		attempt int64
	}
	keyOf := func(e standin.RunEvent) key { return key{lifeOf(e), e.Task, e.Attempt} }
	ends := make(map[key]time.Time)
	for _, e := range b.runs {
		if !e.Started && !e.Acknowledged {
			ends[keyOf(e)] = e.At
		}
	}
	out := make(map[fleet.TaskID][]interval)
	for _, e := range b.runs {
		if !e.Started {
			continue
		}
		run := interval{event: e, begin: e.At, end: now}
		if at, ok := crashes[lifeOf(e)]; ok {
			run.end = at
		}
		if at, ok := ends[keyOf(e)]; ok && at.Before(run.end) {
			run.end = at
		}
		out[e.Task] = append(out[e.Task], run)
	}
	return out
}

// runnerOf returns the runner on which a task of a job runs now, or nil.
func (b *bed) runnerOf(job fleet.JobID) *runnerHost {
	for task, runs := range b.intervals() {
		last := runs[len(runs)-1]
		if task.Job != job || time.Since(last.end) > 50*time.Millisecond {
			continue
		}
		for _, r := range b.runners {
			r.mu.Lock()
			found := r.incarnation == last.event.Incarnation && r.id == last.event.Runner && r.handler != nil
			r.mu.Unlock()
			if found {
				return r
			}
		}
	}
	return nil
}
