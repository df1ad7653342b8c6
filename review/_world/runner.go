package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in of a runner. What a task needs stands in the text of its job, as
// words such as "ms=20000 cpu=4000".
type runner struct {
	w        *world
	id, rack string
	service  string
	machine  string
	addr     string
	capacity int64
	// guards is set if the runner rejects what does not fit.
	guards bool
	// rate is the rate of its clock relative to real time.
	rate      float64
	stopGrace time.Duration

	mu      sync.Mutex
	server  *http.Server
	up      bool
	began   time.Time
	born    int64
	seq     int64
	fence   int64
	lease   int64
	runs    map[string]*taskRun
	highest map[string]int64
	ends    []end
	lastEnd int64
	changed chan struct{}
	// blocked, if set, tells which calls are lost on the way, by their fencing tokens, and
	// unhealthy makes the runner refuse all starts.
	blocked   func(fence int64) bool
	unhealthy bool
	// failing makes the runner fail all that it starts.
	failing bool
	// mute is set while the runner's reports do not reach the store.
	mute bool
}

type taskRun struct {
	task     string
	attempt  int64
	cpu      int64
	began    time.Time
	length   time.Duration
	lasts    bool
	stopping bool
	// gang is the number of tasks that work only together; zero for a task by itself.
	gang int
}

type end struct {
	number  int64
	task    string
	attempt int64
	how     string
}

func key(task string, attempt int64) string { return task + "#" + strconv.FormatInt(attempt, 10) }

// start begins a life of the runner.
func (r *runner) start() error {
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.addr = l.Addr().String()
	r.up, r.began, r.born = true, time.Now(), time.Now().UnixMilli()
	r.fence, r.lease, r.lastEnd, r.seq = 0, 0, 0, 0
	r.runs, r.highest, r.ends = make(map[string]*taskRun), make(map[string]int64), nil
	r.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.serveStart)
	mux.HandleFunc("POST /run-stop", r.serveStop)
	mux.HandleFunc("POST /hold", r.serveHold)
	mux.HandleFunc("POST /pace", r.servePace)
	r.server = &http.Server{Handler: mux}
	server, born := r.server, r.born
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go r.live(born)
	return nil
}

// crash ends the runner with all that it runs; it sends nothing.
func (r *runner) crash() {
	r.mu.Lock()
	server := r.server
	r.up = false
	for _, x := range r.runs {
		r.w.ended(r, x, "lost with its runner")
		if x.gang > 0 {
			r.w.leaveGang(x, "lost")
		}
	}
	r.runs = nil
	r.mu.Unlock()
	_ = server.Close()
}

