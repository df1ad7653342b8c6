package jobs_test

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/access"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
)

const (
	revokeLimit = 5 * time.Second
	applyLimit  = 3 * time.Second
)

// withKeys returns an option of a world whose calls need keys. Its tenants have the keys
// "one-1" and "one-2", and "two-1"; clients use "one-1".
func withKeys(w *world) {
	w.access = access.Config{Required: true, RevocationLimit: revokeLimit, ApplyLimit: applyLimit}
	w.key = "one-1"
	w.setTenants(w.t, tenantOf("one", "one-1", "one-2"), tenantOf("two", "two-1"))
}

func tenantOf(name fleet.TenantName, keys ...string) *fleet.Tenant {
	return &fleet.Tenant{Name: name, Keys: keys}
}

// setTenants replaces the tenants in the store's configuration. Entries read it later.
func (w *world) setTenants(t *testing.T, tenants ...*fleet.Tenant) {
	t.Helper()
	list, err := fleet.NewTenants(tenants)
	must.NoError(t, err)
	q := *w.queues
	q.Version++
	q.Tenants = list
	w.queues = &q
}

// addQueue adds a queue to the store's configuration.
func (w *world) addQueue(name string, public bool) {
	queues := []*fleet.Queue{{Name: fleet.QueueName(name), Host: "host", Prefix: "/" + name + "/", Service: "desk", MaxAttempts: 2, Stretch: 2, Public: public}}
	for _, q := range w.queues.ByName {
		queues = append(queues, q)
	}
	q := fleet.NewQueues(w.queues.Version+1, queues, []*fleet.JobService{{Name: "desk", EnforcesCapacity: true}})
	q.Tenants = w.queues.Tenants
	w.queues = q
}

// followQueues reads the configuration by long polls, as jobentry does.
func (e *fakeEntry) followQueues() {
	incarnation, known, failed := e.incarnation, int64(0), true
	var read func()
	var answer func(sent, until time.Time)
	answer = func(sent, until time.Time) {
		switch {
		case e.incarnation != incarnation:
		case e.frozen:
			e.w.after(10*time.Millisecond, func() { answer(sent, until) })
		case e.storeUnreachable() || e.operatorsCut || e.w.withholdQueues:
			failed = true
			e.post(event.QueuesReadFailed{Reason: "down"})
			e.w.after(100*time.Millisecond, read)
		case e.w.queues.Version > known:
			failed = false
			known = e.w.queues.Version
			e.post(event.QueuesRead{Queues: e.w.queues})
			e.post(event.QueuesConfirmed{At: sent})
			read()
		case e.w.now.Before(until):
			e.w.after(10*time.Millisecond, func() { answer(sent, until) })
		default:
			failed = false
			e.post(event.QueuesConfirmed{At: sent})
			read()
		}
	}
	read = func() {
		sent := e.w.now
		wait := e.w.access.ReadWait(&e.w.queues.Tenants)
		if failed {
			wait = 0
		}
		e.w.after(e.w.latency(), func() { answer(sent, sent.Add(wait)) })
	}
	read()
}

// ask sends a call with a key to an entry and returns the answer, which comes within 4 s.
func (w *world) ask(e *fakeEntry, kind effect.CallKind, key, path string) effect.CallAnswer {
	var got effect.CallAnswer
	var spec *fleet.JobSpec
	if kind == effect.CallSubmit {
		spec = minuteJob()
		w.submitted[fleet.JobID(path[strings.LastIndex(path, "/")+1:])] = spec
	}
	w.nextID++
	w.calls[w.nextID] = func(a effect.CallAnswer) { got = a }
	e.post(event.ClientCalled{Call: w.nextID, Kind: kind, Host: "host", Path: path, Spec: spec, Key: key, Received: w.now})
	for range 400 {
		if got.Kind != 0 {
			break
		}
		w.run(10 * time.Millisecond)
	}
	return got
}

// minuteJob returns a job of one task of a minute.
func minuteJob() *fleet.JobSpec {
	return &fleet.JobSpec{Steps: []fleet.Step{{Count: 1, Needs: fleet.Capacity{CPU: 1}, Estimate: time.Minute}}}
}

