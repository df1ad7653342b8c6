package soak_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/platform/platformtest"
)

const (
	host = "soak.example"
	// prefix is the path of the clients' queue.
	prefix = "/plans/"
	// patience is how long clients wait for an answer.
	patience = 3 * time.Second
	// inHand is the age from which a call must have been read by the entry, so
	// that a connection that ends without an answer is its fault.
	inHand = 50 * time.Millisecond
)

// client hands in jobs over connections that it keeps, one to each entry, and
// follows them to their ends.
type client struct {
	w    *world
	rng  *rand.Rand
	http *http.Client
	name string
	// submits counts the jobs handed in.
	submits int
}

func (w *world) newClient(n int) *client {
	return &client{
		w: w, rng: rand.New(rand.NewSource(w.rng.Int63())), name: fmt.Sprintf("%02d", n),
		http: &http.Client{Timeout: patience, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// work hands in jobs until the context ends and follows them until w.ctx ends.
func (c *client) work(submitting context.Context) {
	defer c.http.CloseIdleConnections()
	var mine []fleet.JobID
	for c.w.ctx.Err() == nil && (submitting.Err() == nil || len(mine) > 0) {
		if submitting.Err() == nil && len(mine) < 6 {
			mine = append(mine, c.submit())
		}
		rest := mine[:0]
		for _, id := range mine {
			if !c.follow(id) {
				rest = append(rest, id)
			}
		}
		mine = rest
		_ = loop.Sleep(c.w.ctx, time.Duration(20+c.rng.Intn(80))*time.Millisecond)
	}
}

// drawSpec draws a job of one to three steps.
func (c *client) drawSpec() *fleet.JobSpec {
	spec := &fleet.JobSpec{Text: fmt.Sprintf("%d", 50+c.rng.Intn(600))}
	for i := range 1 + c.rng.Intn(3) {
		step := fleet.Step{Count: 1 + c.rng.Intn(4), Needs: taskNeeds, Estimate: 300 * time.Millisecond}
		if i > 0 {
			step.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	if c.rng.Intn(12) == 0 {
		spec.Steps = []fleet.Step{{Count: 3, Needs: taskNeeds, LongRunning: true, MaxUnavailable: 1}}
	}
	return spec
}

func (c *client) submit() fleet.JobID {
	c.submits++
	id := fleet.JobID(fmt.Sprintf("%s%014x", c.name, c.submits))
	j := &jobHistory{spec: c.drawSpec(), fails: c.rng.Intn(15) == 0, refused: true}
	c.w.history.mu.Lock()
	c.w.history.jobs[id] = j
	c.w.history.mu.Unlock()
	c.send(id)
	return id
}

// send hands a job in. An answer other than a refusal leaves open whether it is
// stored.
func (c *client) send(id fleet.JobID) {
	var body []byte
	var err error
	c.w.history.with(id, func(j *jobHistory) { body, err = platformtest.EncodeJob(j.spec) })
	if err != nil {
		c.w.history.fault("job %s cannot be written: %v", id, err)
		return
	}
	status, _ := c.call(http.MethodPost, id, body)
	c.w.history.with(id, func(j *jobHistory) {
		switch status {
		case http.StatusOK:
			j.refused = false
			if j.accepted.IsZero() {
				j.accepted = time.Now()
			}
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound, http.StatusBadRequest:
		default:
			j.refused = false
		}
	})
}

// follow does one thing about a job and reports whether that was the last.
func (c *client) follow(id fleet.JobID) bool {
	var accepted, lasting, cancelled bool
	c.w.history.with(id, func(j *jobHistory) {
		accepted, cancelled, lasting = !j.accepted.IsZero(), !j.cancelled.IsZero(), j.spec.Steps[0].LongRunning
	})
	switch {
	case !accepted:
		c.send(id)
		return false
	case !cancelled && (c.rng.Intn(60) == 0 || lasting && c.rng.Intn(15) == 0):
		c.cancel(id)
		return false
	}
	status, body := c.call(http.MethodGet, id, nil)
	if status == http.StatusGone {
		c.w.history.fault("job %s was accepted, and is not known any more", id)
		return true
	}
	var answer struct {
		State fleet.JobState `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return false
	}
	c.w.history.with(id, func(j *jobHistory) {
		j.state = answer.State
		if j.state == fleet.JobDone && j.shownDone.IsZero() {
			j.shownDone = time.Now()
		}
	})
	return answer.State.Final()
}

func (c *client) cancel(id fleet.JobID) {
	c.w.history.with(id, func(j *jobHistory) {
		if j.cancelling.IsZero() {
			j.cancelling = time.Now()
		}
	})
	if status, _ := c.call(http.MethodDelete, id, nil); status == http.StatusOK || status == http.StatusGone {
		c.w.history.with(id, func(j *jobHistory) { j.cancelled = time.Now() })
	}
}

// call calls an entry that was seen to live and returns the answer's status, or
// 0 if there was none.
func (c *client) call(method string, id fleet.JobID, body []byte) (int, []byte) {
	e := c.w.entries[c.rng.Intn(len(c.w.entries))]
	req, err := http.NewRequestWithContext(c.w.ctx, method, "http://"+e.front.address()+prefix+string(id), bytes.NewReader(body))
	if err != nil {
		c.w.history.fault("call cannot be written: %v", err)
		return 0, nil
	}
	req.Host = host
	platformtest.SetTimeout(req, patience)
	local := ""
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { local = info.Conn.LocalAddr().String() },
	}))
	sent := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		if e.front.reached(local) {
			c.broken(e, id, method, sent, err)
		}
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		c.broken(e, id, method, sent, err)
		return 0, nil
	}
	return resp.StatusCode, out
}

// broken holds it against an entry if it broke off a call that it had in hand
// though nothing but planned work happened to it.
func (c *client) broken(e *entryProcess, id fleet.JobID, method string, sent time.Time, err error) {
	took := time.Since(sent)
	if took < inHand || took > patience-inHand || c.w.ctx.Err() != nil || e.excused(sent.Add(-patience)) || e.front.disturbed(sent) {
		return
	}
	c.w.history.fault("%s of job %s at %s was broken off after %v: %v", method, id, e.ip, took, err)
}
