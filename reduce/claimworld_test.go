package reduce_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/claims"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// requestRef identifies a request across all entries.
type requestRef struct {
	entry fleet.EntryID
	id    fleet.RequestID
}

// pendingAppend is a group whose append has not ended.
type pendingAppend struct {
	entry *claimant
	group claims.Group
}

// pendingAttempt is a dispatch whose attempt has not ended.
type pendingAttempt struct {
	entry *claimant
	effect.Dispatch
}

// claimWorld simulates several entries, their endpoints, and a log that loses,
// delays and repeats appends, all in virtual time.
type claimWorld struct {
	t              *rapid.T
	log            *claimLog
	now            time.Time
	entries        []*claimant
	ids            map[*claimant]fleet.EntryID
	started        int
	sent           fleet.RequestID
	appends        []pendingAppend
	delayedAppends []claims.Group
	attempts       []pendingAttempt
	keys           []fleet.Key
	keyOf          map[requestRef]fleet.Key
	runOf          map[fleet.Key]requestRef
	notRun         map[requestRef]bool
}

// worldEntries and worldKeys are small, so that requests of several entries
// often share a key.
const (
	worldEntries = 3
	worldKeys    = 2
)

func newClaimWorld(t *rapid.T) *claimWorld {
	w := &claimWorld{
		t: t, log: newClaimLog(), now: epoch,
		ids: make(map[*claimant]fleet.EntryID), keyOf: make(map[requestRef]fleet.Key),
		runOf: make(map[fleet.Key]requestRef), notRun: make(map[requestRef]bool),
	}
	for range worldEntries {
		w.entries = append(w.entries, w.newEntry())
	}
	for i := range worldKeys {
		w.keys = append(w.keys, keyAt(epoch, i))
	}
	return w
}

func (w *claimWorld) newEntry() *claimant {
	w.started++
	id := fleet.EntryID(fmt.Sprintf("entry-%d", w.started))
	c := newClaimant(w.log, id)
	c.now = w.now
	w.ids[c] = id
	return c
}

// carryOut carries out the effects of an entry, or keeps them pending.
func (w *claimWorld) carryOut(c *claimant, out []effect.Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case effect.AppendClaims:
			w.appends = append(w.appends, pendingAppend{entry: c, group: e.Group})
		case effect.Dispatch:
			w.attempts = append(w.attempts, pendingAttempt{entry: c, Dispatch: e})
		case effect.FetchAnswer:
			w.carryOut(c, c.do(event.AnswerFetched{Request: e.Request, Found: true}))
		case effect.Answer:
			w.checkAnswer(requestRef{w.ids[c], e.Request})
		case effect.Refuse:
			w.checkRefusal(requestRef{w.ids[c], e.Request}, e)
		}
	}
}

func (w *claimWorld) checkAnswer(s requestRef) {
	_, ran := w.runOf[w.keyOf[s]]
	must.True(w.t, ran, must.Sprintf("%v answered, but its key did not run", s))
}

func (w *claimWorld) checkRefusal(s requestRef, r effect.Refuse) {
	if r.Ran == fleet.RanNo {
		must.NotEqOp(w.t, s, w.runOf[w.keyOf[s]], must.Sprintf("refused as not run: %v", r.Reason))
		w.notRun[s] = true
	}
	if r.Ran == fleet.RanYes {
		w.checkAnswer(s)
	}
}

func (w *claimWorld) run(s requestRef) {
	key := w.keyOf[s]
	first, ran := w.runOf[key]
	must.False(w.t, ran, must.Sprintf("%s ran for %v and then for %v", key, first, s))
	must.False(w.t, w.notRun[s], must.Sprintf("%v ran after it was refused as not run", s))
	w.runOf[key] = s
}

// drawEntry draws an entry and advances its clock to the current time.
func (w *claimWorld) drawEntry() *claimant {
	c := rapid.SampledFrom(w.entries).Draw(w.t, "entry")
	c.now = w.now
	return c
}

// takeRandom removes a random element and returns it.
func takeRandom[T any](t *rapid.T, from *[]T) T {
	if len(*from) == 0 {
		t.Skip("nothing to take")
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(t, "index")
	v := (*from)[i]
	*from = append((*from)[:i:i], (*from)[i+1:]...)
	return v
}

func (w *claimWorld) send(*rapid.T) {
	c, key := w.drawEntry(), rapid.SampledFrom(w.keys).Draw(w.t, "key")
	w.sent++
	w.keyOf[requestRef{w.ids[c], w.sent}] = key
	w.carryOut(c, c.do(permit(w.sent, key)))
}

func (w *claimWorld) advanceRandomly(*rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(w.t, "ms")) * time.Millisecond)
}

func (w *claimWorld) fireTimer(*rapid.T) {
	c := w.drawEntry()
	w.carryOut(c, c.do(event.TimerFired{}))
}