func (w *world) mustAnswer(e *fakeEntry, kind effect.CallKind, key, path string, want effect.AnswerKind) {
	w.t.Helper()
	a := w.ask(e, kind, key, path)
	must.Eq(w.t, want, a.Kind, must.Sprintf("%s at %s, call %d with %q: %q", path, e.id, kind, key, a.Reason))
}

func pathOf(n int) string { return "/plans/" + string(jobID(n)) }

// TestCallsNeedAKey guards against a call that is served without the key of a tenant, or
// denied although its queue is public, and against a 401 where a 404 or 400 is due.
func TestCallsNeedAKey(t *testing.T) {
	w := newWorld(t, 200, 3, 3, withKeys)
	w.addQueue("open", true)
	w.run(3 * time.Second)
	for _, e := range w.entries {
		for _, key := range []string{"", "x", " one-1", "one-1,two-1", "Bearer one-1", "\xff\xfe", strings.Repeat("k", 20_000)} {
			for _, kind := range []effect.CallKind{effect.CallSubmit, effect.CallState, effect.CallCancel} {
				w.mustAnswer(e, kind, key, pathOf(1), effect.AnswerUnauthorized)
			}
			w.mustAnswer(e, effect.CallState, key, "/plans/", effect.AnswerUnauthorized)
			w.mustAnswer(e, effect.CallState, key, "/absent/", effect.AnswerNoQueue)
			w.mustAnswer(e, effect.CallState, key, "/open/", effect.AnswerWaiting)
		}
		w.mustAnswer(e, effect.CallState, "two-1", "/plans/", effect.AnswerWaiting)
		w.mustAnswer(e, effect.CallState, "two-1", "/plans/short", effect.AnswerInvalid)
	}
	// Any valid key may read and cancel any job, whoever handed it in.
	w.mustAnswer(w.entries[0], effect.CallSubmit, "one-2", pathOf(1), effect.AnswerAccepted)
	w.mustAnswer(w.entries[1], effect.CallSubmit, "", "/open/"+string(jobID(2)), effect.AnswerAccepted)
	must.Eq(t, map[fleet.JobID]fleet.TenantName{jobID(1): "one", jobID(2): ""}, w.storedTenants())
	w.mustAnswer(w.entries[1], effect.CallState, "two-1", pathOf(1), effect.AnswerState)
	w.mustAnswer(w.entries[2], effect.CallCancel, "two-1", pathOf(1), effect.AnswerCancelled)
}

// storedTenants returns the tenants of the jobs in the ledger.
func (w *world) storedTenants() map[fleet.JobID]fleet.TenantName {
	out := make(map[fleet.JobID]fleet.TenantName)
	for _, j := range w.store.content().Jobs {
		out[j.Job] = j.Definition.Tenant
	}
	return out
}

// TestWithdrawnKeyAtAnEntryThatCannotReadTheStore: the entry went on to serve the key for as
// long as it was cut off. While it reaches the owner, the key is denied at once and others
// are served. Without it, reads are refused and the outcome of other calls is unknown.
func TestWithdrawnKeyAtAnEntryThatCannotReadTheStore(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		w := newWorld(t, 201, 3, 3, withKeys)
		w.run(3 * time.Second)
		w.mustAnswer(w.follower(), effect.CallSubmit, "one-2", pathOf(1), effect.AnswerAccepted)
		e := w.follower()
		e.storeCut, e.peersCut = true, cutOff
		w.setTenants(t, tenantOf("one", "one-2"))
		w.run(revokeLimit)
		for range 10 {
			if cutOff {
				for _, key := range []string{"one-1", "one-2", "x"} {
					w.mustAnswer(e, effect.CallState, key, pathOf(1), effect.AnswerRefused)
					w.mustAnswer(e, effect.CallSubmit, key, pathOf(2), effect.AnswerUnknown)
					w.mustAnswer(e, effect.CallCancel, key, pathOf(1), effect.AnswerUnknown)
					w.mustAnswer(e, effect.CallState, key, "/absent/", effect.AnswerRefused)
				}
				continue
			}
			w.mustAnswer(e, effect.CallState, "one-1", pathOf(1), effect.AnswerUnauthorized)
			w.mustAnswer(e, effect.CallSubmit, "one-1", pathOf(2), effect.AnswerUnauthorized)
			w.mustAnswer(e, effect.CallState, "one-2", pathOf(1), effect.AnswerState)
			w.mustAnswer(e, effect.CallState, "one-2", "/plans/", effect.AnswerWaiting)
			w.mustAnswer(e, effect.CallState, "one-2", "/absent/", effect.AnswerNoQueue)
			w.mustAnswer(e, effect.CallState, "one-2", "/absent/\xff\xfe", effect.AnswerNoQueue)
		}
	}
}

