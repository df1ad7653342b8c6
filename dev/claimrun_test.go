package dev_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

const (
	// sendsPerKey is the number of requests with each key.
	sendsPerKey = 3
	// sendTimeLimit is the time limit of each request.
	sendTimeLimit = 3 * time.Second
	// maxConcurrentKeys is the largest number of keys in flight.
	maxConcurrentKeys = 16
)

// claimRun sends requests with idempotency keys to a fleet under faults and
// records the history.
type claimRun struct {
	t       *testing.T
	fleet   *dev.Fleet
	keys    int
	seed    uint64
	started time.Time
	pauses  sync.Map

	mu      sync.Mutex
	entries []*dev.EntryInstance
	history []porcupine.Operation
}

// newClaimRun starts a fleet. tap, if set, is the tap of every entry and may
// inject a fault there.
func newClaimRun(t *testing.T, entries, keys int, seed uint64, tap entry.Tap) *claimRun {
	t.Helper()
	r := &claimRun{t: t, keys: keys, seed: seed}
	placement := reduce.PlacementLocal
	if *claimHolder {
		placement = reduce.PlacementHolder
	}
	f, err := dev.Start(dev.Config{
		Entries: entries, Runners: 4, Slots: 8, ProcessingTime: 2 * time.Millisecond, Placement: placement,
		Tap: func(id fleet.EntryID) entry.Tap { return r.tap(id, tap) },
	})
	must.NoError(t, err)
	t.Cleanup(f.Stop)
	r.fleet, r.entries = f, append(r.entries, f.Entries...)
	code, _ := publish(t, f.Entries[0], "0", f.Text(8))
	must.EqOp(t, http.StatusOK, code)
	for _, n := range f.Entries {
		waitForClaims(t, n)
	}
	return r
}

func waitForClaims(t *testing.T, n *dev.EntryInstance) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		return n.Entry.Ready() && status(t, n).Claims.Open
	}), wait.Timeout(20*time.Second)))
}

// tap returns the tap of an entry, which blocks the control goroutine while
// pauses has a channel for the entry's id.
func (r *claimRun) tap(id fleet.EntryID, next entry.Tap) entry.Tap {
	return func(ev event.Event, out []effect.Effect) []effect.Effect {
		if until, ok := r.pauses.Load(id); ok {
			<-until.(chan struct{})
		}
		if next != nil {
			return next(ev, out)
		}
		return out
	}
}

// run sends all keys, each to several entries concurrently, and returns the
// history.
func (r *claimRun) run(faults []claimFault) []porcupine.Operation {
	r.started = time.Now()
	var wg sync.WaitGroup
	reached := make(chan float64)
	wg.Go(func() { r.inject(faults, reached) })
	slots := make(chan struct{}, maxConcurrentKeys)
	random := rand.New(rand.NewPCG(r.seed, 0))
	for i := range r.keys {
		order := random.Perm(len(r.entries))
		slots <- struct{}{}
		reached <- float64(i) / float64(r.keys)
		wg.Go(func() {
			r.sendKey(order)
			<-slots
		})
	}
	close(reached)
	wg.Wait()
	r.addRuns()
	return r.history
}

// waitIdle waits until no entry has a request, a claim or a group of claims left.
func (r *claimRun) waitIdle() {
	for _, n := range r.entries {
		must.Wait(r.t, wait.InitialSuccess(wait.BoolFunc(func() bool {
			st := status(r.t, n)
			return st.Requests == 0 && st.Queued == 0 && st.Running == 0 && st.Claims.Held == 0 && st.Claims.Groups == 0
		}), wait.Timeout(20*time.Second)), must.Sprintf("%s is not idle: %+v", n.ID, status(r.t, n)))
	}
}

func (r *claimRun) sendKey(order []int) {
	key := uuid.Must(uuid.NewV7()).String()
	var wg sync.WaitGroup
	for i := range sendsPerKey {
		target := r.entry(order[i%len(order)])
		wg.Go(func() { r.send(target, key) })
	}
	wg.Wait()
}

func (r *claimRun) entry(i int) *dev.EntryInstance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries[i]
}

