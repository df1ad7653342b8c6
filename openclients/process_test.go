package openclients_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/platform/platformtest"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/banyanrail/banyanrail/storage"
	"github.com/shoenig/test/must"
)

const (
	// memoryMB is the memory of each process in its settings, in MiB, and the bound of
	// its peak resident memory. maxFDs is its limit of descriptors and the bound of
	// those that it has open.
	memoryMB = 128
	maxFDs   = 500
	// startTimeout and answerTimeout only end a test whose process hangs.
	startTimeout  = 60 * time.Second
	answerTimeout = 60 * time.Second
	// samplePause is the time between two counts of the open descriptors.
	samplePause = 50 * time.Millisecond
)

// The ports of a process. A banyanraild has its operators' port at ready.
const (
	clients = 18700 + iota
	ready
	metrics
	peers
)

const (
	queueHost   = "jobs.example"
	queuePrefix = "/plans/"
)

// process is a running process under test.
type process struct {
	cmd   *exec.Cmd
	log   string
	ended chan struct{}
	// request sends an ordinary request, and answer is the status of its answer.
	request func(*testing.T) int
	answer  int
	// requestOf sends an ordinary request of at least a size.
	requestOf func(*testing.T, int) int
	// maxFDs is the limit of descriptors in its settings.
	maxFDs int
}

// binaries is the folder of the commands of this repository.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "openclients")
	if err != nil {
		panic(err)
	}
	out, err := exec.Command("go", "build", "-o", dir, "../cmd/banyanrail-entry", "../cmd/banyanraild", "../cmd/banyanrail").CombinedOutput()
	if err != nil {
		panic(string(out))
	}
	binaries = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// address returns a loopback address of this test process with a port.
func address(port int) string { return fmt.Sprintf("127.%d.77.1:%d", 16+os.Getpid()%200, port) }

func start(t *testing.T, p *process, command string, env []string, args ...string) {
	t.Helper()
	p.log = filepath.Join(t.TempDir(), "log")
	log, err := os.Create(p.log)
	must.NoError(t, err)
	p.cmd = exec.Command(filepath.Join(binaries, command), args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(os.Environ(), env...)
	must.NoError(t, p.cmd.Start())
	p.ended = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // fails if the process has ended
		<-p.ended
		_ = log.Close()
	})
}

// startEntry starts a banyanrail-entry with a store that has one queue, and waits until
// it owns the jobs.
func startEntry(t *testing.T) *process {
	t.Helper()
	return startEntryWith(t, maxFDs)
}

// startEntryWith starts an entry with a limit of descriptors.
func startEntryWith(t *testing.T, fds int) *process {
	t.Helper()
	store := standin.NewStore()
	value, err := platformtest.EncodeConfiguration(1,
		[]*fleet.Queue{{Name: "plans", Host: queueHost, Prefix: queuePrefix, Service: "compute", MaxAttempts: 2, Stretch: 2, Slack: time.Second}},
		[]*fleet.JobService{{Name: "compute", EnforcesCapacity: true}})
	must.NoError(t, err)
	must.NoError(t, store.Append(t.Context(), storage.TopicOperators, []storage.Record{{Key: "config", Value: value}}))
	srv := httptest.NewServer(platformtest.StoreHandler(store))
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	p := &process{answer: http.StatusOK, maxFDs: fds}
	p.request, p.requestOf = p.submit, p.submitSize
	ip, _, _ := strings.Cut(address(clients), ":")
	settings := filepath.Join(t.TempDir(), "settings")
	text := fmt.Sprintf("node_name=e0\nzone=z0\nip=%s\nlisten.front=%s\nlisten.ready_addr=%s\nport_range=18703,18703\nplatform.addr=%s\nlimits.memory_mb=%d\nlimits.max_fds=%d\nbounds.grace_s=6\n",
		ip, address(clients), address(ready), strings.TrimPrefix(srv.URL, "http://"), memoryMB, fds)
	must.NoError(t, os.WriteFile(settings, []byte(text), 0o600))
	start(t, p, "banyanrail-entry", nil, "--settings", settings, "--metrics", address(metrics))
	p.waitForStatus(t, "http://"+address(ready)+"/ready")
	must.Eq(t, http.StatusOK, p.submit(t))
	return p
}

// ordinaryJob returns a job of one task, or with more steps so that its encoding has at least a
// size.
func ordinaryJob(size int) *fleet.JobSpec {
	const stepBytes = 50
	step := fleet.Step{Count: 1, Needs: fleet.Capacity{CPU: 100, Memory: 10}, Estimate: time.Second}
	return &fleet.JobSpec{Text: "x", Steps: slices.Repeat([]fleet.Step{step}, 1+size/stepBytes)}
}

// startDaemon starts a banyanraild and waits until it knows its services.
func startDaemon(t *testing.T) *process {
	t.Helper()
	platform := standin.NewPlatform()
	go platform.Run(t.Context())
	srv := httptest.NewServer(platform)
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	p := &process{answer: http.StatusNotFound, maxFDs: maxFDs}
	p.request, p.requestOf = p.callService, p.callServiceWith
	env := []string{"BANYANRAIL_MEMORY_MB=" + strconv.Itoa(memoryMB), "BANYANRAIL_MAX_FDS=" + strconv.Itoa(maxFDs)}
	start(t, p, "banyanraild", env, "--id", "e0", "--data-centre", "z0", "--platform", srv.URL,
		"--callers", address(clients), "--operators", address(ready), "--peers", address(peers))
	p.waitForStatus(t, "http://"+address(clients)+"/healthz")
	services := filepath.Join(t.TempDir(), "services.hcl")
	must.NoError(t, os.WriteFile(services, []byte(servicesText), 0o600))
	out, err := exec.Command(filepath.Join(binaries, "banyanrail"), "--entry", "http://"+address(ready), "publish", services).CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	for began := time.Now(); p.callService(t) != http.StatusNotFound && time.Since(began) < startTimeout; time.Sleep(samplePause) {
	}
	must.Eq(t, http.StatusNotFound, p.callService(t))
	return p
}