// TestWithdrawnKeyAtASuspendedEntry: a read that was sent before the suspension and answered
// after it confirmed the configuration as new, and a call that had been received before was
// decided by the time of its arrival.
func TestWithdrawnKeyAtASuspendedEntry(t *testing.T) {
	w := newWorld(t, 202, 3, 3, withKeys)
	w.run(3 * time.Second)
	e := w.follower()
	e.freeze(8 * time.Second)
	e.storeCut, e.peersCut = true, true
	e.post(event.QueuesConfirmed{At: w.now}) // its answer is handled after the suspension
	w.setTenants(t, tenantOf("one", "one-2"))
	answers := 0
	for at := revokeLimit; at < 12*time.Second; at += 100 * time.Millisecond {
		w.after(at, func() {
			w.call(e, effect.CallState, jobID(1), nil, func(a effect.CallAnswer) {
				answers++
				must.Eq(t, effect.AnswerRefused, a.Kind)
			})
		})
	}
	w.run(15 * time.Second)
	must.Eq(t, 70, answers)
}

// TestEntryThatHasJustStartedLeavesTheDecisionToTheOwner: it has no configuration, refused all
// calls, and would have served a withdrawn key by a configuration of unknown age.
func TestEntryThatHasJustStartedLeavesTheDecisionToTheOwner(t *testing.T) {
	w := newWorld(t, 203, 3, 3, withKeys)
	w.run(3 * time.Second)
	e := w.follower()
	w.withholdQueues = true
	e.kill()
	e.boot()
	w.run(200 * time.Millisecond)
	w.mustAnswer(e, effect.CallSubmit, "one-1", pathOf(1), effect.AnswerAccepted)
	w.mustAnswer(e, effect.CallState, "x", pathOf(1), effect.AnswerUnauthorized)
	w.mustAnswer(e, effect.CallState, "one-1", "/absent/", effect.AnswerNoQueue)
	w.mustAnswer(e, effect.CallState, "one-1", "/plans/", effect.AnswerWaiting)
	w.mustAnswer(e, effect.CallSubmit, "one-1", "/plans/short", effect.AnswerInvalid)
	e.peersCut = true
	w.mustAnswer(e, effect.CallSubmit, "x", pathOf(2), effect.AnswerUnknown)
}

// TestOwnerWithoutConfirmation: an owner that cannot read the configuration denied keys that
// it does not know, or served any key. It relies on entries that can read it, also for versions
// that it has not read: it held all calls of those until they timed out.
func TestOwnerWithoutConfirmation(t *testing.T) {
	w := newWorld(t, 204, 3, 3, withKeys)
	w.run(3 * time.Second)
	owner, e := w.owner(), w.follower()
	owner.operatorsCut = true
	w.run(revokeLimit)
	must.Eq(t, owner, w.owner())
	w.mustAnswer(e, effect.CallSubmit, "one-1", pathOf(1), effect.AnswerAccepted)
	w.mustAnswer(e, effect.CallState, "x", pathOf(1), effect.AnswerUnauthorized)
	w.mustAnswer(e, effect.CallState, "one-1", "/absent/", effect.AnswerNoQueue)
	w.setTenants(t, tenantOf("one", "one-1"), tenantOf("three", "three-1", "two-1"))
	w.run(time.Second)
	w.mustAnswer(e, effect.CallSubmit, "two-1", pathOf(3), effect.AnswerAccepted)
	w.mustAnswer(e, effect.CallState, "one-2", pathOf(1), effect.AnswerUnauthorized)
	must.Eq(t, map[fleet.JobID]fleet.TenantName{jobID(1): "one", jobID(3): "three"}, w.storedTenants())
	e.operatorsCut = true
	w.run(revokeLimit)
	for _, e := range []*fakeEntry{owner, e} {
		for _, key := range []string{"one-1", "x"} {
			w.mustAnswer(e, effect.CallState, key, pathOf(1), effect.AnswerRefused)
			w.mustAnswer(e, effect.CallSubmit, key, pathOf(2), effect.AnswerUnknown)
			w.mustAnswer(e, effect.CallCancel, key, pathOf(1), effect.AnswerUnknown)
			must.Eq(t, "the keys may be out of date", w.ask(e, effect.CallState, key, "/absent/").Reason)
		}
	}
}

