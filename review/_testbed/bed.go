package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/platform/platformtest"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/banyanrail/banyanrail/storage"
)

const (
	// recordBytes and callBytes are the limits of the platform's store.
	recordBytes = 262144
	callBytes   = 2097152
	// heartbeat is the time between two reports of a runner, of which three may be
	// missing before its entry is removed.
	heartbeat = 1500 * time.Millisecond
	// clientTimeout is how long clients wait for an answer.
	clientTimeout = 3 * time.Second
	service       = "survey-desk"
	host          = "desk.example"
	prefix        = "/plans/"
)

// bed holds the stand-ins, which run in this process, and the entries, which do not.
type bed struct {
	rec     *recorder
	dir     string
	program string
	ctx     context.Context
	stop    context.CancelFunc
	store   *standin.Store
	servers []*http.Server
	// storeAddress is the address of the store.
	storeAddress string
	entries      []*entry
	runners      []*runnerHost
	client       *http.Client

	mu   sync.Mutex
	runs []standin.RunEvent
	// plans holds the behaviour of the tasks of each job.
	plans map[fleet.JobID]standin.TaskPlan
	// refusedAppends counts the appends that exceeded a limit of the store.
	refusedAppends int
}

func newBed(rec *recorder, program string) (*bed, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	if program, err = filepath.Abs(program); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	b := &bed{
		rec: rec, dir: dir, program: program, ctx: ctx, stop: stop, store: standin.NewStore(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, plans: make(map[fleet.JobID]standin.TaskPlan),
	}
	b.storeAddress, err = b.serve(b.limitAppends(platformtest.StoreHandler(b.store)))
	return b, err
}

// serve serves a handler on a free port of the loopback interface.
func (b *bed) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	b.servers = append(b.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

// limitAppends refuses appends beyond the limits of the platform's store.
func (b *bed) limitAppends(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if fault := beyondLimits(body); fault != "" {
			b.mu.Lock()
			b.refusedAppends++
			n := b.refusedAppends
			b.mu.Unlock()
			if n <= 5 || n%20 == 0 {
				b.rec.printf("store: append %s refused: %s (refusal %d)", r.URL.RawQuery, fault, n)
			}
			http.Error(w, fault, http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// beyondLimits returns which limit an append exceeds, or nothing.
func beyondLimits(body []byte) string {
	total := 0
	for rest := body; len(rest) >= 4; {
		n := int(binary.BigEndian.Uint32(rest))
		if n > recordBytes {
			return fmt.Sprintf("a record of %d bytes, more than %d", n, recordBytes)
		}
		if n > len(rest)-4 {
			break
		}
		total += n
		rest = rest[4+n:]
	}
	if total > callBytes {
		return fmt.Sprintf("records of %d bytes in one call, more than %d", total, callBytes)
	}
	return ""
}

func (b *bed) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-b.ctx.Done():
	}
}

// configure publishes a configuration with one queue.
func (b *bed) configure() error {
	value, err := platformtest.EncodeConfiguration(1,
		[]*fleet.Queue{{Name: "plans", Host: host, Prefix: prefix, Service: service, MaxAttempts: 2, Stretch: 1.6, Slack: 600 * time.Millisecond}},
		[]*fleet.JobService{{Name: service, EnforcesCapacity: true}})
	if err != nil {
		return err
	}
	return b.store.Append(b.ctx, storage.TopicOperators, []storage.Record{{Key: "config", Value: value}})
}

// settingsText has the figures of a deployment with nine small entries.
const settingsText = `node_name=%[1]s
zone=z0
ip=127.0.0.1
listen.front=%[2]s
listen.ready_addr=%[3]s
port_range=%[4]d,%[4]d
platform.addr=%[5]s
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.link_mbps=1000.0
bounds.grace_s=6
bounds.status_s=120
bounds.lease_ms=3000
bounds.maintenance_s=2
`

// entry is an entry's process.
type entry struct {
	name string
	// front serves clients, and ready the checks of readiness.
	front, ready string
	cmd          *exec.Cmd
	ended        chan struct{}
}

// freeAddresses returns free addresses of the loopback interface.
func freeAddresses(n int) ([]*net.TCPAddr, error) {
	var out []*net.TCPAddr
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		out = append(out, ln.Addr().(*net.TCPAddr))
	}
	return out, nil
}

// startEntries starts entries and waits until all are ready.
func (b *bed) startEntries(count int, more string) error {
	for i := range count {
		free, err := freeAddresses(4)
		if err != nil {
			return err
		}
		e := &entry{name: fmt.Sprintf("edge-%d", i+1), front: free[0].String(), ready: free[1].String(), ended: make(chan struct{})}
		file := filepath.Join(b.dir, e.name+".conf")
		text := fmt.Sprintf(settingsText, e.name, e.front, e.ready, free[2].Port, b.storeAddress) + more
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(b.dir, e.name+".log"))
		if err != nil {
			return err
		}
		e.cmd = exec.Command(b.program)
		e.cmd.Env = append(os.Environ(), "BANYANRAIL_NODE_FILE="+file, "BANYANRAIL_METRICS="+free[3].String())
		e.cmd.Stdout, e.cmd.Stderr = log, log
		if err := e.cmd.Start(); err != nil {
			return err
		}
		go func() {
			_ = e.cmd.Wait()
			_ = log.Close()
			close(e.ended)
		}()
		b.entries = append(b.entries, e)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, e := range b.entries {
		for !b.ready(e) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not become ready", e.name)
			}
			b.sleep(50 * time.Millisecond)
		}
	}
	b.rec.printf("%d entries are ready", count)
	return nil
}

func (b *bed) ready(e *entry) bool {
	resp, err := b.client.Get("http://" + e.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes.
func (b *bed) close() {
	b.stop()
	for _, e := range b.entries {
		_ = e.cmd.Process.Signal(syscall.SIGKILL)
		<-e.ended
	}
	for _, r := range b.runners {
		r.crash()
		r.proxy.close()
	}
	for _, s := range b.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("logs in", b.dir)
	}
}
