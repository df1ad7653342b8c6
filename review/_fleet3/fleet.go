// Command fleet3 plays the scripts of the third review: stand-ins of the platform, written by
// its pages, around entries that run as separate processes with the command of the deploy file.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

type stepSpec struct {
	Count    int    `json:"count"`
	CPU      int    `json:"cpu,omitempty"`
	MemMB    int    `json:"mem_mb,omitempty"`
	Estimate int    `json:"est_runtime_ms,omitempty"`
	After    []int  `json:"after,omitempty"`
	PerRun   int    `json:"max_per_server,omitempty"`
	Label    string `json:"required_label,omitempty"`
	Lasts    bool   `json:"-"`
}

type jobBody struct {
	Spec       string     `json:"spec"`
	Steps      []stepSpec `json:"steps"`
	Repeats    int        `json:"repeats,omitempty"`
	StartAtMS  int64      `json:"start_at_ms,omitempty"`
	IntervalMS int64      `json:"interval_ms,omitempty"`
}

type job struct {
	id       string
	queue    string
	body     jobBody
	accepted time.Time
}

// run is one run of a task as the runners have seen it.
type run struct {
	task    string
	attempt int64
	runner  string
	began   time.Time
	over    time.Time // zero while it runs
	how     string
	acked   time.Time
}

type entry struct {
	name, ip                    string
	front, ready, control       string
	peerPort, lastPort, metrics int
	settings, logFile           string
	mu                          sync.Mutex
	process                     *exec.Cmd
	exited                      chan struct{}
}

type fleet struct {
	store   *store
	begun   time.Time
	dir     string
	record  *os.File
	binary  string
	trouble bool
	queues  []map[string]any
	pools   []map[string]any
	version int

	mu       sync.Mutex
	jobs     map[string]*job
	runs     []*run
	runners  map[string]*runner
	entries  []*entry
	nextJob  int
	advice   *adviceService
	advised  map[string]bool
	machines string
	taken    map[int]bool
	// orders counts the starts and stops that runners got, and late the calls that are carried
	// out late.
	orders, late int
}

func newFleet(binary, recordFile string, trouble bool) *fleet {
	out, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	f := &fleet{
		store: newStore(), begun: time.Now(), dir: dir, record: out, binary: binary, trouble: trouble,
		jobs: make(map[string]*job), runners: make(map[string]*runner), advised: make(map[string]bool), taken: make(map[int]bool),
	}
	f.log("trouble: %v", trouble)
	return f
}

func (f *fleet) log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(f.begun).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = f.record.WriteString(line)
}

// finish ends all processes and exits.
func (f *fleet) finish(code int) {
	for _, e := range f.entries {
		e.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
	f.log("exit %d", code)
	_ = f.record.Close()
	os.Exit(code)
}

func (f *fleet) cannotRun(format string, args ...any) {
	f.log("CANNOT RUN: "+format, args...)
	fmt.Printf("cannot run: "+format+"\n", args...)
	f.finish(2)
}

func (f *fleet) serve(h http.Handler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.cannotRun("listen: %v", err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(ln) }()
	return ln.Addr().String()
}

// freePorts returns the first of n free ports in a row, below those that the system deals out.
func (f *fleet) freePorts(n int) int {
	for range 500 {
		first := 12000 + rand.IntN(18000/n)*n
		free := true
		for p := first; free && p < first+n; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free && !f.taken[first] {
			f.taken[first] = true
			return first
		}
	}
	f.cannotRun("no free ports")
	return 0
}

func (f *fleet) addRunner(r *runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runners[r.id] = r
}

func (f *fleet) removeRunner(r *runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.runners, r.id)
}

func (f *fleet) started(task string, attempt int64, runner string) {
	f.log("run %s %d begins on %s", task, attempt, runner)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, &run{task: task, attempt: attempt, runner: runner, began: time.Now()})
}

func (f *fleet) ended(task string, attempt int64, runner, how string) {
	f.log("run %s %d ends on %s: %s", task, attempt, runner, how)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runs {
		if r.task == task && r.attempt == attempt && r.runner == runner && r.over.IsZero() {
			r.over, r.how = time.Now(), how
		}
	}
}

func (f *fleet) acked(task string, attempt int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runs {
		if r.task == task && r.attempt == attempt && !r.over.IsZero() && r.acked.IsZero() {
			r.acked = time.Now()
		}
	}
}

// runsOf returns the runs of the tasks whose names begin with a prefix.
func (f *fleet) runsOf(prefix string) []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []run
	for _, r := range f.runs {
		if strings.HasPrefix(r.task, prefix) {
			out = append(out, *r)
		}
	}
	return out
}

func runningNow(runs []run) int {
	n := 0
	for _, r := range runs {
		if r.over.IsZero() {
			n++
		}
	}
	return n
}

