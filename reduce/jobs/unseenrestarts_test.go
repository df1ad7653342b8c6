package jobs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
)

// unseenRestart leaves the first start of a task without an answer and restarts its runner
// under its id. No call to the next incarnation is answered and no list shows it until it
// is cut off. The start is carried out there.
type unseenRestart struct {
	w *world
	// late is how long after it was sent the start is carried out.
	late time.Duration
	// latePoll, if not zero, is the same for the last poll that granted a lease before the
	// runner went down.
	latePoll time.Duration

	start    effect.OrderTask
	sentAt   time.Time
	poll     effect.PollRunner
	polledAt time.Time
	// silent is set while calls to the runner get no answer.
	silent bool
}

// unseenRestart prepares one for the next start.
func (w *world) unseenRestart(late, latePoll time.Duration) *unseenRestart {
	u := &unseenRestart{w: w, late: late, latePoll: latePoll}
	w.onEffect = u.onEffect
	return u
}

func (u *unseenRestart) onEffect(e *fakeEntry, out effect.Effect) bool {
	switch o := out.(type) {
	case effect.OrderTask:
		first := o.Kind == effect.OrderStart && u.sentAt.IsZero()
		if !first && (!u.silent || o.Runner != u.start.Runner) {
			return true
		}
		if first {
			u.start, u.sentAt = o, u.w.now
			u.w.after(u.late, func() { u.w.runners[o.Runner].beginLate(o) })
		}
		e.postAfter(orderTimeout, event.TaskOrdered{
			Epoch: o.Epoch, Runner: o.Runner, Incarnation: o.Incarnation, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt, Outcome: event.OrderUnknown,
		})
		return false
	case effect.PollRunner:
		if u.silent && o.Runner == u.start.Runner {
			e.postAfter(o.Wait+orderTimeout, event.RunnerPolled{Epoch: o.Epoch, Runner: o.Runner, Number: o.Number, Outcome: event.OrderUnknown})
			return false
		}
		if o.LeaseDeadline > 0 && (u.sentAt.IsZero() || o.Runner == u.start.Runner) {
			u.poll, u.polledAt = o, u.w.now
		}
	}
	return true
}

// beginLate carries out a start that gets no answer.
func (r *fakeRunner) beginLate(o effect.OrderTask) {
	if r.up && o.Epoch >= r.fence {
		r.begin(o)
	}
}

// awaitStart runs the world until the start has been sent.
func (u *unseenRestart) awaitStart() *fakeRunner {
	for range 200 {
		if !u.sentAt.IsZero() {
			return u.w.runners[u.start.Runner]
		}
		u.w.run(5 * time.Millisecond)
	}
	u.w.t.Fatal("no start was sent")
	return nil
}

// restart takes the runner down for a time, and cuts it off some time after it is back.
func (u *unseenRestart) restart(down, cutAfter time.Duration) {
	w, r := u.w, u.w.runners[u.start.Runner]
	former := r.entry()
	r.formerEntry, u.silent = &former, true
	if u.latePoll > 0 && u.poll.Runner == r.id {
		poll := u.poll
		w.after(u.polledAt.Add(u.latePoll).Sub(w.now), func() {
			if r.up && poll.Epoch >= r.fence {
				r.takePoll(poll)
			}
		})
	}
	r.darkFor(down)
	w.after(down+cutAfter, func() {
		r.formerEntry, u.silent = nil, false
		r.cutFor(30 * time.Second)
	})
}

// ownerTroubles are what happens to the owner while nobody sees the restart.
var ownerTroubles = []struct {
	name   string
	happen func(*fakeEntry)
}{
	{"none", func(*fakeEntry) {}},
	{"killed", (*fakeEntry).kill},
	{"restarted under its name", func(e *fakeEntry) { e.kill(); e.boot() }},
	{"killed for a second", func(e *fakeEntry) { e.kill(); e.w.after(time.Second, e.restart) }},
	{"paused", func(e *fakeEntry) { e.freeze(2500 * time.Millisecond) }},
	{"cut off from the store", func(e *fakeEntry) {
		e.storeCut = true
		e.w.after(5500*time.Millisecond, func() { e.storeCut = false })
	}},
	{"released", func(e *fakeEntry) { e.post(eventStop) }},
}

// lastingJob returns a job with one task that runs for longer than the longest lease.
func lastingJob() *fleet.JobSpec {
	return &fleet.JobSpec{Text: "text", Steps: []fleet.Step{{Count: 1, Needs: taskNeeds, Estimate: 25 * time.Second}}}
}

// TestStartAtAnUnseenIncarnationRunsAloneUntilItsLeaseExpires has a start without an answer
// that is carried out by an incarnation which is cut off before its first answer. By the
// former clock it has a lease of the longest kind there, and its task must not run elsewhere
// until then (issue 39).
func TestStartAtAnUnseenIncarnationRunsAloneUntilItsLeaseExpires(t *testing.T) {
	const ms = time.Millisecond
	for _, goes := range []struct {
		name string
		// after is how long after the start was sent the runner goes.
		after time.Duration
	}{
		{"while the start is in flight", 20 * ms},
		{"after the start timed out", 610 * ms},
		{"after the repeated start was answered", 2 * time.Second},
	} {
		for _, c := range []struct{ down, cutAfter time.Duration }{{100 * ms, 50 * ms}, {600 * ms, time.Second}, {2 * time.Second, 3 * time.Second}} {
			back := goes.after + c.down
			for _, late := range []time.Duration{back + 10*ms, back + c.cutAfter/2, 7 * time.Second, 11800 * ms} {
				for n, trouble := range ownerTroubles {
					t.Run(fmt.Sprint(goes.name, " down=", c.down, " cut=", c.cutAfter, " late=", late, " owner=", trouble.name), func(t *testing.T) {
						t.Parallel()
						w := newWorld(t, 390+int64(n), 3, 2, slowClock)
						w.run(30 * time.Second)
						u := w.unseenRestart(late, 0)
						w.submit(jobID(0), longRunningJob(1, 1))
						u.awaitStart()
						w.run(goes.after)
						u.restart(c.down, c.cutAfter)
						w.run(c.down / 2)
						trouble.happen(w.owner())
						w.run(60 * time.Second)
						w.checkInvariants()
						must.Positive(t, w.strayStarts, must.Sprint("the late start was not carried out by another incarnation"))
						must.NotNil(t, w.runnerUnder(firstTask(jobID(0))), must.Sprint("the task does not run"))
					})
				}
			}
		}
	}
}
