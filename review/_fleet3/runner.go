package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax        = 10 * time.Second
	stopGrace      = 100 * time.Millisecond
	heartbeat      = 1500 * time.Millisecond
	gangWait       = 3 * time.Second
	maxConnections = 64 // the services' pages: 64 connections each
	answerTime     = 2 * time.Millisecond
	workerCPU      = 64000
	workerMemoryMB = 131072
)

// plan is what a task does. It is the spec of its job as JSON, one entry for each step.
type plan struct {
	MS  int    `json:"ms"`  // run time; a lasting task without one runs until it is stopped
	End string `json:"end"` // how the run ends: done or failed
}

type runningTask struct {
	attempt int64
	began   time.Time
	step    *stepSpec
	plan    plan
	saved   string
	stopAt  time.Time
}

type endedTask struct {
	n       int64
	task    string
	attempt int64
	how     string
	saved   string
	lapsed  bool // the lease has lapsed since
}

// runner is a stand-in of one life of a runner, by the platform's page on running tasks.
type runner struct {
	f        *fleet
	id       string
	machine  string
	service  string
	rack     string
	addr     string
	listener net.Listener
	server   *http.Server
	born     time.Time
	cancel   context.CancelFunc

	connMu        sync.Mutex
	conns, resets int
	lastCall      time.Time

	mu       sync.Mutex
	gone     bool
	draining bool
	fence    int64
	deadline int64
	running  map[string]*runningTask
	ended    []endedTask
	lastEnd  int64
	over     map[string]int64
	tickets  map[string]string
	changed  chan struct{}
	seq      int
	// onStart, if set, is called after a start was carried out.
	onStart func()
	// kind is the runner's label beside its rack.
	kind string
	// cutUntil is until when calls don't reach the runner, and its answers nobody.
	cutUntil time.Time
	// delays, if set, returns how much later a call is carried out, which is not answered then;
	// zero for one that is answered.
	delays func(path string, c runnerCall) time.Duration
	mux    *http.ServeMux
}

func (f *fleet) newRunner(id, machine, service, rack string) *runner {
	return f.newRunnerAt("127.0.0.1:0", "standard", id, machine, service, rack)
}

func (f *fleet) newRunnerAt(addr, kind, id, machine, service, rack string) *runner {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		f.cannotRun("listen: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runner{
		f: f, id: id, kind: kind, machine: machine, service: service, rack: rack, addr: ln.Addr().String(), listener: ln, born: time.Now(), cancel: cancel,
		running: make(map[string]*runningTask), over: make(map[string]int64), tickets: make(map[string]string), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.start)
	mux.HandleFunc("POST /run-stop", r.stop)
	mux.HandleFunc("POST /pace", r.pace)
	mux.HandleFunc("POST /hold", r.hold)
	r.mux = mux
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if t := req.Header.Get(names.Target); t != "" && t != r.id {
			writeJSON(w, http.StatusMisdirectedRequest, map[string]any{names.Clock: r.clock()})
			return
		}
		r.connMu.Lock()
		r.lastCall = time.Now()
		r.connMu.Unlock()
		time.Sleep(answerTime)
		r.receive(w, req)
	}), ConnState: r.connState}
	go func() { _ = r.server.Serve(&capped{Listener: ln, r: r}) }()
	go r.work(ctx)
	f.addRunner(r)
	f.log("runner %s of %s begins on %s", id, service, machine)
	go func() {
		for ctx.Err() == nil {
			r.report()
			sleep(ctx, heartbeat)
		}
	}()
	return r
}

// capped resets connections beyond those that a runner takes.
type capped struct {
	net.Listener
	r *runner
}

