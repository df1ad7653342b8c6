package soak_test

import (
	"context"
	"fmt"
	"log"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
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
	// longClientCount is the number of clients of long jobs in runs with restarts, of
	// clientCount.
	longClientCount = 3
)

// testbed holds the parts of one run: a stand-in for the store in this process, and the
// runners and the entries as separate processes.
type testbed struct {
	ctx     context.Context
	seed    int64
	rng     *rand.Rand
	store   *standin.Store
	history *history
	// log is written to platform.log: faults, late calls and the events of runs.
	log     *log.Logger
	entries []*entryProcess
	runners []*runnerHost
	wg      sync.WaitGroup
	// version is the version of the newest configuration. Each version has a queue
	// of its own beside the clients' queue. publishing keeps versions in order, as the
	// platform's store takes no lower one.
	version         atomic.Int64
	publishing      sync.Mutex
	lastIncarnation atomic.Int64
	// keys are those of the tenant whose key changes.
	keys keyRing
	// bursts has a client of long jobs submit some at once.
	bursts chan struct{}
	// ownersDisrupted is the number of processes that got a signal while they owned the jobs.
	ownersDisrupted atomic.Int64
	// crowdConnections is the number of connections of crowds that were open.
	crowdConnections atomic.Int64
}

// nextNetwork and processNetwork select the loopback addresses of a run:
// nextNetwork differs between the runs of this process, processNetwork between
// processes that run at the same time.
var (
	nextNetwork    atomic.Int64
	processNetwork = 16 + os.Getpid()%200
)

func newTestbed(t *testing.T, seed int64, binary, dir string) *testbed {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	tb := &testbed{ctx: ctx, seed: seed, bursts: make(chan struct{}), rng: rand.New(rand.NewSource(seed)), store: standin.NewStore(), history: newHistory()}
	file, err := os.Create(filepath.Join(dir, "platform.log"))
	must.NoError(t, err)
	t.Cleanup(func() { cancel(); tb.wg.Wait(); _ = file.Close() })
	tb.log = log.New(file, "", log.Ltime|log.Lmicroseconds|log.LUTC)
	srv := httptest.NewServer(platformtest.StoreHandler(tb.store))
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	tb.publish(t, true)
	network := nextNetwork.Add(1)
	ip := func(host int) string { return fmt.Sprintf("127.%d.%d.%d", processNetwork, network, host) }
	for i := range runnerCount {
		address := fmt.Sprintf("%s:%d", ip(1+entryCount+i), runnerPort)
		tb.runners = append(tb.runners, tb.addRunner(t, fmt.Sprintf("desk-%d", i), address))
	}
	instances := httptest.NewServer(platformtest.InstancesHandler(tb.instances))
	t.Cleanup(func() { instances.CloseClientConnections(); instances.Close() })
	// With every other seed the owner calls no runner itself.
	maxDirectRunners := (seed % 2) * runnerCount * 2
	for i := range entryCount {
		tb.entries = append(tb.entries, newEntry(t, binary, dir, fmt.Sprintf("e%d", i), ip(i+1), strings.TrimPrefix(srv.URL, "http://"), strings.TrimPrefix(instances.URL, "http://"), maxDirectRunners))
	}
	return tb
}

// configure publishes a configuration with a new queue beside the one that
// clients use.
func (tb *testbed) configure(t *testing.T) {
	t.Helper()
	tb.publish(t, false)
}

// publish publishes a configuration, with a new key in place of a former one if rotate is set.
func (tb *testbed) publish(t *testing.T, rotate bool) {
	t.Helper()
	queue := func(name string) *fleet.Queue {
		return &fleet.Queue{
			Name: fleet.QueueName(name), Host: host, Prefix: "/" + name + "/", Service: service, MaxAttempts: maxAttempts, Stretch: 2,
			Slack: time.Second,
		}
	}
	tb.publishing.Lock()
	defer tb.publishing.Unlock()
	if rotate {
		tb.keys.rotate()
	}
	version := tb.version.Add(1)
	value, err := platformtest.EncodeConfiguration(version,
		[]*fleet.Queue{queue("plans"), queue(fmt.Sprintf("extra%d", version))}, []*fleet.JobService{{Name: service, EnforcesCapacity: true}}, tb.keys.tenants()...)
	must.NoError(t, err)
	for tb.store.Append(tb.ctx, storage.TopicOperators, []storage.Record{{Key: "config", Value: value}}) != nil {
		if tb.ctx.Err() != nil {
			return
		}
		tb.sleep(reportInterval) // the store is down
	}
	tb.keys.acknowledged()
}

// checkConfiguration records a violation if an entry does not serve the queue of
// the newest configuration, or still serves the queue of the previous one.
func (tb *testbed) checkConfiguration() {
	newest := tb.version.Load()
	for _, e := range tb.entries {
		for version, want := range map[int64]int{newest: http.StatusOK, newest - 1: http.StatusNotFound} {
			if version == 0 {
				continue
			}
			req, err := http.NewRequestWithContext(tb.ctx, http.MethodGet, fmt.Sprintf("http://%s/extra%d/", e.clientProxy.address(), version), nil)
			if err != nil {
				tb.history.addViolation("request cannot be created: %v", err)
				continue
			}
			req.Host = host
			platformtest.SetKey(req, steadyKey)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				tb.history.addViolation("%s does not answer after the run: %v", e.ip, err)
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode != want {
				tb.history.addViolation("%s answers %d for the queue of version %d while version %d is in force", e.ip, resp.StatusCode, version, newest)
			}
		}
	}
}
