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
	"github.com/banyanrail/banyanrail/platform/platformtest"
)

const (
	host = "soak.example"
	// prefix is the path of the clients' queue.
	prefix = "/plans/"
	// clientTimeout is how long clients wait for an answer.
	clientTimeout = 3 * time.Second
	// minReadTime is the time after which an entry must have read a call. If the
	// connection ends without an answer later than that, the entry is at fault.
	minReadTime = 50 * time.Millisecond
)

// client submits jobs over keep-alive connections to the entries, and polls them
// until they have ended.
type client struct {
	tb   *testbed
	rng  *rand.Rand
	http *http.Client
	name string
	// submitted is the number of jobs submitted.
	submitted int
	// long is set if the client's jobs are long. maxPending is how many it keeps in
	// hand, burst how many more it submits at once; one may be cancelled then.
	long              bool
	maxPending, burst int
	// bursts has the client submit a burst; nil if it never does.
	bursts <-chan struct{}
	// cancelOdds is the number of polls of a job per cancellation.
	cancelOdds int
}

func (tb *testbed) newClient(n int) *client {
	return &client{
		tb: tb, rng: rand.New(rand.NewSource(tb.rng.Int63())), name: fmt.Sprintf("%02d", n),
		http:       &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		maxPending: 6, cancelOdds: 60,
	}
}

// submitLongJobs has the client submit jobs that outlast the leases of runners that are cut
// off.
func (c *client) submitLongJobs() {
	c.long, c.maxPending, c.burst, c.cancelOdds = true, 1, 3, 400
	c.bursts = c.tb.bursts
}

// run submits jobs until submitting is done. It polls them until they have ended
// or tb.ctx is done.
func (c *client) run(submitting context.Context) {
	defer c.http.CloseIdleConnections()
	var pending []fleet.JobID
	for c.tb.ctx.Err() == nil && (submitting.Err() == nil || len(pending) > 0) {
		if submitting.Err() == nil && len(pending) < c.maxPending {
			pending = append(pending, c.submit())
		}
		remaining := pending[:0]
		for _, id := range pending {
			if !c.advance(id) {
				remaining = append(remaining, id)
			}
		}
		pending = remaining
		if c.pause() {
			if len(pending) > 0 && c.rng.Intn(2) == 0 {
				c.cancel(pending[0])
			}
			for range c.burst {
				pending = append(pending, c.submit())
			}
		}
	}
}

// pause waits, and reports whether a burst is to be submitted.
func (c *client) pause() bool {
	t := time.NewTimer(time.Duration(20+c.rng.Intn(80)) * time.Millisecond)
	defer t.Stop()
	select {
	case <-c.bursts:
		return true
	case <-c.tb.ctx.Done():
	case <-t.C:
	}
	return false
}

// drawLongJob draws a job whose tasks take 6 to 14 s: half of them longer than the longest
// lease.
func (c *client) drawLongJob() *jobHistory {
	text := taskText{CPU: longTaskNeeds.CPU, DurationMS: int64(6000 + c.rng.Intn(8000))}
	return &jobHistory{refused: true, spec: &fleet.JobSpec{Text: text.String(), Steps: []fleet.Step{{
		Count: 2 + c.rng.Intn(3), Needs: longTaskNeeds, Estimate: time.Duration(text.DurationMS) * time.Millisecond,
	}}}}
}