func (c *capped) Accept() (net.Conn, error) {
	for {
		conn, err := c.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c.r.connMu.Lock()
		full := c.r.conns >= maxConnections
		if full {
			c.r.resets++
		} else {
			c.r.conns++
		}
		c.r.connMu.Unlock()
		if !full {
			return conn, nil
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (r *runner) connState(_ net.Conn, s http.ConnState) {
	if s != http.StateClosed && s != http.StateHijacked {
		return
	}
	r.connMu.Lock()
	defer r.connMu.Unlock()
	r.conns--
}

// silent reports how long no call has reached the runner.
func (r *runner) silent() time.Duration {
	r.connMu.Lock()
	defer r.connMu.Unlock()
	return time.Since(r.lastCall)
}

// connections returns the open connections and the number of those that were reset.
func (r *runner) connections() (open, reset int) {
	r.connMu.Lock()
	defer r.connMu.Unlock()
	return r.conns, r.resets
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// cutFor cuts the runner off for a time.
func (r *runner) cutFor(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutUntil = time.Now().Add(d)
}

// receive carries a call out, unless the runner is cut off or the call is carried out late.
func (r *runner) receive(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.mu.Lock()
	cut, delays := r.cutUntil, r.delays
	r.mu.Unlock()
	r.f.mu.Lock()
	if req.URL.Path != "/hold" {
		r.f.orders++
	}
	r.f.mu.Unlock()
	var late time.Duration
	if c, err := decodeCall(bytes.NewReader(raw)); delays != nil && err == nil {
		late = delays(req.URL.Path, c)
	}
	if late > 0 {
		r.f.log("%s at %s gets no answer and is carried out %v later: %s", req.URL.Path, r.id, late, raw)
		r.f.mu.Lock()
		r.f.late++
		r.f.mu.Unlock()
		time.AfterFunc(late, func() { r.f.carryOutLate(r.id, req.Header.Clone(), req.URL.Path, raw) })
		cut = time.Now().Add(2 * time.Second) // longer than any call waits
	}
	if time.Now().Before(cut) {
		sleep(req.Context(), time.Until(cut))
		panic(http.ErrAbortHandler)
	}
	req.Body = io.NopCloser(bytes.NewReader(raw))
	r.mux.ServeHTTP(w, req)
}

// carryOutLate has the present life of a runner carry out a call.
func (f *fleet) carryOutLate(id string, h http.Header, path string, raw []byte) {
	f.mu.Lock()
	r := f.runners[id]
	f.mu.Unlock()
	if r == nil {
		f.log("no life of %s is there for %s", id, path)
		return
	}
	req := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(raw))
	req.Header = h
	answer := httptest.NewRecorder()
	r.mux.ServeHTTP(answer, req)
	f.log("late %s is carried out at %s, born %d: %d %s", path, id, r.born.UnixMilli(), answer.Code, answer.Body.Bytes())
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1 }

// report writes the runner's entry to the store.
func (r *runner) report() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return
	}
	r.seq++
	state := "ready"
	body := map[string]any{
		"service": r.service, "addr": r.addr, "zone": "zone-a", "version": "1", "slots": 8, "cold_left_ms": 0, "seq": r.seq,
		"born": r.born.UnixMilli(), "machine": r.machine, "labels": []string{r.kind, r.rack},
		"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemoryMB},
	}
	if r.draining {
		state = "draining"
		body["remaining_ms"] = 2000
	}
	body["state"] = state
	raw, _ := json.Marshal(body)
	r.f.store.put(names.Runners, r.id, raw)
}

// crash ends the runner as a crash does: all that runs is lost, its connections break. Its
// entry leaves the store after three heartbeat intervals of silence.
func (r *runner) crash() {
	r.f.log("runner %s crashes and is gone for good", r.id)
	r.end()
	go func() {
		time.Sleep(3 * heartbeat)
		r.f.store.put(names.Runners, r.id, nil)
	}()
}

// leave ends the runner after a drain.
func (r *runner) leave() {
	r.f.log("runner %s leaves", r.id)
	r.end()
	r.f.store.put(names.Runners, r.id, nil)
}

func (r *runner) drain() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.f.log("runner %s drains", r.id)
	r.report()
}