// TestNewKeyAndQueueAtAnEntryThatIsBehind: they were denied for as long as the entry could not
// read the configuration.
func TestNewKeyAndQueueAtAnEntryThatIsBehind(t *testing.T) {
	w := newWorld(t, 205, 3, 3, withKeys)
	w.run(3 * time.Second)
	e := w.follower()
	e.operatorsCut = true
	w.setTenants(t, tenantOf("one", "one-1"), tenantOf("three", "three-1"))
	w.addQueue("new", false)
	w.run(applyLimit)
	for range 5 {
		w.mustAnswer(e, effect.CallSubmit, "three-1", pathOf(1), effect.AnswerAccepted)
		w.mustAnswer(e, effect.CallState, "three-1", "/new/", effect.AnswerWaiting)
		w.mustAnswer(e, effect.CallSubmit, "three-1", "/new/"+string(jobID(2)), effect.AnswerAccepted)
	}
	must.Eq(t, map[fleet.JobID]fleet.TenantName{jobID(1): "three", jobID(2): "three"}, w.storedTenants())
}

// TestJobKeepsTheTenantOfItsAcceptance moves a key to another tenant, takes all keys of its
// former one, and replaces the owner. A job that is handed in again is the same job.
func TestJobKeepsTheTenantOfItsAcceptance(t *testing.T) {
	w := newWorld(t, 206, 3, 3, withKeys)
	w.run(3 * time.Second)
	w.mustAnswer(w.entries[0], effect.CallSubmit, "one-1", pathOf(1), effect.AnswerAccepted)
	w.setTenants(t, tenantOf("one"), tenantOf("two", "two-1", "one-1"))
	w.run(applyLimit)
	w.mustAnswer(w.entries[1], effect.CallSubmit, "one-1", pathOf(1), effect.AnswerAccepted)
	w.mustAnswer(w.entries[1], effect.CallSubmit, "one-1", pathOf(2), effect.AnswerAccepted)
	w.mustAnswer(w.entries[1], effect.CallState, "one-2", pathOf(1), effect.AnswerUnauthorized)
	w.setTenants(t, tenantOf("two", "two-1"))
	w.owner().kill()
	w.run(10 * time.Second)
	w.mustAnswer(w.owner(), effect.CallState, "two-1", pathOf(1), effect.AnswerState)
	want := map[fleet.JobID]fleet.TenantName{jobID(1): "one", jobID(2): "two"}
	must.Eq(t, want, w.storedTenants())
}

// TestEntryBecomesOwnerWhileACallWaits: the call was routed as the owner's own without a
// decision about its key.
func TestEntryBecomesOwnerWhileACallWaits(t *testing.T) {
	for _, key := range []string{"one-1", "x"} {
		w := newWorld(t, 207, 2, 3, withKeys)
		w.run(3 * time.Second)
		e := w.follower()
		e.operatorsCut = true
		w.run(revokeLimit)
		w.owner().kill()
		want := effect.AnswerUnauthorized
		if key == "one-1" {
			want = effect.AnswerAccepted
		}
		answered := false
		w.submitted[jobID(1)] = twoStepJob()
		w.nextID++
		w.calls[w.nextID] = func(a effect.CallAnswer) { answered = true; must.Eq(t, want, a.Kind, must.Sprint(a.Reason)) }
		e.post(event.ClientCalled{
			Call: w.nextID, Kind: effect.CallSubmit, Host: "host", Path: pathOf(1), Spec: twoStepJob(), Key: key, Timeout: 10 * time.Second, Received: w.now,
		})
		w.after(500*time.Millisecond, func() { e.operatorsCut = false })
		w.run(10 * time.Second)
		must.True(t, answered)
	}
}

