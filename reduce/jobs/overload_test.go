package jobs_test

import (
	"slices"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/shoenig/test/must"
)

// callFor sends a call of a client that waits for a time.
func (w *world) callFor(e *fakeEntry, kind effect.CallKind, job fleet.JobID, spec *fleet.JobSpec, timeout time.Duration, done func(effect.CallAnswer)) {
	w.nextID++
	w.calls[w.nextID] = done
	e.post(event.ClientCalled{Call: w.nextID, Kind: kind, Host: "host", Path: "/plans/" + string(job), Spec: spec, Timeout: timeout, Received: w.now})
}

// TestCallsAreAnsweredBeforeAStoppingProcessEnds: a call that came while an entry stopped
// waited as long as its client, and its connection was closed without an answer when the
// process ended (soak seeds 40019 and 40043).
func TestCallsAreAnsweredBeforeAStoppingProcessEnds(t *testing.T) {
	const listenerClosed, answerGrace = 2200 * time.Millisecond, 1600 * time.Millisecond
	for _, kind := range []effect.CallKind{effect.CallSubmit, effect.CallCancel, effect.CallState} {
		for at := -time.Second; at < listenerClosed; at += 300 * time.Millisecond {
			w := newWorld(t, 119, 2, 2)
			w.run(2 * time.Second)
			w.submit(jobID(0), twoStepJob())
			w.run(time.Second)
			w.store.down = true
			w.run(time.Second)
			answered := false
			e := w.owner()
			w.after(time.Second+at, func() {
				w.callFor(e, kind, jobID(int(kind)%2), twoStepJob(), 10*time.Second, func(effect.CallAnswer) { answered = true })
			})
			w.after(time.Second, func() { e.post(eventStop) })
			w.run(time.Second + listenerClosed + answerGrace)
			must.True(t, answered, must.Sprint(kind, " ", at))
		}
	}
}

// follower returns an entry that does not own the jobs.
func (w *world) follower() *fakeEntry {
	for _, e := range w.entries {
		if e != w.owner() {
			return e
		}
	}
	return nil
}

// TestOverloadedOwnerGetsFewerCalls gives the owner more reads than it can handle: each
// event takes it 5 ms, and 1,000 reads a second arrive. It has to stay the owner, the
// reads beyond have to be refused at once, and jobs and their cancellations have to get
// through.
func TestOverloadedOwnerGetsFewerCalls(t *testing.T) {
	w := newWorld(t, 50, 3, 3)
	w.run(2 * time.Second)
	owner, other := w.owner(), w.follower()
	owner.eventTime = 5 * time.Millisecond
	answers := make(map[effect.AnswerKind]int)
	var longest time.Duration
	accepted, cancelled := 0, 0
	for n := range 5000 {
		sent := w.now
		w.callFor(other, effect.CallState, jobID(9999), nil, 3*time.Second, func(a effect.CallAnswer) {
			answers[a.Kind]++
			if a.Reason == "the owner is slow" {
				longest = max(longest, w.now.Sub(sent))
			}
		})
		if n%250 == 0 {
			id := jobID(n)
			w.submitted[id] = twoStepJob()
			w.callFor(other, effect.CallSubmit, id, w.submitted[id], 3*time.Second, func(a effect.CallAnswer) {
				if a.Kind != effect.AnswerAccepted {
					return
				}
				accepted++
				w.callFor(other, effect.CallCancel, id, nil, 3*time.Second, func(a effect.CallAnswer) {
					if a.Kind == effect.AnswerCancelled {
						cancelled++
					}
				})
			})
		}
		w.run(time.Millisecond)
	}
	w.run(3 * time.Second)
	must.Eq(t, owner, w.owner(), must.Sprint("heartbeats got through"))
	must.Greater(t, 2500, answers[effect.AnswerRefused])
	must.LessEq(t, 10*time.Millisecond, longest, must.Sprint("refusals are sent at once"))
	must.Eq(t, 0, answers[effect.AnswerUnknown])
	must.GreaterEq(t, 15, accepted)
	must.Eq(t, accepted, cancelled)
	w.checkInvariants()
}

// TestEntriesRefuseNoSubmitForASlowOwner gives the owner more submits than it can
// handle. An entry cannot know whether an earlier try is stored, so it must not say that
// the job never runs (trouble-2 --seed 262256655216 on lawa-banyan: REFUSED 190).
func TestEntriesRefuseNoSubmitForASlowOwner(t *testing.T) {
	w := newWorld(t, 54, 2, 3)
	w.run(2 * time.Second)
	owner, other := w.owner(), w.follower()
	owner.eventTime = 5 * time.Millisecond
	refused := 0
	for n := range 500 {
		id := jobID(n)
		w.submitted[id] = longRunningJob(1, 1)
		w.callFor(other, effect.CallSubmit, id, w.submitted[id], 3*time.Second, func(a effect.CallAnswer) {
			if a.Kind == effect.AnswerRefused {
				refused++
			}
		})
		w.run(4 * time.Millisecond)
	}
	must.Eq(t, 0, refused)
	must.Eq(t, owner, w.owner())
	w.checkInvariants()
}