func (r *runner) end() {
	r.cancel()
	r.mu.Lock()
	r.gone = true
	for name, t := range r.running {
		r.f.ended(name, t.attempt, r.id, "lost with its runner")
	}
	r.running = make(map[string]*runningTask)
	r.mu.Unlock()
	_ = r.server.Close()
	r.f.removeRunner(r)
}

// work ends tasks whose time is over, and all of them when the lease expires.
func (r *runner) work(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, 10*time.Millisecond)
		r.mu.Lock()
		lapsed := r.clock() > r.deadline
		now := time.Now()
		for i := range r.ended {
			r.ended[i].lapsed = r.ended[i].lapsed || lapsed
		}
		for name, t := range r.running {
			runs := now.Sub(t.began)
			switch {
			case lapsed:
				r.finish(name, t, "lapsed")
			case !t.stopAt.IsZero() && now.After(t.stopAt):
				r.finish(name, t, "stopped")
			case t.plan.MS > 0 && runs >= time.Duration(t.plan.MS)*time.Millisecond:
				r.finish(name, t, t.plan.End)
			}
		}
		r.mu.Unlock()
	}
}

func (r *runner) finish(name string, t *runningTask, how string) {
	delete(r.running, name)
	r.over[name] = max(r.over[name], t.attempt)
	r.lastEnd++
	r.ended = append(r.ended, endedTask{n: r.lastEnd, task: name, attempt: t.attempt, how: how, saved: t.saved})
	r.f.ended(name, t.attempt, r.id, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

type runnerCall struct {
	Task     string `json:"task"`
	Attempt  int64  `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"-"`
	Fence    int64  `json:"-"`
	Saved    string `json:"saved"`
	Ticket   string `json:"ticket"`
	Acked    int64  `json:"-"`
	WaitMS   int64  `json:"wait_ms"`
}

// call decodes a call and checks its fence. r.mu is held after it returns true.
func (r *runner) call(w http.ResponseWriter, req *http.Request) (runnerCall, bool) {
	c, err := decodeCall(req.Body)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{names.Clock: r.clock()})
		return c, false
	}
	r.mu.Lock()
	if r.gone {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if c.Fence < r.fence {
		r.mu.Unlock()
		writeJSON(w, http.StatusConflict, map[string]any{names.Clock: r.clock(), "reason": "fence"})
		return c, false
	}
	r.fence = c.Fence
	return c, true
}

func (r *runner) extend(deadline int64) {
	r.deadline = max(r.deadline, min(deadline, r.clock()+holdMax.Milliseconds()))
}

func (r *runner) start(w http.ResponseWriter, req *http.Request) {
	c, ok := r.call(w, req)
	if !ok {
		return
	}
	defer r.mu.Unlock()
	refuse := func(reason string) {
		r.f.log("runner %s rejects the start of %s run %d: %s", r.id, c.Task, c.Attempt, reason)
		writeJSON(w, http.StatusConflict, map[string]any{names.Clock: r.clock(), "reason": reason})
	}
	st, p := r.f.taskOf(c.Task)
	t, runs := r.running[c.Task]
	switch {
	case st == nil:
		r.f.log("runner %s is told to start %s, which nobody sent", r.id, c.Task)
		writeJSON(w, http.StatusBadRequest, map[string]any{names.Clock: r.clock()})
		return
	case c.Deadline <= r.clock():
		refuse("late")
		return
	case runs && t.attempt == c.Attempt:
		r.extend(c.Deadline)
		writeJSON(w, http.StatusOK, map[string]any{names.Clock: r.clock()})
		return
	case c.Attempt <= r.over[c.Task]:
		r.extend(c.Deadline)
		refuse("old")
		return
	}
	if step := c.Task[:strings.LastIndex(c.Task, ".")]; r.f.needsTicket(c.Task) && (c.Ticket == "" || !r.f.ticketValid(step, r.id, c.Ticket)) {
		refuse("ticket")
		return
	}
	used := st.CPU
	for _, other := range r.running {
		used += other.step.CPU
	}
	if used > workerCPU {
		r.extend(c.Deadline)
		refuse("room")
		return
	}
	r.extend(c.Deadline)
	r.running[c.Task] = &runningTask{attempt: c.Attempt, began: time.Now(), step: st, plan: p, saved: c.Saved}
	r.f.started(c.Task, c.Attempt, r.id)
	if r.onStart != nil {
		go r.onStart()
	}
	writeJSON(w, http.StatusOK, map[string]any{names.Clock: r.clock()})
}

func (r *runner) stop(w http.ResponseWriter, req *http.Request) {
	c, ok := r.call(w, req)
	if !ok {
		return
	}
	defer r.mu.Unlock()
	r.over[c.Task] = max(r.over[c.Task], c.Attempt)
	if t, runs := r.running[c.Task]; runs && t.attempt <= c.Attempt && t.stopAt.IsZero() {
		t.stopAt = time.Now().Add(stopGrace)
	}
	writeJSON(w, http.StatusOK, map[string]any{names.Clock: r.clock()})
}

func (r *runner) pace(w http.ResponseWriter, req *http.Request) {
	if _, ok := r.call(w, req); !ok {
		return
	}
	defer r.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{names.Clock: r.clock()})
}

