package dev_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/google/uuid"
	"github.com/shoenig/test/must"
)

// step is an event that an entry reduced, with its effects. They are kept as text,
// because effects may share memory with the state, which changes.
type step struct {
	event   event.Event
	effects string
}

// renderEffects returns the effects as text, with the values that they point to.
func renderEffects(out []effect.Effect) string {
	var b strings.Builder
	for _, e := range out {
		data, err := json.Marshal(e)
		fmt.Fprintf(&b, "%T %s %v\n", e, data, err)
	}
	return b.String()
}

// recorder records the events and effects of all entries.
type recorder struct {
	mu   sync.Mutex
	runs map[fleet.EntryID][]step
}

func (r *recorder) tap(id fleet.EntryID) entry.Tap {
	return func(ev event.Event, out []effect.Effect) []effect.Effect {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.runs[id] = append(r.runs[id], step{event: ev, effects: renderEffects(out)})
		return out
	}
}

// TestRecordedRunReplays runs real entries with requests, claims, a drain, a new
// text and a lost answer to an append. It replays their events on new states, which
// must return the same effects.
func TestRecordedRunReplays(t *testing.T) {
	rec := &recorder{runs: make(map[fleet.EntryID][]step)}
	f, err := dev.Start(dev.Config{Entries: 3, Runners: 4, Slots: 2, ProcessingTime: time.Millisecond, Tap: rec.tap})
	must.NoError(t, err)
	stop := sync.OnceFunc(f.Stop)
	t.Cleanup(stop)
	code, _ := publish(t, f.Entries[0], "0", quickMaintenance(f))
	must.EqOp(t, http.StatusOK, code)
	for _, n := range f.Entries {
		waitForClaims(t, n)
	}
	loseAnswers(1)(&claimRun{t: t, fleet: f})
	code, _ = order(t, f.Entries[0], "/v1/drains", entry.DrainRequest{Instance: "runner-01", Purpose: "reboot"})
	must.EqOp(t, http.StatusOK, code)
	sender := &claimRun{t: t, fleet: f}
	for i := range 30 {
		call(t, f.Entries[i%3], "survey", "sediment")
		sender.send(f.Entries[i%3], uuid.Must(uuid.NewV7()).String())
	}
	waitPhase(t, f.Entries[1], "runner-01", "in-service")
	stop()
	for i, n := range f.Entries {
		replay(t, reduce.Config{
			Entry: n.ID, Seed: uint64(i + 1), Incarnation: uint64(i + 1), Placement: reduce.PlacementHolder,
			ClaimInterval: time.Second / entry.DefaultClaimAppendsPerSecond, MaxRequests: entry.DefaultMaxRequests,
		}, rec.runs[n.ID])
	}
}

func replay(t *testing.T, cfg reduce.Config, steps []step) {
	t.Helper()
	must.Positive(t, len(steps))
	s := reduce.New(cfg)
	for i, st := range steps {
		got := renderEffects(reduce.Reduce(s, st.event))
		must.EqOp(t, st.effects, got, must.Sprintf("entry %s, event %d: %T", cfg.Entry, i, st.event.Body))
	}
}