// TestSubmitsOutlastAnOutageOfTheStore hands in jobs while the store is away for two
// seconds. Each client waits for three; all of them are answered as accepted. The calls
// wait at the owner, so that they need not be forwarded again and again.
func TestSubmitsOutlastAnOutageOfTheStore(t *testing.T) {
	w := newWorld(t, 52, 3, 3)
	w.run(2 * time.Second)
	w.store.down = true
	w.submit(jobID(99), twoStepJob())
	w.run(800 * time.Millisecond)
	answers, forwards := make(map[effect.AnswerKind]int), 0
	w.onEffect = func(_ *fakeEntry, out effect.Effect) bool {
		if _, ok := out.(effect.Forward); ok {
			forwards++
		}
		return true
	}
	for n := range 20 {
		id := jobID(n)
		w.submitted[id] = twoStepJob()
		w.callFor(w.follower(), effect.CallSubmit, id, w.submitted[id], 3*time.Second, func(a effect.CallAnswer) { answers[a.Kind]++ })
		w.run(20 * time.Millisecond)
	}
	w.run(1100 * time.Millisecond)
	w.store.down = false
	w.run(1200 * time.Millisecond)
	must.Eq(t, map[effect.AnswerKind]int{effect.AnswerAccepted: 20}, answers)
	must.LessEq(t, 2*21, forwards)
	w.run(5 * time.Second)
	w.checkInvariants()
}

// TestRefusalAfterALongOutageIsTrue keeps the store away for longer than clients wait.
// The jobs whose append was under way may be stored; the others are refused and must
// never run.
func TestRefusalAfterALongOutageIsTrue(t *testing.T) {
	w := newWorld(t, 53, 3, 3)
	w.run(2 * time.Second)
	w.store.down = true
	refused := make(map[fleet.JobID]bool)
	answered := 0
	for n := range 20 {
		id := jobID(n)
		w.submitted[id] = twoStepJob()
		w.callFor(w.follower(), effect.CallSubmit, id, w.submitted[id], 3*time.Second, func(a effect.CallAnswer) {
			answered++
			refused[id] = a.Kind == effect.AnswerRefused
		})
		w.run(100 * time.Millisecond)
	}
	w.run(3 * time.Second)
	must.Eq(t, 20, answered)
	w.store.down = false
	w.run(10 * time.Second)
	n := 0
	for id, r := range refused {
		if r {
			n++
			must.MapNotContainsKey(t, w.tasks, fleet.TaskID{Job: id}, must.Sprint("a refused job has run"))
		}
	}
	must.Greater(t, 5, n)
	w.checkInvariants()
}

// TestCutOffEntryAnswersAtOnce cuts an entry off from the store and from its peers while
// clients are still connected to it. The first call waits for the owner's answer; the
// later ones are answered at once, so that their clients still have time at other entries
// (scale-2 of lawa-banyan-large, 3.8 % of the jobs refused after 2.9 s).
func TestCutOffEntryAnswersAtOnce(t *testing.T) {
	w := newWorld(t, 55, 3, 3)
	w.run(2 * time.Second)
	cut := w.follower()
	cut.storeCut, cut.peersCut = true, true
	call := func(n int) (effect.CallAnswer, time.Duration) {
		var got effect.CallAnswer
		var after time.Duration
		sent := w.now
		w.submitted[jobID(n)] = twoStepJob()
		w.callFor(cut, effect.CallSubmit, jobID(n), twoStepJob(), 3*time.Second, func(a effect.CallAnswer) { got, after = a, w.now.Sub(sent) })
		w.run(3 * time.Second)
		return got, after
	}
	got, after := call(1)
	must.Eq(t, effect.AnswerUnknown, got.Kind)
	must.LessEq(t, 1600*time.Millisecond, after)
	got, after = call(2)
	must.Eq(t, effect.AnswerUnknown, got.Kind)
	must.LessEq(t, 10*time.Millisecond, after)
	cut.storeCut, cut.peersCut = false, false
	w.run(time.Second)
	got, _ = call(3)
	must.Eq(t, effect.AnswerAccepted, got.Kind)
	w.checkInvariants()
}