// cpuInUse returns the processor time of all runs on the runners of a service, and that of the
// runners.
func (f *fleet) cpuInUse(service string) (used, all int) {
	f.mu.Lock()
	runners := make([]*runner, 0, len(f.runners))
	for _, r := range f.runners {
		runners = append(runners, r)
	}
	f.mu.Unlock()
	for _, r := range runners {
		if r.service != service {
			continue
		}
		r.mu.Lock()
		all += workerCPU
		for _, t := range r.running {
			used += t.step.CPU
		}
		r.mu.Unlock()
	}
	return used, all
}

// configure writes the operators' configuration.
func (f *fleet) configure() {
	f.version += 3
	raw, _ := json.Marshal(map[string]any{"version": f.version, "routes": f.queues, "services": f.pools, "limits": map[string]any{}})
	f.store.put(names.Operators, "config", raw)
	f.log("configuration %d: %s", f.version, raw)
}

func (f *fleet) addService(name string) {
	f.pools = append(f.pools, map[string]any{"name": name, "enforces_capacity": true})
}

func (f *fleet) addQueue(name, service string, attempts int, advice map[string]any) {
	q := map[string]any{
		"name": name, "host": name + ".example", "path_prefix": "/" + name + "/", "service": service, "priority": 0,
		"attempts": attempts, "stretch": 3.0, "slo_ms": 600,
	}
	if advice != nil {
		q["advice"] = advice
		f.advised[name] = true
	}
	f.queues = append(f.queues, q)
}

// serveMachines serves the list of machines. No pool is spare, so none is ever moved.
func (f *fleet) serveMachines() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		rows := []map[string]any{}
		for _, r := range f.runners {
			rows = append(rows, map[string]any{
				"machine": r.machine, "pool": r.service, "state": "up", "zone": "zone-a", "labels": []string{"standard", r.rack},
				"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemoryMB}, "id": r.id,
			})
		}
		f.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "next_token": ""})
	})
	refuse := func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		f.log("machine order refused as busy: %s %s", r.URL.Path, raw)
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "busy"})
	}
	mux.HandleFunc("POST /machine-move", refuse)
	mux.HandleFunc("POST /machine-upkeep", refuse)
	f.machines = f.serve(mux)
}

// startEntries starts entries as processes and waits until all are ready.
func (f *fleet) startEntries(n int) {
	f.serveMachines()
	f.advice = newAdvice(f)
	adviceAddr := f.serve(f.advice)
	var seeds []string
	for i := range n {
		first := f.freePorts(8)
		e := &entry{
			name: fmt.Sprintf("edge-zone-a-%d", i+1), ip: "127.0.0.1",
			front: fmt.Sprintf("127.0.0.1:%d", first), ready: fmt.Sprintf("127.0.0.1:%d", first+1), control: fmt.Sprintf("127.0.0.1:%d", first+2),
			metrics: first + 3, peerPort: first + 4, lastPort: first + 7,
		}
		seeds = append(seeds, e.control)
		f.entries = append(f.entries, e)
	}
	for _, e := range f.entries {
		storeAddr := f.serve(f.store.handler(e.name))
		e.settings = filepath.Join(f.dir, e.name+".conf")
		e.logFile = filepath.Join(f.dir, e.name+".log")
		text := fmt.Sprintf(`node_name=%s
role=entry
machine_class=edge
serves=edge
ip=%s
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.front=%s
listen.ready_addr=%s
listen.control=%s
port_range=%d,%d
seeds=%s
bootstrap=true
loss_counts=false
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.catchup_s=4
bounds.drain_ms=2000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=5000
bounds.recovery_s=12
bounds.hold_max_ms=10000
bounds.stop_grace_ms=200
bounds.gang_wait_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.far_x=3
bounds.checkpoint_interval_s=1
bounds.restore_ms=100
bounds.notice_ms=4500
bounds.move_s=1.5
bounds.maintenance_s=2
bounds.require_fence=true
bounds.lease_ms=3000
bounds.freeze_slack_ms=300
bounds.pace_ms=100
bounds.harm_ms=4000
control_mode=call
advice=%s
platform.addr=%s
platform.form=log
platform.writes_per_s=800
platform.reads_per_s=2000
platform.parts=16
platform.append_ms=3.0
platform.part_mb_s=20.0
platform.read_mb_s=80.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.keep_s=300
platform.part_mb=200
platform.ttl_min_ms=1000
cloud_api.addr=%s
cloud_api.per_s=64.0
cloud_api.duties=
cloud_api.duty_per_s=64.0
`, e.name, e.ip, e.front, e.ready, e.control, e.peerPort, e.lastPort, strings.Join(seeds, ","), adviceAddr, storeAddr, f.machines)
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			f.cannotRun("settings: %v", err)
		}
		f.startEntry(e)
	}
	f.awaitReady(15 * time.Second)
}

