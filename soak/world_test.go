package soak_test

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/platform/platformtest"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/banyanrail/banyanrail/storage"
	"github.com/shoenig/test/must"
)

// Sizes of a run.
const (
	entryCount  = 5
	runnerCount = 6
	clientCount = 5
)

// world is one run: the store and the runners, played in this process, and the
// entries, each a process of its own.
type world struct {
	ctx     context.Context
	rng     *rand.Rand
	store   *standin.Store
	history *history
	entries []*entryProcess
	runners []*runnerHost
	wg      sync.WaitGroup
	// version is that of the newest configuration, which adds one queue to the
	// first.
	version  atomic.Int64
	nextLife atomic.Int64
}

// nextNetwork numbers the runs, so that each has addresses of its own;
// processNetwork tells soaks apart that run at the same time.
var (
	nextNetwork    atomic.Int64
	processNetwork = 16 + os.Getpid()%200
)

func newWorld(t *testing.T, seed int64, binary, dir string) *world {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{ctx: ctx, rng: rand.New(rand.NewSource(seed)), store: standin.NewStore(), history: newHistory()}
	t.Cleanup(func() { cancel(); w.wg.Wait() })
	srv := httptest.NewServer(platformtest.StoreHandler(w.store))
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	w.configure(t)
	for i := range runnerCount {
		w.runners = append(w.runners, w.addRunner(t, fmt.Sprintf("desk-%d", i)))
	}
	network := nextNetwork.Add(1)
	// With every other seed the owner calls no runner by itself.
	callsAlone := (seed % 2) * runnerCount * 2
	for i := range entryCount {
		ip := fmt.Sprintf("127.%d.%d.%d", processNetwork, network, i+1)
		w.entries = append(w.entries, newEntry(t, binary, dir, fmt.Sprintf("e%d", i), ip, strings.TrimPrefix(srv.URL, "http://"), callsAlone))
	}
	return w
}

// configure publishes a configuration with a new queue beside the one that
// clients use.
func (w *world) configure(t *testing.T) {
	t.Helper()
	queue := func(name string) *fleet.Queue {
		return &fleet.Queue{
			Name: fleet.QueueName(name), Host: host, Prefix: "/" + name + "/", Service: service, MaxAttempts: attempts, Stretch: 2,
			Slack: time.Second,
		}
	}
	version := w.version.Add(1)
	value, err := platformtest.EncodeConfiguration(version,
		[]*fleet.Queue{queue("plans"), queue(fmt.Sprintf("extra%d", version))}, []*fleet.JobService{{Name: service, EnforcesCapacity: true}})
	must.NoError(t, err)
	for w.store.Append(w.ctx, storage.TopicOperators, []storage.Record{{Key: "config", Value: value}}) != nil {
		w.pause(heartbeat) // the store is down
	}
}

// plan tells what a task does: the job's text holds its length in milliseconds.
func (w *world) plan(id fleet.TaskID) standin.TaskPlan {
	plan := standin.TaskPlan{Needs: taskNeeds, Duration: 100 * time.Millisecond}
	w.history.with(id.Job, func(j *jobHistory) {
		if j == nil {
			return
		}
		ms, err := strconv.Atoi(j.spec.Text)
		if err == nil {
			plan.Duration = time.Duration(ms) * time.Millisecond
		}
		plan.Fails, plan.LongRunning = j.fails, j.spec.Steps[id.Step].LongRunning
	})
	return plan
}

// checkConfiguration fails the run if an entry does not serve the newest queue,
// or still serves the one before.
func (w *world) checkConfiguration() {
	newest := w.version.Load()
	for _, e := range w.entries {
		for version, want := range map[int64]int{newest: http.StatusOK, newest - 1: http.StatusNotFound} {
			if version == 0 {
				continue
			}
			req, err := http.NewRequestWithContext(w.ctx, http.MethodGet, fmt.Sprintf("http://%s/extra%d/", e.front.address(), version), nil)
			if err != nil {
				w.history.fault("call cannot be written: %v", err)
				continue
			}
			req.Host = host
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				w.history.fault("%s does not answer at the end: %v", e.ip, err)
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode != want {
				w.history.fault("%s answers %d about the queue of version %d, %d is in force", e.ip, resp.StatusCode, version, newest)
			}
		}
	}
}