// live reports the runner to the store and ends what has been done or has no lease.
func (r *runner) live(born int64) {
	next := time.Now()
	for {
		r.mu.Lock()
		if !r.up || r.born != born {
			r.mu.Unlock()
			return
		}
		r.expire()
		if now := time.Now(); !now.Before(next) {
			next = now.Add(heartbeat)
			r.seq++
			if !r.mute {
				r.w.report(r)
			}
		}
		r.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

// clock returns the reading of the runner's steady clock in milliseconds.
func (r *runner) clock() int64 {
	return 1000 + int64(r.rate*float64(time.Since(r.began).Microseconds())/1000)
}

func (r *runner) expire() {
	for _, x := range r.runs {
		switch {
		case r.clock() > r.lease:
			r.finish(x, "lapsed")
		case x.gang > 0 && !x.stopping:
			r.expireMember(x)
		case !x.lasts && !x.stopping && time.Since(x.began) >= x.length:
			r.finish(x, "done")
		}
	}
}

// expireMember ends a run of a gang that has worked for its time or has waited too long for
// the other members.
func (r *runner) expireMember(x *taskRun) {
	since, complete := r.w.gangSince(x)
	switch {
	case complete && time.Since(since) >= x.length:
		r.finish(x, "done")
	case !complete && time.Since(x.began) >= gangWait:
		r.finish(x, "alone")
	}
}

// finish ends a run. The caller holds mu.
func (r *runner) finish(x *taskRun, how string) {
	if r.runs[key(x.task, x.attempt)] != x {
		return
	}
	delete(r.runs, key(x.task, x.attempt))
	r.lastEnd++
	r.ends = append(r.ends, end{r.lastEnd, x.task, x.attempt, how})
	r.highest[x.task] = max(r.highest[x.task], x.attempt)
	r.w.ended(r, x, how)
	if x.gang > 0 {
		r.w.leaveGang(x, how)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// order is the body of a call to a runner.
type order struct {
	task, spec                                     string
	attempt, deadline, fence, acknowledged, waitMS int64
}

// admit decodes an order and checks its fence. It returns with mu locked if it returns
// true. A call on a cut link gets no answer.
func (r *runner) admit(w http.ResponseWriter, q *http.Request) (order, bool) {
	raw, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	o, err := decodeOrder(raw)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	r.mu.Lock()
	if r.blocked != nil && r.blocked(o.fence) {
		r.mu.Unlock()
		r.w.note("runner %s: %s with fence %d is lost on the way", r.id, q.URL.Path, o.fence)
		hang(q)
		return o, false
	}
	if q.Header.Get(names["target"]) != r.id {
		r.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if o.fence < r.fence {
		defer r.mu.Unlock()
		reply(w, http.StatusConflict, r.refusal("fence"))
		return o, false
	}
	r.fence = o.fence
	return o, true
}

// hang keeps a call without an answer until its caller gives up.
func hang(q *http.Request) {
	<-q.Context().Done()
	panic(http.ErrAbortHandler)
}

// refusal is the body of a refusal.
func (r *runner) refusal(reason string) map[string]any {
	return map[string]any{names["clock"]: r.clock(), "reason": reason}
}

func (r *runner) extend(deadline int64) {
	if deadline > 0 {
		r.lease = max(r.lease, min(deadline, r.clock()+holdMaxMS))
	}
}

func (r *runner) used() int64 {
	var n int64
	for _, x := range r.runs {
		n += x.cpu
	}
	return n
}

func words(spec string) (x taskRun) {
	for _, f := range strings.Fields(spec) {
		k, v, _ := strings.Cut(f, "=")
		n, _ := strconv.ParseInt(v, 10, 64)
		switch k {
		case "cpu":
			x.cpu = n
		case "ms":
			x.length = time.Duration(n) * time.Millisecond
		case "lasts":
			x.lasts = true
		case "gang":
			x.gang = int(n)
		}
	}
	return x
}

func (r *runner) serveStart(w http.ResponseWriter, q *http.Request) {
	o, ok := r.admit(w, q)
	if !ok {
		return
	}
	defer r.mu.Unlock()
	if r.unhealthy {
		r.w.note("runner %s refuses the start of %s run %d: 503", r.id, o.task, o.attempt)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	no := func(reason string) {
		reply(w, http.StatusConflict, r.refusal(reason))
	}
	if o.deadline <= r.clock() {
		no("late")
		return
	}
	if _, there := r.runs[key(o.task, o.attempt)]; there {
		r.extend(o.deadline)
		reply(w, http.StatusOK, map[string]any{names["clock"]: r.clock()})
		return
	}
	r.extend(o.deadline)
	if o.attempt <= r.highest[o.task] {
		no("old")
		return
	}
	needs := words(o.spec)
	if r.guards && r.used()+needs.cpu > r.capacity {
		no("room")
		return
	}
	x := &needs
	x.task, x.attempt, x.began = o.task, o.attempt, time.Now()
	r.runs[key(x.task, x.attempt)] = x
	r.w.started(r, x, o.fence)
	r.w.note("runner %s: its lease lasts %.2f s more by its clock", r.id, float64(r.lease-r.clock())/1000)
	switch {
	case r.failing:
		r.finish(x, "failed")
	case x.gang > 0:
		r.w.joinGang(r, x)
	}
	reply(w, http.StatusOK, map[string]any{names["clock"]: r.clock()})
}

func (r *runner) serveStop(w http.ResponseWriter, q *http.Request) {
	o, ok := r.admit(w, q)
	if !ok {
		return
	}
	defer r.mu.Unlock()
	r.highest[o.task] = max(r.highest[o.task], o.attempt)
	if x, there := r.runs[key(o.task, o.attempt)]; there && !x.stopping {
		x.stopping = true
		r.w.note("runner %s is told to stop %s run %d (fence %d)", r.id, o.task, o.attempt, o.fence)
		time.AfterFunc(r.stopGrace, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.finish(x, "stopped")
		})
	}
	reply(w, http.StatusOK, map[string]any{names["clock"]: r.clock()})
}

func (r *runner) servePace(w http.ResponseWriter, q *http.Request) {
	if _, ok := r.admit(w, q); !ok {
		return
	}
	defer r.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{names["clock"]: r.clock()})
}

func (r *runner) serveHold(w http.ResponseWriter, q *http.Request) {
	o, ok := r.admit(w, q)
	if !ok {
		return
	}
	r.extend(o.deadline)
	if len(r.runs) > 0 {
		r.w.note("runner %s: hold with fence %d; its lease lasts %.2f s more by its clock", r.id, o.fence, float64(r.lease-r.clock())/1000)
	}
	for len(r.ends) > 0 && r.ends[0].number <= o.acknowledged {
		r.ends = r.ends[1:]
	}
	if len(r.ends) == 0 && o.waitMS > 0 {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.waitMS) * time.Millisecond):
		case <-q.Context().Done():
			return
		}
		r.mu.Lock()
		if !r.up {
			r.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if r.blocked != nil && r.blocked(o.fence) {
			r.mu.Unlock()
			hang(q)
		}
	}
	defer r.mu.Unlock()
	running, ended := []any{}, []any{}
	for _, x := range r.runs {
		percent := 100
		if !x.lasts {
			percent = min(99, int(100*time.Since(x.began)/max(1, x.length)))
		} else if time.Since(x.began) < 300*time.Millisecond {
			percent = 0
		}
		running = append(running, []any{x.task, x.attempt, "", percent, x.cpu})
	}
	for _, e := range r.ends[:min(500, len(r.ends))] {
		ended = append(ended, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	reply(w, http.StatusOK, map[string]any{names["clock"]: r.clock(), "born": r.born, "running": running, "ended": ended})
}

// beat returns the runner's report about itself. The caller holds mu.
func (r *runner) beat() []byte {
	raw, err := json.Marshal(map[string]any{
		"service": r.service, "addr": r.addr, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]any{"cpu": r.capacity, "mem_mb": 131072, "gpu": 0}, "labels": []string{"a", r.rack},
		names["clock"]: r.clock(), "seq": r.seq, "born": r.born, "machine": r.machine,
	})
	if err != nil {
		panic(fmt.Sprint("beat: ", err))
	}
	return raw
}