// send sends a request and records its answer. If the connection breaks, the
// recorded answer is empty.
func (r *claimRun) send(n *dev.EntryInstance, key string) {
	op := claimOp{key: key, sent: "permit " + key}
	call := time.Since(r.started)
	ctx, cancel := context.WithTimeout(context.Background(), 2*sendTimeLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, n.CallersURL+"/v1/services/permit/requests", strings.NewReader(op.sent))
	must.NoError(r.t, err)
	req.Header.Set("Banyanrail-Member", "lawa")
	req.Header.Set("Banyanrail-Time-Limit", sendTimeLimit.String())
	req.Header["Idempotency-Key"] = []string{key}
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var body []byte
		body, err = io.ReadAll(resp.Body)
		if err == nil {
			op.ran, op.answer = resp.Header.Get("Banyanrail-Ran"), string(body)
			op.request, op.run = resp.Header.Get("Banyanrail-Request"), etag(resp)
			if resp.StatusCode == http.StatusGone {
				op.ran = "unkept"
			}
		}
	}
	r.add(op, call, time.Since(r.started))
}

func etag(resp *http.Response) string {
	tag, err := strconv.Unquote(resp.Header.Get("Etag"))
	if err != nil {
		return ""
	}
	return tag
}

func (r *claimRun) add(op claimOp, call, ret time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{
		ClientId: len(r.history), Input: op, Call: int64(call), Return: int64(ret),
	})
}

// addRuns adds the endpoints' runs to the history. Their times are unknown, so each
// spans the whole history.
func (r *claimRun) addRuns() {
	end := time.Since(r.started)
	byKey := r.requestKeys()
	for _, runner := range r.fleet.Runners {
		runs, err := runner.Runs(r.t.Context())
		must.NoError(r.t, err)
		for attempt, n := range runs.ByAttempt {
			key, ok := runs.KeyOf[attempt]
			must.True(r.t, ok)
			if want, known := byKey[requestOf(attempt)]; known {
				must.EqOp(r.t, want, key)
			}
			for range n {
				r.add(claimOp{key: key, attempt: attempt}, 0, end)
			}
		}
	}
}

// requestKeys returns the key of each request whose id was in an answer.
func (r *claimRun) requestKeys() map[string]string {
	keys := make(map[string]string)
	for _, op := range r.history {
		in := op.Input.(claimOp)
		if in.request != "" {
			keys[in.request] = in.key
		}
	}
	return keys
}

// claimFault is a fault that begins once a share of the keys was sent.
type claimFault struct {
	share float64
	apply func(*claimRun)
}

// inject starts each fault once its share of the keys was sent. It waits for a
// fault in progress before it starts the next, which delays further keys too.
func (r *claimRun) inject(faults []claimFault, reached <-chan float64) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for share := range reached {
		for len(faults) > 0 && faults[0].share <= share {
			act := faults[0].apply
			faults = faults[1:]
			wg.Wait()
			wg.Go(func() { act(r) })
		}
	}
}

// concurrently combines faults into one that applies them at the same time.
func concurrently(acts ...func(*claimRun)) func(*claimRun) {
	return func(r *claimRun) {
		var wg sync.WaitGroup
		for _, act := range acts {
			wg.Go(func() { act(r) })
		}
		wg.Wait()
	}
}

func loseAnswers(n int) func(*claimRun) {
	return func(r *claimRun) {
		must.NoError(r.t, r.fleet.Platform.SetLogFault(standin.LogFault{LoseAnswers: n}))
	}
}

func takeLogDown(d time.Duration) func(*claimRun) {
	return func(r *claimRun) {
		must.NoError(r.t, r.fleet.Platform.SetLogFault(standin.LogFault{Down: true}))
		time.Sleep(d)
		must.NoError(r.t, r.fleet.Platform.SetLogFault(standin.LogFault{}))
	}
}

// replaceEntry kills an entry and starts a new one instead.
func replaceEntry(i int) func(*claimRun) {
	return func(r *claimRun) {
		next, err := r.fleet.Replace(r.entry(i))
		must.NoError(r.t, err)
		waitForClaims(r.t, next)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.entries[i] = next
	}
}

func pauseEntry(i int, d time.Duration) func(*claimRun) {
	return func(r *claimRun) {
		id, until := r.entry(i).ID, make(chan struct{})
		r.pauses.Store(id, until)
		time.Sleep(d)
		r.pauses.Delete(id)
		close(until)
	}
}

// breakAnswers makes each endpoint break, truncate and swap the answers to
// requests that it has run.
func breakAnswers(n int) func(*claimRun) {
	return func(r *claimRun) {
		for _, runner := range r.fleet.Runners {
			must.NoError(r.t, runner.SetFault(standin.EndpointFault{Break: n, Truncate: n, Swap: n}))
		}
	}
}
