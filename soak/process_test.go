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

// Ports of an entry at its own address of the loopback network.
const (
	clientPort  = 18600
	readyPort   = 18601
	metricsPort = 18602
	peerPort    = 18603
)

// entryProcess is one entry: a process that is started again and again.
type entryProcess struct {
	binary, settings, ip string
	// callsAlone is the number of runners that an owner calls itself.
	callsAlone int64
	log        *os.File
	// store stands between the entry and the store, front between clients and
	// the entry.
	store, front *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// gone is closed when the present process has ended.
	gone chan struct{}
	// unplanned is when the last fault that excuses broken calls hit it.
	unplanned time.Time
}

const settingsText = `node_name=%s
zone=z0
ip=%s
listen.front=%[2]s:%[3]d
listen.ready_addr=%[2]s:%[4]d
port_range=%[5]d,%[5]d
platform.addr=%[6]s
limits.memory_mb=256
bounds.grace_s=6
bounds.status_s=120
`

func newEntry(t *testing.T, binary, dir, name, ip, store string, callsAlone int64) *entryProcess {
	t.Helper()
	log, err := os.Create(filepath.Join(dir, name+".log"))
	must.NoError(t, err)
	t.Cleanup(func() { _ = log.Close() })
	p := &entryProcess{
		binary: binary, settings: filepath.Join(dir, name+".settings"), ip: ip, log: log, callsAlone: callsAlone,
		store: newProxy(t, store), front: newProxy(t, fmt.Sprintf("%s:%d", ip, clientPort)),
	}
	text := fmt.Sprintf(settingsText, name, ip, clientPort, readyPort, peerPort, p.store.address())
	must.NoError(t, os.WriteFile(p.settings, []byte(text), 0o600))
	must.NoError(t, p.start())
	t.Cleanup(p.kill)
	return p
}

// start starts a process unless one lives.
func (p *entryProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd := exec.Command(p.binary, "--settings", p.settings, "--metrics", fmt.Sprintf("%s:%d", p.ip, metricsPort),
		"--calls-alone", fmt.Sprint(p.callsAlone))
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	gone := make(chan struct{})
	p.cmd, p.gone = cmd, gone
	go func() {
		err := cmd.Wait()
		_, _ = fmt.Fprintf(p.log, "process ended: %v\n", err)
		p.mu.Lock()
		p.cmd = nil
		p.mu.Unlock()
		close(gone)
	}()
	return nil
}

// signal sends a signal to the present process, if there is one, and returns a
// channel that is closed when that process has ended.
func (p *entryProcess) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s != syscall.SIGTERM && s != syscall.SIGHUP {
		p.unplanned = time.Now()
	}
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may just have ended
	}
	return p.gone
}

// kill ends the present process and waits for that.
func (p *entryProcess) kill() { <-p.signal(syscall.SIGKILL) }

// excused reports whether a fault hit the entry after a moment.
func (p *entryProcess) excused(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unplanned.After(since)
}