func (f *fleet) startEntry(e *entry) {
	out, err := os.OpenFile(e.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.cannotRun("log: %v", err)
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(f.binary)
	c.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BANYANRAIL_NODE_FILE=" + e.settings,
		fmt.Sprintf("BANYANRAIL_METRICS=127.0.0.1:%d", e.metrics),
	}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		f.cannotRun("start: %v", err)
	}
	f.log("entry %s starts", e.name)
	exited := make(chan struct{})
	e.mu.Lock()
	e.process, e.exited = c, exited
	e.mu.Unlock()
	go func() {
		err := c.Wait()
		f.log("entry %s has ended: %v", e.name, err)
		close(exited)
	}()
}

func (e *entry) signal(s syscall.Signal) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process == nil {
		return nil
	}
	_ = e.process.Process.Signal(s)
	return e.exited
}

func (e *entry) kill() {
	if exited := e.signal(syscall.SIGKILL); exited != nil {
		<-exited
	}
}

// terminate stops an entry with SIGTERM, and with SIGKILL after the grace, and starts it again.
func (f *fleet) terminate(e *entry) {
	f.log("SIGTERM to %s", e.name)
	exited := e.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(6 * time.Second):
		f.log("SIGKILL to %s", e.name)
		e.kill()
	}
	time.Sleep(300 * time.Millisecond)
	f.startEntry(e)
}

func (e *entry) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + e.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range f.entries {
			if e.isReady() {
				ready++
			}
		}
		if ready == len(f.entries) {
			f.log("all entries are ready")
			return
		}
	}
	f.cannotRun("the entries are not ready")
}

// call sends a client's call through the balancer: to the entries that are ready, with retries.
func (f *fleet) call(method, queue, id string, body any) (int, []byte) {
	raw := []byte(nil)
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	status := 0
	for try := range 12 {
		e := f.entries[try%len(f.entries)]
		if !e.isReady() && try%len(f.entries) != len(f.entries)-1 {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		req, _ := http.NewRequestWithContext(ctx, method, "http://"+e.front+"/"+queue+"/"+id, bytes.NewReader(raw))
		req.Host = queue + ".example"
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set(names.Patience, "3000")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			cancel()
			f.log("%s %s/%s at %s: %v", method, queue, id, e.name, err)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		answer, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		cancel()
		status = resp.StatusCode
		if status != 429 && status != 502 && status != 503 && status != 504 {
			return status, answer
		}
		f.log("%s %s/%s at %s: %d %s", method, queue, id, e.name, status, answer)
		time.Sleep(200 * time.Millisecond)
	}
	return status, nil
}

// submitOrNot hands a job in, which may not be accepted.
func (f *fleet) submitOrNot(queue string, body jobBody, plans []plan) {
	raw, _ := json.Marshal(plans)
	body.Spec = string(raw)
	f.mu.Lock()
	f.nextJob++
	id := fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()), f.nextJob)
	f.jobs[id] = &job{id: id, queue: queue, body: body}
	f.mu.Unlock()
	status, _ := f.call(http.MethodPost, queue, id, body)
	f.log("job %s of %s: %d", id, queue, status)
}

// submit hands a job in and returns its id. The plans say what the tasks of each step do.
func (f *fleet) submit(queue string, body jobBody, plans []plan) string {
	raw, _ := json.Marshal(plans)
	body.Spec = string(raw)
	f.mu.Lock()
	f.nextJob++
	id := fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()), f.nextJob)
	j := &job{id: id, queue: queue, body: body}
	f.jobs[id] = j
	f.mu.Unlock()
	status, answer := f.call(http.MethodPost, queue, id, body)
	f.log("job %s of %s: %d %s", id, queue, status, answer)
	if status/100 != 2 {
		f.cannotRun("job %s of %s was answered %d", id, queue, status)
	}
	f.mu.Lock()
	j.accepted = time.Now()
	f.mu.Unlock()
	return id
}

// state returns the state that a client is shown for a job.
func (f *fleet) state(queue, id string) string {
	status, answer := f.call(http.MethodGet, queue, id, nil)
	var a struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(answer, &a)
	f.log("state of %s: %d %s", id, status, a.State)
	return a.State
}

const (
	lateShare  = 0.055 // applied_late: x
	lateWindow = 5500 * time.Millisecond
)

// traffic hands in small jobs for the ordinary runners until the returned function is called.
func (f *fleet) traffic(queue string) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(250 * time.Millisecond):
			}
			step := stepSpec{Count: 4, CPU: 500, MemMB: 64, Estimate: 300, Label: "standard"}
			go f.submitOrNot(queue, jobBody{Steps: []stepSpec{step}}, []plan{{MS: 300, End: "done"}})
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// judgeLate ends the case if a larger share of the orders than the site allows was late.
func (f *fleet) judgeLate(before int) {
	f.mu.Lock()
	orders, late := f.orders-before, f.late
	f.mu.Unlock()
	f.log("%d call carried out late beside %d starts and stops in %v", late, orders, lateWindow)
	if float64(late) > lateShare*float64(orders) {
		f.cannotRun("%d late calls of %d exceed the share %g", late, orders, lateShare)
	}
}

func (f *fleet) needsTicket(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	j, ok := f.jobs[strings.SplitN(task, ".", 2)[0]]
	return ok && f.advised[j.queue]
}