// TestWaitingCallIsDecidedOnceTheEntryCan: a call that came before the entry could decide was
// refused by an owner that cannot, although the entry had read the configuration meanwhile.
func TestWaitingCallIsDecidedOnceTheEntryCan(t *testing.T) {
	w := newWorld(t, 210, 2, 3, withKeys)
	w.run(3 * time.Second)
	owner, e := w.owner(), w.follower()
	owner.operatorsCut, e.operatorsCut = true, true
	w.run(revokeLimit)
	address := owner.address
	owner.address = "unreachable"
	w.after(200*time.Millisecond, func() { e.operatorsCut = false })
	w.after(600*time.Millisecond, func() { owner.address = address })
	w.mustAnswer(e, effect.CallSubmit, "one-1", pathOf(1), effect.AnswerAccepted)
}

// TestKeyWithdrawnWhileACallIsForwardedAgain: the owner stored a job and died before it
// answered. The next one denies the key; a 401 would say that the job never runs. The job
// runs, and a call that was never carried out is denied.
func TestKeyWithdrawnWhileACallIsForwardedAgain(t *testing.T) {
	for _, stored := range []bool{true, false} {
		w := newWorld(t, 211, 3, 3, withKeys)
		w.run(3 * time.Second)
		owner, e, id := w.owner(), w.follower(), w.nextID+1
		w.onEffect = func(at *fakeEntry, out effect.Effect) bool {
			r, ok := out.(effect.ReplyCall)
			if !ok || at != owner || r.Answer.Kind != effect.AnswerAccepted {
				return true
			}
			at.kill()
			e.postAfter(time.Millisecond, event.ForwardFinished{Call: id, Failed: true, Sent: true})
			return false
		}
		if !stored {
			owner.kill()
		}
		var got effect.CallAnswer
		w.submitted[jobID(1)] = minuteJob()
		w.nextID = id
		w.calls[id] = func(a effect.CallAnswer) { got = a }
		e.post(event.ClientCalled{
			Call: id, Kind: effect.CallSubmit, Host: "host", Path: pathOf(1), Spec: minuteJob(), Key: "one-1", Timeout: 10 * time.Second, Received: w.now,
		})
		w.run(20 * time.Millisecond)
		w.setTenants(t, tenantOf("one", "one-2"))
		w.run(10 * time.Second)
		_, ok := w.storedTenants()[jobID(1)]
		must.Eq(t, stored, ok)
		want := effect.AnswerUnauthorized
		if stored {
			want = effect.AnswerUnknown
		}
		must.Eq(t, want, got.Kind, must.Sprint(got.Reason))
	}
}

// TestReadinessOfAnEntryThatCannotDecide: the load balancer went on to send clients to it.
func TestReadinessOfAnEntryThatCannotDecide(t *testing.T) {
	w := newWorld(t, 208, 3, 3, withKeys)
	ready := make(map[*fakeEntry]bool)
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		if r, ok := out.(effect.SetReady); ok {
			ready[e] = r.Ready
		}
		return true
	}
	w.run(3 * time.Second)
	owner, e := w.owner(), w.follower()
	e.operatorsCut = true
	w.run(revokeLimit)
	w.mustAnswer(e, effect.CallState, "one-1", "/plans/", effect.AnswerWaiting)
	must.True(t, ready[e], must.Sprint("the owner decides for it"))
	e.peersCut = true
	w.mustAnswer(e, effect.CallState, "one-1", "/plans/", effect.AnswerRefused)
	must.False(t, ready[e])
	e.operatorsCut, e.peersCut = false, false
	w.run(time.Second)
	must.True(t, ready[e])
	owner.operatorsCut = true
	w.run(revokeLimit)
	must.False(t, ready[owner], must.Sprint("nobody decides for the owner"))
}