// drawJob draws a job of one to three steps.
func (c *client) drawJob() *jobHistory {
	text := taskText{CPU: taskNeeds.CPU, DurationMS: int64(50 + c.rng.Intn(600))}
	spec := &fleet.JobSpec{}
	for i := range 1 + c.rng.Intn(3) {
		step := fleet.Step{Count: 1 + c.rng.Intn(4), Needs: taskNeeds, Estimate: 300 * time.Millisecond}
		if i > 0 {
			step.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	if c.rng.Intn(12) == 0 {
		spec.Steps = []fleet.Step{{Count: 3, Needs: taskNeeds, LongRunning: true, MaxUnavailable: 1}}
		text.LongRunning = true
	}
	text.Fails = c.rng.Intn(15) == 0
	spec.Text = text.String()
	return &jobHistory{spec: spec, fails: text.Fails, refused: true}
}

func (c *client) submit() fleet.JobID {
	c.submitted++
	id := fleet.JobID(fmt.Sprintf("%s%014x", c.name, c.submitted))
	j := c.drawJob()
	if c.long {
		j = c.drawLongJob()
	}
	c.tb.history.mu.Lock()
	c.tb.history.jobs[id] = j
	c.tb.history.mu.Unlock()
	c.send(id)
	return id
}

// send submits a job. Unless the answer confirms or refuses it, the job may or may
// not be stored.
func (c *client) send(id fleet.JobID) {
	var body []byte
	var err error
	c.tb.history.withJob(id, func(j *jobHistory) { body, err = platformtest.EncodeJob(j.spec) })
	if err != nil {
		c.tb.history.addViolation("job %s cannot be encoded: %v", id, err)
		return
	}
	status, _ := c.call(http.MethodPost, id, body)
	c.tb.history.withJob(id, func(j *jobHistory) {
		switch status {
		case http.StatusOK:
			j.refused = false
			if j.acceptedAt.IsZero() {
				j.acceptedAt = time.Now()
			}
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound, http.StatusBadRequest:
		default:
			j.refused = false
		}
	})
}

// advance submits, cancels or polls a job, and reports whether the job has ended.
func (c *client) advance(id fleet.JobID) bool {
	var accepted, longRunning, cancelled bool
	c.tb.history.withJob(id, func(j *jobHistory) {
		accepted, cancelled, longRunning = !j.acceptedAt.IsZero(), !j.cancelledAt.IsZero(), j.spec.Steps[0].LongRunning
	})
	switch {
	case !accepted:
		c.send(id)
		return false
	case !cancelled && (c.rng.Intn(c.cancelOdds) == 0 || longRunning && c.rng.Intn(15) == 0):
		c.cancel(id)
		return false
	}
	status, body := c.call(http.MethodGet, id, nil)
	if status == http.StatusGone {
		c.tb.history.addViolation("job %s was accepted but is unknown now", id)
		return true
	}
	var answer struct {
		State fleet.JobState `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return false
	}
	c.tb.history.withJob(id, func(j *jobHistory) {
		j.state = answer.State
		if j.state == fleet.JobDone && j.reportedDoneAt.IsZero() {
			j.reportedDoneAt = time.Now()
		}
	})
	return answer.State.Final()
}

func (c *client) cancel(id fleet.JobID) {
	c.tb.history.withJob(id, func(j *jobHistory) {
		if j.cancelSentAt.IsZero() {
			j.cancelSentAt = time.Now()
		}
	})
	if status, _ := c.call(http.MethodDelete, id, nil); status == http.StatusOK || status == http.StatusGone {
		c.tb.history.withJob(id, func(j *jobHistory) { j.cancelledAt = time.Now() })
	}
}

// call sends a call to a random entry. It returns the status and the body of the
// answer; without an answer the status is 0.
func (c *client) call(method string, id fleet.JobID, body []byte) (int, []byte) {
	e := c.tb.entries[c.rng.Intn(len(c.tb.entries))]
	req, err := http.NewRequestWithContext(c.tb.ctx, method, "http://"+e.clientProxy.address()+prefix+string(id), bytes.NewReader(body))
	if err != nil {
		c.tb.history.addViolation("request cannot be created: %v", err)
		return 0, nil
	}
	req.Host = host
	platformtest.SetTimeout(req, clientTimeout)
	platformtest.SetKey(req, steadyKey)
	local := ""
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { local = info.Conn.LocalAddr().String() },
	}))
	sent := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		if e.clientProxy.reached(local) {
			c.checkBroken(e, id, method, sent, err)
		}
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		c.checkBroken(e, id, method, sent, err)
		return 0, nil
	}
	if resp.StatusCode == http.StatusUnauthorized {
		c.tb.history.addViolation("%s of job %s at %s was denied with a valid key", method, id, e.ip)
	}
	return resp.StatusCode, out
}

// checkBroken records a violation if an entry broke the connection of a call that
// it must have read, although no fault affected the entry. A graceful shutdown or
// a reload is no fault.
func (c *client) checkBroken(e *entryProcess, id fleet.JobID, method string, sent time.Time, err error) {
	took := time.Since(sent)
	if took < minReadTime || took > clientTimeout-minReadTime || c.tb.ctx.Err() != nil || e.faultAfter(sent.Add(-clientTimeout)) || e.clientProxy.faultAfter(sent) {
		return
	}
	c.tb.history.addViolation("%s of job %s at %s lost its connection after %v: %v", method, id, e.ip, took, err)
}
