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

// oneTaskJob is a job of one task that ends after some time.
func oneTaskJob(length time.Duration) *fleet.JobSpec {
	return &fleet.JobSpec{Text: "text", Steps: []fleet.Step{{Count: 1, Needs: taskNeeds, Estimate: length}}}
}

// acknowledgedWorld is a world whose runners forget ends that come after an acknowledgement of
// their numbers, with a job whose end the first runner has not listed yet.
func acknowledgedWorld(t *testing.T, seed int64) *world {
	w := newWorld(t, seed, 2, 2, func(w *world) { w.forgetsLaterEnds = true })
	w.run(30 * time.Second)
	w.submit(jobID(0), oneTaskJob(200*time.Millisecond))
	return w
}

// mustRunTasksOnce hands in jobs while nothing else happens, and checks that each of
// their tasks runs once.
func (w *world) mustRunTasksOnce() {
	w.t.Helper()
	for n := 1; n <= 3; n++ {
		w.submit(jobID(n), oneTaskJob(300*time.Millisecond))
		w.run(400 * time.Millisecond)
	}
	w.run(20 * time.Second)
	w.checkInvariants()
	for n := range 4 {
		w.mustState(jobID(n), fleet.JobDone)
	}
}

// TestAcknowledgementAnsweredByTheNextIncarnation restarts a runner between its last answer and
// a poll with an acknowledgement, which the next incarnation answers. That one forgets
// ends of the same numbers, and a task ran again after its success.
func TestAcknowledgementAnsweredByTheNextIncarnation(t *testing.T) {
	for _, stored := range []time.Duration{0, 100 * time.Millisecond, 380 * time.Millisecond} {
		t.Run(fmt.Sprint("stored=", stored), func(t *testing.T) {
			w := acknowledgedWorld(t, 170)
			crossed := false
			w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
				switch o := out.(type) {
				case effect.AppendLedger:
					if w.doneRuns > 0 && !crossed {
						w.after(stored, func() { e.appendLedger(o) })
						return false
					}
				case effect.PollRunner:
					if o.Acknowledged > 0 && !crossed {
						crossed = true
						w.runners[o.Runner].restartFor(0)
					}
				}
				return true
			}
			w.run(3 * time.Second)
			must.True(t, crossed)
			w.mustRunTasksOnce()
		})
	}
}

// TestStartBesideAnAcknowledgementAtTheNextIncarnation has a start decided while a poll with an
// acknowledgement is answered by the next incarnation of the runner. The run began there, its
// end was forgotten, and the task ran again after its success.
func TestStartBesideAnAcknowledgementAtTheNextIncarnation(t *testing.T) {
	for _, before := range []time.Duration{0, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond} {
		for _, after := range []time.Duration{-20 * time.Millisecond, -10 * time.Millisecond, -5 * time.Millisecond, 0, 300 * time.Millisecond} {
			t.Run(fmt.Sprint("before=", before, " after=", after), func(t *testing.T) {
				w := acknowledgedWorld(t, 173)
				crossed := false
				w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
					switch o := out.(type) {
					case effect.AppendLedger:
						if w.doneRuns > 0 && !crossed {
							crossed = true
							w.after(20*time.Millisecond-before, func() { w.runners["r0"].restartFor(0) })
							w.after(20*time.Millisecond+after, func() {
								w.submit(jobID(1), oneTaskJob(50*time.Millisecond))
								w.submit(jobID(2), oneTaskJob(150*time.Millisecond))
							})
							w.after(20*time.Millisecond, func() { e.appendLedger(o) })
							return false
						}
					}
					return true
				}
				w.run(3 * time.Second)
				must.True(t, crossed)
				w.run(20 * time.Second)
				w.checkInvariants()
				for n := range 3 {
					w.mustState(jobID(n), fleet.JobDone)
				}
			})
		}
	}
}

// losesAcknowledgement leaves the next poll with an acknowledgement without an answer. Its
// runner carries it out some time later, whichever incarnation that is then.
func (w *world) losesAcknowledgement(late time.Duration) *effect.PollRunner {
	lost := &effect.PollRunner{}
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		o, ok := out.(effect.PollRunner)
		if !ok || o.Acknowledged == 0 || lost.Runner != "" {
			return true
		}
		*lost = o
		w.after(late, func() {
			if r := w.runners[o.Runner]; r.up && o.Token >= r.fence {
				r.takePoll(o)
			}
		})
		e.postAfter(orderTimeout, event.RunnerPolled{Epoch: o.Epoch, Runner: o.Runner, Number: o.Number, Outcome: event.OrderUnknown})
		return false
	}
	return lost
}

