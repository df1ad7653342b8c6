package soak_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Ports of an entry and of a runner. Each has its own loopback address.
const (
	runnerPort  = 18599
	clientPort  = 18600
	readyPort   = 18601
	metricsPort = 18602
	peerPort    = 18603
)

// entryProcess is an entry, whose process may be restarted.
type entryProcess struct {
	binary, settings, name, ip string
	// maxDirectRunners is the number of runners up to which an owner calls them all
	// itself.
	maxDirectRunners int64
	log              *os.File
	// storeProxy is between the entry and the store, clientProxy between clients
	// and the entry.
	storeProxy, clientProxy *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the latest process has ended.
	ended chan struct{}
	// ends is the number of processes that have ended.
	ends int
	// lastFault is when a signal other than SIGTERM and SIGHUP was last sent.
	lastFault time.Time
}

const settingsText = `node_name=%s
zone=z0
ip=%s
listen.front=%[2]s:%[3]d
listen.ready_addr=%[2]s:%[4]d
port_range=%[5]d,%[5]d
platform.addr=%[6]s
cloud_api.addr=%[10]s
limits.memory_mb=256
limits.max_fds=%[9]d
bounds.grace_s=6
bounds.status_s=120
contracts=tenants
bounds.strict_revoke=true
bounds.revoke_ms=%[7]d
bounds.apply_ms=%[8]d
`

func newEntry(t *testing.T, binary, dir, name, ip, store, instances string, maxDirectRunners int64) *entryProcess {
	t.Helper()
	log, err := os.Create(filepath.Join(dir, name+".log"))
	must.NoError(t, err)
	t.Cleanup(func() { _ = log.Close() })
	p := &entryProcess{
		binary: binary, settings: filepath.Join(dir, name+".settings"), name: name, ip: ip, log: log, maxDirectRunners: maxDirectRunners,
		storeProxy: newProxy(t, store), clientProxy: newProxy(t, fmt.Sprintf("%s:%d", ip, clientPort)),
	}
	text := fmt.Sprintf(settingsText, name, ip, clientPort, readyPort, peerPort, p.storeProxy.address(), revokeLimit.Milliseconds(), applyLimit.Milliseconds(), maxFDs, instances)
	must.NoError(t, os.WriteFile(p.settings, []byte(text), 0o600))
	must.NoError(t, p.start())
	t.Cleanup(p.kill)
	return p
}

// start starts a process unless one is running.
func (p *entryProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd := exec.Command(p.binary, "--settings", p.settings, "--metrics", fmt.Sprintf("%s:%d", p.ip, metricsPort),
		"--calls-alone", fmt.Sprint(p.maxDirectRunners))
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		err := cmd.Wait()
		_, _ = fmt.Fprintf(p.log, "process ended: %v\n", err)
		p.mu.Lock()
		p.cmd = nil
		p.ends++
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the running process, if any, and returns a channel that
// is closed when the latest process has ended.
func (p *entryProcess) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s != syscall.SIGTERM && s != syscall.SIGHUP {
		p.lastFault = time.Now()
	}
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // fails if the process has just ended
	}
	return p.ended
}

// kill kills the running process and waits until it has ended.
func (p *entryProcess) kill() { <-p.signal(syscall.SIGKILL) }

// faultAfter reports whether the last fault of the entry is later than a time.
func (p *entryProcess) faultAfter(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastFault.After(since)
}