func (w *claimWorld) read(*rapid.T) {
	c := w.drawEntry()
	to := rapid.IntRange(c.read, len(w.log.groups)).Draw(w.t, "to")
	page := w.log.groups[c.read:to]
	c.read = to
	w.carryOut(c, c.do(event.ClaimsRead{Groups: page, Oldest: 1}))
}

// endAppend lets an append take effect now, later, twice or not at all, and
// reports to its entry the outcome or that it is unknown.
func (w *claimWorld) endAppend(*rapid.T) {
	a := takeRandom(w.t, &w.appends)
	outcome := event.Appended
	switch rapid.SampledFrom([]string{"done", "failed", "lost", "late", "both"}).Draw(w.t, "append") {
	case "done":
		w.log.append(a.group)
	case "failed":
		outcome = event.AppendFailed
	case "lost":
		outcome = event.AppendUnknown
		w.log.append(a.group)
	case "late":
		outcome = event.AppendUnknown
		w.delayedAppends = append(w.delayedAppends, a.group)
	case "both":
		outcome = event.AppendUnknown
		w.log.append(a.group)
		w.delayedAppends = append(w.delayedAppends, a.group)
	}
	a.entry.now = w.now
	w.carryOut(a.entry, a.entry.do(event.AppendFinished{ID: a.group.ID, Outcome: outcome, Err: errors.New("fault")}))
}

func (w *claimWorld) appendDelayed(*rapid.T) { w.log.append(takeRandom(w.t, &w.delayedAppends)) }

func (w *claimWorld) endAttempt(*rapid.T) {
	a := takeRandom(w.t, &w.attempts)
	outcome := rapid.SampledFrom([]event.AttemptOutcome{
		event.AttemptAnswered, event.AttemptAnswered, event.AttemptNotSent, event.AttemptRefused, event.AttemptBroken,
	}).Draw(w.t, "attempt")
	if !w.now.Before(a.Deadline) {
		outcome = event.AttemptSkipped
	}
	broken := outcome == event.AttemptBroken
	if outcome == event.AttemptAnswered || broken && rapid.Bool().Draw(w.t, "ran") {
		w.run(requestRef{w.ids[a.entry], a.Attempt.Request})
	}
	a.entry.now = w.now
	w.carryOut(a.entry, a.entry.do(finished(a.Attempt, outcome)))
}

func (w *claimWorld) cancel(*rapid.T) {
	if w.sent == 0 {
		w.t.Skip("nothing was sent")
	}
	c := w.drawEntry()
	w.carryOut(c, c.do(event.RequestCancelled{ID: fleet.RequestID(rapid.IntRange(1, int(w.sent)).Draw(w.t, "id"))}))
}

// crashInBatch replaces an entry that has carried out only some effects of an
// event.
func (w *claimWorld) crashInBatch(*rapid.T) {
	i := rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "entry")
	c := w.entries[i]
	c.now = w.now
	out := append(c.do(event.TimerFired{}), c.catchUp()...)
	w.carryOut(c, out[:rapid.IntRange(0, len(out)).Draw(w.t, "effects")])
	w.entries[i] = w.newEntry()
}

// crash replaces an entry. Its pending appends and attempts continue without
// it.
func (w *claimWorld) crash(*rapid.T) {
	i := rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "entry")
	w.entries[i] = w.newEntry()
}

func TestClaimsHoldUnderAnyOrder(t *testing.T) {
	setRapid(t, "rapid.steps", "30", "100")
	setRapid(t, "rapid.checks", "100", "1000")
	ran := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newClaimWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"send": w.send, "pass": w.advanceRandomly, "wake": w.fireTimer, "read": w.read, "append": w.endAppend,
			"late": w.appendDelayed, "attempt": w.endAttempt, "cancel": w.cancel, "crash": w.crash, "settle": w.settle, "crash in batch": w.crashInBatch,
		})
		ran += len(w.runOf)
	})
	must.Positive(t, ran)
	t.Logf("%d keys ran", ran)
}

// settle completes all pending appends and lets all entries read the whole log.
func (w *claimWorld) settle(*rapid.T) {
	for _, c := range w.entries {
		c.now = w.now
		w.carryOut(c, c.do(event.TimerFired{}))
	}
	for _, a := range w.appends {
		w.log.append(a.group)
	}
	w.appends = nil
	for _, c := range w.entries {
		w.carryOut(c, c.catchUp())
	}
}

// setRapid sets a rapid flag for one test, unless the flag was given on the
// command line.
func setRapid(t *testing.T, name, def, value string) {
	t.Helper()
	f := flag.Lookup(name)
	if f.Value.String() == def {
		must.NoError(t, f.Value.Set(value))
		t.Cleanup(func() { _ = f.Value.Set(def) }) // it had this value before
	}
	t.Logf("-%s=%s", name, f.Value)
}