// lateAcknowledgement is a case of an acknowledgement that is carried out late.
type lateAcknowledgement struct {
	late time.Duration
	// downs are the lengths of the runner's restarts after the acknowledgement was sent.
	downs []time.Duration
	// unseen keeps every entry from calling or listing the runner until the acknowledgement
	// was carried out.
	unseen bool
}

var lateAcknowledgements = []lateAcknowledgement{
	{500 * time.Millisecond, []time.Duration{8 * time.Millisecond}, true},
	{500 * time.Millisecond, []time.Duration{400 * time.Millisecond}, true},
	{1500 * time.Millisecond, []time.Duration{8 * time.Millisecond}, false},
	{1500 * time.Millisecond, []time.Duration{600 * time.Millisecond}, false},
	{5 * time.Second, []time.Duration{600 * time.Millisecond, 600 * time.Millisecond}, false},
	{5 * time.Second, []time.Duration{600 * time.Millisecond, 600 * time.Millisecond}, true},
	{11 * time.Second, []time.Duration{600 * time.Millisecond}, false},
	{11 * time.Second, []time.Duration{600 * time.Millisecond}, true},
}

func (c *lateAcknowledgement) String() string {
	return fmt.Sprint("late=", c.late, " downs=", c.downs, " unseen=", c.unseen)
}

// play restarts the runner of a lost acknowledgement, and waits until that was carried out.
func (c *lateAcknowledgement) play(t *testing.T, w *world, ownerDies bool) {
	lost := w.losesAcknowledgement(c.late)
	for range 1000 {
		if lost.Runner == "" {
			w.run(time.Millisecond)
		}
	}
	must.NotEq(t, "", lost.Runner)
	sent, r := w.now, w.runners[lost.Runner]
	for _, down := range c.downs {
		r.restartFor(down)
		if c.unseen {
			r.w.after(down, func() { r.cutFor(c.late) })
		}
		w.run(down + 300*time.Millisecond)
	}
	if ownerDies {
		o := w.owner()
		o.kill()
		w.after(time.Second, o.restart)
	}
	w.run(sent.Add(c.late).Sub(w.now) + 50*time.Millisecond)
	must.True(t, r.acknowledgedEnd == lost.Acknowledged || r.fence > lost.Token, must.Sprint("neither carried out nor fenced off"))
}

// TestLateAcknowledgementAtALaterIncarnation has an acknowledgement without an answer carried
// out by a later incarnation of the runner. That one forgets ends of the same numbers, and a
// task ran again after its success.
func TestLateAcknowledgementAtALaterIncarnation(t *testing.T) {
	for _, c := range lateAcknowledgements {
		t.Run(c.String(), func(t *testing.T) {
			w := acknowledgedWorld(t, 171)
			c.play(t, w, false)
			w.mustRunTasksOnce()
		})
	}
}

// TestLateAcknowledgementOfAFormerOwner does the same where the owner that sent the
// acknowledgement has died meanwhile.
func TestLateAcknowledgementOfAFormerOwner(t *testing.T) {
	for _, c := range lateAcknowledgements {
		t.Run(c.String(), func(t *testing.T) {
			w := acknowledgedWorld(t, 172)
			c.play(t, w, true)
			w.run(4 * time.Second)
			w.mustRunTasksOnce()
		})
	}
}

// TestEndOfALateStartIsCounted has a start carried out by the next incarnation of its runner, which
// nobody sees before the owner has given the run up for its lease. The end of that run was
// acknowledged and not counted: it was taken for one of the former incarnation.
func TestEndOfALateStartIsCounted(t *testing.T) {
	for _, fails := range []bool{false, true} {
		for _, cut := range []time.Duration{6 * time.Second, 7 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprint("fails=", fails, " cut=", cut), func(t *testing.T) {
				w := newWorld(t, 179, 2, 1)
				w.run(30 * time.Second)
				var dark *fakeRunner
				w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
					if o, ok := out.(effect.OrderTask); ok && o.Kind == effect.OrderStart && dark == nil {
						dark = w.runners[o.Runner]
						dark.darkFor(450 * time.Millisecond)
						w.after(450*time.Millisecond, func() { dark.cutFor(cut) })
					}
					return true
				}
				w.alwaysFails[jobID(0)] = fails
				w.submit(jobID(0), oneTaskJob(300*time.Millisecond))
				w.run(cut + 5*time.Second)
				if fails {
					w.run(8 * time.Second) // the second run waits until the first start is over
				}
				must.NotNil(t, dark)
				w.checkInvariants()
				if fails {
					must.Eq(t, 2, w.starts)
					w.mustState(jobID(0), fleet.JobFailed)
				} else {
					must.Eq(t, 1, w.starts)
					w.mustState(jobID(0), fleet.JobDone)
				}
			})
		}
	}
}