// TestDeniedCallsAreLoggedOnceASecondWithoutTheirKey: a client that goes on with a withdrawn
// key used up the entry's log lines, and a key must not be readable in logs.
func TestDeniedCallsAreLoggedOnceASecondWithoutTheirKey(t *testing.T) {
	w := newWorld(t, 209, 2, 2, withKeys)
	lines, counted := 0, 0
	w.onEffect = func(_ *fakeEntry, out effect.Effect) bool {
		switch o := out.(type) {
		case effect.Decision:
			must.StrNotContains(t, fmt.Sprintf("%+v", o), "secret")
			if o.Name == "calls denied" {
				lines, counted = lines+1, counted+o.Count
			}
		case effect.CountJob:
			must.StrNotContains(t, fmt.Sprintf("%+v", o), "secret")
		}
		return true
	}
	w.run(3 * time.Second)
	for range 301 {
		w.mustAnswer(w.entries[0], effect.CallState, "secret", pathOf(1), effect.AnswerUnauthorized)
		w.run(10 * time.Millisecond)
	}
	must.Between(t, 3, lines, 5)
	must.Between(t, 200, counted, 301)
}

// keyHistory is what clients with one key know: since when the key is listed, or withdrawn. A
// call that is decided after a later change proves nothing.
type keyHistory struct {
	listed bool
	since  time.Time
}

// TestKeysUnderRandomFaults withdraws and adds a key and a queue while entries are cut off,
// suspended and restarted. No call that was sent later than the limit after a withdrawal may
// succeed, and none that was sent later than the limit after an addition may be denied.
func TestKeysUnderRandomFaults(t *testing.T) {
	succeeded, denied := 0, 0
	for seed := int64(0); seed < 12; seed++ {
		w := newWorld(t, 300+seed, 4, 2, withKeys)
		rng := rand.New(rand.NewSource(seed))
		w.run(3 * time.Second)
		h := keyHistory{listed: true, since: w.now.Add(-time.Minute)}
		for step := range 400 {
			if rng.Intn(60) == 0 {
				h = keyHistory{listed: !h.listed, since: w.now}
				if h.listed {
					w.setTenants(t, tenantOf("one", "one-1"), tenantOf("two", "two-1"))
				} else {
					w.setTenants(t, tenantOf("two", "two-1"))
				}
			}
			w.disturbKeys(rng)
			e, sent, then := w.entries[rng.Intn(len(w.entries))], w.now, h
			w.call(e, effect.CallState, jobID(step), nil, func(a effect.CallAnswer) {
				served := a.Kind == effect.AnswerState || a.Kind == effect.AnswerNoJob
				if served && !then.listed && sent.Sub(then.since) > revokeLimit && h == then {
					w.violation("%s serves a key %v after its withdrawal", e.id, sent.Sub(then.since))
				}
				if a.Kind == effect.AnswerUnauthorized && then.listed && sent.Sub(then.since) > applyLimit && h == then {
					w.violation("%s denies a key %v after its addition", e.id, sent.Sub(then.since))
				}
				if a.Kind == effect.AnswerNoQueue {
					w.violation("%s does not know the queue", e.id)
				}
				if served {
					succeeded++
				}
				if a.Kind == effect.AnswerUnauthorized {
					denied++
				}
			})
			w.run(100 * time.Millisecond)
		}
		w.checkInvariants()
	}
	must.Greater(t, 500, succeeded)
	must.Greater(t, 200, denied)
}

// disturbKeys draws a fault of an entry, or ends one.
func (w *world) disturbKeys(rng *rand.Rand) {
	e := w.entries[rng.Intn(len(w.entries))]
	switch rng.Intn(40) {
	case 0:
		e.operatorsCut = !e.operatorsCut
	case 1:
		e.storeCut = !e.storeCut
	case 2:
		e.peersCut = !e.peersCut
	case 3:
		if !e.frozen {
			e.freeze(time.Duration(rng.Intn(8000)) * time.Millisecond)
		}
	case 4:
		e.kill()
		e.boot()
	case 5:
		for _, e := range w.entries {
			e.operatorsCut, e.storeCut, e.peersCut = false, false, false
		}
	}
}