// TestPlanningResumesAfterAPause suspends the owner for a second and a half, in which
// answers of runners pile up. Their age makes planning rarer only until the loop has
// caught up.
func TestPlanningResumesAfterAPause(t *testing.T) {
	w := newWorld(t, 56, 1, 2)
	w.withInstances(4)
	w.run(8 * time.Second)
	w.submit(jobID(99), longRunningJob(4, 1))
	w.run(time.Second)
	w.owner().freeze(1500 * time.Millisecond)
	w.run(1600 * time.Millisecond)
	spec := twoStepJob()
	spec.Steps[0].Count = 16
	for n := range 30 {
		w.submit(jobID(n), spec)
	}
	w.run(3 * time.Second)
	must.Greater(t, 2, w.instancesIn("desk"))
	w.checkInvariants()
}

// TestNoEntryRefusesAJobThatIsStored loses the answer to a submit that is stored, with
// its owner. The client's next try, at an entry without an owner or with hardly any time
// left, must not be told that the job never runs (trouble-2 --seed 262256655216 on
// lawa-banyan: REFUSED 190).
func TestNoEntryRefusesAJobThatIsStored(t *testing.T) {
	w := newWorld(t, 57, 3, 3)
	w.run(2 * time.Second)
	owner := w.owner()
	id, spec := jobID(1), twoStepJob()
	w.submitted[id] = spec
	w.callFor(owner, effect.CallSubmit, id, spec, 3*time.Second, func(effect.CallAnswer) {})
	for !slices.ContainsFunc(w.store.content().Jobs, func(j ledger.StoredJob) bool { return j.Job == id }) {
		w.run(time.Millisecond)
	}
	owner.kill()
	var answers []effect.CallAnswer
	record := func(a effect.CallAnswer) { answers = append(answers, a) }
	other := w.entries[(slices.Index(w.entries, owner)+1)%len(w.entries)]
	w.callFor(other, effect.CallSubmit, id, spec, 500*time.Millisecond, record)
	w.nextID++
	w.calls[w.nextID] = record
	other.post(event.ClientCalled{
		Call: w.nextID, Kind: effect.CallSubmit, Host: "host", Path: "/plans/" + string(id), Spec: spec,
		Timeout: 5 * time.Millisecond, Received: w.now.Add(-10 * time.Millisecond),
	})
	w.run(600 * time.Millisecond)
	must.SliceLen(t, 2, answers)
	for _, a := range answers {
		must.Eq(t, effect.AnswerUnknown, a.Kind)
	}
	w.run(10 * time.Second)
	w.mustState(id, fleet.JobDone)
	w.checkInvariants()
}

// TestJobsBeyondTheMemoryAreRefused guards against jobs inside all limits that take the memory of
// the owner: those that it cannot hold are refused and never run, and others follow once jobs
// have ended.
func TestJobsBeyondTheMemoryAreRefused(t *testing.T) {
	const limit, tasks, jobs = 1 << 20, 1000, 20
	w := newWorld(t, 7, 2, 1, func(w *world) { w.maxJobBytes = limit })
	w.run(2 * time.Second)
	large := &fleet.JobSpec{Text: "x", Steps: []fleet.Step{{Count: tasks, Needs: fleet.Capacity{CPU: 1 << 40}}}}
	answers := make(map[effect.AnswerKind][]fleet.JobID)
	submit := func(id fleet.JobID) {
		w.callFor(w.owner(), effect.CallSubmit, id, large, time.Minute, func(a effect.CallAnswer) { answers[a.Kind] = append(answers[a.Kind], id) })
		w.run(100 * time.Millisecond)
	}
	for n := range jobs {
		submit(jobID(n))
	}
	accepted, refused := answers[effect.AnswerAccepted], answers[effect.AnswerRefused]
	must.Len(t, jobs, slices.Concat(accepted, refused))
	must.Between(t, 1, len(accepted), jobs-1)
	must.Less(t, limit, len(accepted)*tasks*64, must.Sprint("a task takes at least 64 bytes"))
	kinds := make(map[fleet.JobID]effect.AnswerKind)
	for _, c := range []struct {
		job  fleet.JobID
		kind effect.CallKind
	}{{refused[0], effect.CallState}, {accepted[0], effect.CallState}, {accepted[1], effect.CallCancel}} {
		w.callFor(w.owner(), c.kind, c.job, nil, time.Minute, func(a effect.CallAnswer) { kinds[c.job] = a.Kind })
		w.run(time.Second)
	}
	must.MapEq(t, map[fleet.JobID]effect.AnswerKind{
		refused[0]: effect.AnswerNoJob, accepted[0]: effect.AnswerState, accepted[1]: effect.AnswerCancelled,
	}, kinds)
	submit(jobID(jobs))
	must.SliceContains(t, answers[effect.AnswerAccepted], jobID(jobs))
}