func (r *runner) hold(w http.ResponseWriter, req *http.Request) {
	c, ok := r.call(w, req)
	if !ok {
		return
	}
	if c.Deadline > 0 {
		r.extend(c.Deadline)
	}
	for len(r.ended) > 0 && r.ended[0].n <= c.Acked {
		if e := &r.ended[0]; !e.lapsed {
			r.f.log("the end of run %s %d on %s is taken note of", e.task, e.attempt, r.id)
			r.f.acked(e.task, e.attempt)
		}
		r.ended = r.ended[1:]
	}
	end := time.After(time.Duration(min(c.WaitMS, 2000)) * time.Millisecond)
	for waits := c.WaitMS > 0; waits && len(r.ended) == 0; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			waits = false
		case <-req.Context().Done():
			waits = false
		}
		r.mu.Lock()
		if r.gone {
			r.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	defer r.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	tasks := make([]string, 0, len(r.running))
	for name := range r.running {
		tasks = append(tasks, name)
	}
	sort.Strings(tasks)
	for _, name := range tasks {
		t := r.running[name]
		running = append(running, []any{name, t.attempt, t.saved, t.percent(), 100})
	}
	for _, e := range r.ended {
		if len(ended) == 500 {
			break
		}
		ended = append(ended, []any{e.n, e.task, e.attempt, e.how, e.saved})
	}
	writeJSON(w, http.StatusOK, map[string]any{names.Clock: r.clock(), "born": r.born.UnixMilli(), "running": running, "ended": ended})
}

// percent returns how much of a task is done; of a lasting one, 100 after a short startup.
func (t *runningTask) percent() int {
	runs := time.Since(t.began)
	if t.step.Lasts {
		if runs > 300*time.Millisecond {
			return 100
		}
		return 0
	}
	return min(99, int(100*runs/(time.Duration(t.plan.MS)*time.Millisecond)))
}

// taskOf returns the step and the plan of a task, or nil for one that nobody sent.
func (f *fleet) taskOf(name string) (*stepSpec, plan) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return nil, plan{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	j, ok := f.jobs[parts[0]]
	step, err := strconv.Atoi(parts[2])
	if !ok || err != nil || step >= len(j.body.Steps) {
		return nil, plan{}
	}
	var plans []plan
	if err := json.Unmarshal([]byte(j.body.Spec), &plans); err != nil || step >= len(plans) {
		f.cannotRun("spec of %s: %v", name, err)
	}
	return &j.body.Steps[step], plans[step]
}

func stepName(job string, step int) string { return fmt.Sprintf("%s.0.%d", job, step) }
