package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/platform/platformtest"
)

// call sends a call to an entry. It returns the status, the body and the time to wait
// before a retry; without an answer the status is 0.
func (b *bed) call(e *entry, method, path string, body []byte) (int, []byte, time.Duration) {
	ctx, cancel := context.WithTimeout(b.ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, 0
	}
	req.Host = host
	platformtest.SetTimeout(req, clientTimeout)
	resp, err := b.client.Do(req)
	if err != nil {
		return 0, nil, 0
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, 0
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // zero without the header
	return resp.StatusCode, out, time.Duration(seconds) * time.Second
}

// maxRetries is how often a client sends its job again.
const maxRetries = 4

// submit hands a job in at one entry after another, and reports whether it was
// accepted.
func (b *bed) submit(id fleet.JobID, first int, spec *fleet.JobSpec) bool {
	body, err := platformtest.EncodeJob(spec)
	if err != nil {
		b.rec.printf("job %s cannot be encoded: %v", id, err)
		return false
	}
	for try := range 1 + maxRetries {
		e := b.entries[(first+try)%len(b.entries)]
		sent := time.Now()
		status, _, wait := b.call(e, http.MethodPost, prefix+string(id), body)
		b.rec.printf("job %s handed in at %s, try %d: status %d after %d ms", id, e.name, try+1, status, time.Since(sent).Milliseconds())
		switch status {
		case http.StatusOK:
			return true
		case http.StatusNotFound, http.StatusBadRequest:
			return false
		}
		b.sleep(max(wait, 100*time.Millisecond))
	}
	return false
}

// state asks one entry after another for the state of a job, until one answers with
// 200 or 410 or the time is over. It returns what it saw last.
func (b *bed) state(id fleet.JobID, first int, within time.Duration) string {
	deadline := time.Now().Add(within)
	last := "no answer"
	for try := 0; ; try++ {
		status, body, _ := b.call(b.entries[(first+try)%len(b.entries)], http.MethodGet, prefix+string(id), nil)
		var answer struct {
			State fleet.JobState `json:"state"`
		}
		switch {
		case status == http.StatusOK && json.Unmarshal(body, &answer) == nil:
			return string(answer.State)
		case status == http.StatusGone:
			return "unknown (410)"
		case status != 0:
			last = fmt.Sprintf("status %d", status)
		}
		if time.Now().After(deadline) {
			return last
		}
		b.sleep(100 * time.Millisecond)
	}
}
