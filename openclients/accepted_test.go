package openclients_test

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/platform/platformtest"
	"github.com/shoenig/test/must"
)

const (
	// manyJobs is the number of large jobs that senders clients hand in by turns.
	manyJobs = 400
	senders  = 8
	// manyStepsCount is the number of steps of a job of about 250 KB.
	manyStepsCount = 4_000
)

// TestAcceptedJobs guards against jobs inside all limits whose state takes the memory of the
// owner once they are accepted.
func TestAcceptedJobs(t *testing.T) {
	const wide, narrow = `{"count":10000,"cpu":100,"mem_mb":10}`, `{"count":1,"cpu":100,"mem_mb":10,"est_runtime_ms":1000}`
	for name, steps := range map[string][]string{
		"many tasks": {wide, wide},
		"many steps": slices.Repeat([]string{narrow}, manyStepsCount),
	} {
		t.Run(name, func(t *testing.T) {
			p := startEntry(t)
			most, mostMB := p.watchDescriptors(), p.watchMemory()
			body := fmt.Appendf(nil, `{"spec":%q,"steps":[%s]}`, strings.Repeat("x", fleet.MaxTextBytes), strings.Join(steps, ","))
			var sending sync.WaitGroup
			statuses := make(chan int, manyJobs)
			for s := range senders {
				sending.Go(func() {
					for n := range manyJobs / senders {
						statuses <- p.submitBody(t, s<<16+n+1, body)
					}
				})
			}
			sending.Wait()
			close(statuses)
			counts := map[int]int{}
			for s := range statuses {
				counts[s]++
			}
			t.Logf("answers by status: %v", counts)
			p.checkAlive(t)
			must.NotEq(t, 0, p.request(t), must.Sprint("an ordinary request is answered"))
			must.Zero(t, counts[0], must.Sprint("jobs without an answer"))
			p.checkBounds(t, most(), mostMB())
		})
	}
}

// TestEvictedJobIsOneJob guards against a job that is there twice, or not at all, after an
// incomplete submission of it was evicted and it has come again, twice.
func TestEvictedJobIsOneJob(t *testing.T) {
	p := startEntry(t)
	before := p.waiting(t)
	release := hold(t, crowdSize, clients, body(entryRequest, bodyBytes, kinds[0]))
	content := smallJob(t)
	for range 2 {
		must.Eq(t, http.StatusOK, p.submitBody(t, 1, content)) // the first client of the crowd has this number
	}
	release()
	must.Eq(t, before+1, p.waiting(t))
}

// submitBody submits a job with a number and returns the status of the answer.
func (p *process) submitBody(t *testing.T, job int, body []byte) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address(clients)+jobPath(job), bytes.NewReader(body))
	must.NoError(t, err)
	req.Host = queueHost
	platformtest.SetTimeout(req, answerTimeout)
	return p.status(t, req)
}