// servicesText has one service, which no instance serves.
const servicesText = "pool \"main\" {}\nservice \"survey\" {\n  pool = \"main\"\n}\nmember \"lawa\" {}\n"

// ordinaryClient sends each request by a new connection.
var ordinaryClient = &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// status returns the status of the answer to a request; 0 without an answer.
func (p *process) status(t *testing.T, req *http.Request) int {
	t.Helper()
	resp, err := ordinaryClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// waitForStatus waits until a URL answers with 200.
func (p *process) waitForStatus(t *testing.T, url string) {
	t.Helper()
	for began := time.Now(); time.Since(began) < startTimeout; time.Sleep(samplePause) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
		must.NoError(t, err)
		if p.status(t, req) == http.StatusOK {
			return
		}
	}
	p.fail(t, "the process has not become ready")
}

// submit submits an ordinary job to an entry and returns the status of the answer.
func (p *process) submit(t *testing.T) int { t.Helper(); return p.submitSize(t, 0) }

// submitSize submits an ordinary job of at least a size.
func (p *process) submitSize(t *testing.T, size int) int {
	t.Helper()
	body, err := platformtest.EncodeJob(ordinaryJob(size))
	must.NoError(t, err)
	return p.submitBody(t, 0xa1, body)
}

// jobPath is the path of a job with a number.
func jobPath(job int) string { return fmt.Sprintf(queuePrefix+"%016x", job) }

// waiting returns how many jobs of the queue of an entry wait.
func (p *process) waiting(t *testing.T) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address(clients)+queuePrefix, nil)
	must.NoError(t, err)
	req.Host = queueHost
	platformtest.SetTimeout(req, answerTimeout)
	resp, err := ordinaryClient.Do(req)
	must.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var answer struct{ Waiting int }
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&answer))
	return answer.Waiting
}

// callService sends an ordinary request to a banyanraild, which has no such service, and
// returns the status of the answer.
func (p *process) callService(t *testing.T) int { t.Helper(); return p.callServiceWith(t, 1) }

// callServiceWith sends such a request with a body of a size.
func (p *process) callServiceWith(t *testing.T, size int) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address(clients)+"/v1/services/none/requests", strings.NewReader(strings.Repeat("x", size)))
	must.NoError(t, err)
	req.Header.Set("Banyanrail-Member", "lawa")
	return p.status(t, req)
}

func (p *process) fail(t *testing.T, message string) {
	t.Helper()
	log, _ := os.ReadFile(p.log)
	t.Fatalf("%s; end of its log:\n%s", message, log[max(0, len(log)-4000):])
}

// checkAlive fails if the process has ended.
func (p *process) checkAlive(t *testing.T) {
	t.Helper()
	select {
	case <-p.ended:
		p.fail(t, "the process has ended")
	default:
	}
}

// peakMB returns the peak resident memory of the process, in MiB.
func (p *process) peakMB(t *testing.T) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	must.NoError(t, err)
	_, after, ok := strings.Cut(string(text), "VmHWM:")
	must.True(t, ok)
	kb, err := strconv.Atoi(strings.Fields(after)[0])
	must.NoError(t, err)
	return kb >> 10
}

// memoryKB returns the resident memory of the process and what stands in the socket queues of
// its ports, in KiB. Connections that it has not accepted count as well.
func (p *process) memoryKB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0 // the process has ended, which checkAlive reports
	}
	_, after, _ := strings.Cut(string(text), "VmRSS:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0 // the same
	}
	kb, _ := strconv.Atoi(fields[0]) // a number, by proc(5)
	return kb + queuedBytes()>>10
}

// queuedBytes returns the bytes in the receive and send queues of the connections to the ports
// of a process.
func queuedBytes() int {
	const established = "01"
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		panic(err) // fails on no Linux
	}
	host, _, _ := net.SplitHostPort(address(clients))
	ip := net.ParseIP(host).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	total := 0
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		own, port, ok := strings.Cut(f[1], ":")
		number, err := strconv.ParseInt(port, 16, 32)
		if !ok || err != nil || own+":" != local || number < clients || number > peers || f[3] != established && f[3] != "08" {
			continue
		}
		sent, received, _ := strings.Cut(f[4], ":")
		for _, q := range []string{sent, received} {
			n, _ := strconv.ParseInt(q, 16, 64) // a number, by proc(5)
			total += int(n)
		}
	}
	return total
}

// descriptors returns the number of descriptors that the process has open.
func (p *process) descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0 // the process has ended, which checkAlive reports
	}
	return len(list)
}

// watchDescriptors counts the open descriptors until the returned function is called,
// which returns their maximum.
func (p *process) watchDescriptors() func() int { return watch(p.descriptors) }

// watchMemory does the same for the resident memory with socket queues, in MiB.
func (p *process) watchMemory() func() int {
	most := watch(p.memoryKB)
	return func() int { return most() >> 10 }
}

// watch samples a figure until the returned function is called, which returns its maximum.
func watch(sample func() int) func() int {
	stop := make(chan struct{})
	var most int
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			most = max(most, sample())
			select {
			case <-stop:
				return
			case <-time.After(samplePause):
			}
		}
	})
	return func() int {
		close(stop)
		wg.Wait()
		return most
	}
}
