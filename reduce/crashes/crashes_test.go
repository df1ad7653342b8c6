package crashes_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/reduce/crashes"
	"github.com/shoenig/test/must"
)

// atStart is a run whose runner crashed right after it had begun.
var atStart = crashes.Run{Began: true, Longest: 20 * time.Millisecond, Estimate: time.Second}

func TestSecondCrashOnTrialGivesUp(t *testing.T) {
	var r crashes.Record
	must.False(t, r.Add(atStart))
	must.True(t, r.Suspected())
	must.True(t, r.Add(atStart))
}

func TestRunThatPassesItsTrialIsNotSuspected(t *testing.T) {
	var r crashes.Record
	must.False(t, r.Add(atStart))
	must.False(t, r.Lasted(50*time.Millisecond, false))
	must.True(t, r.Lasted(r.Trial, false))
	must.False(t, r.Suspected())
	settled := crashes.Run{Began: true, Proven: 300 * time.Millisecond, Longest: 320 * time.Millisecond, Estimate: time.Second}
	must.False(t, r.Add(settled))
}

// TestRunBesideOneThatJustBeganIsNotSuspected, but is if nothing else had just begun.
func TestRunBesideOneThatJustBeganIsNotSuspected(t *testing.T) {
	settled := crashes.Run{Began: true, Proven: 300 * time.Millisecond, Longest: 320 * time.Millisecond, Estimate: time.Second}
	var r crashes.Record
	must.False(t, r.Add(settled))
	must.False(t, r.Suspected())
	settled.Alone = true
	r = crashes.Record{}
	must.False(t, r.Add(settled))
	must.Greater(t, settled.Longest, r.Trial)
}

// TestTaskThatCrashesLateIsGivenUpAtThePlatformsLimit: a crash some time into the run has
// nothing in common with the run's start, and may be due to anything that ends the runner. The
// task is isolated from its second crash on, as any, and given up by the number of crashes
// alone, neither before the limit nor after it.
func TestTaskThatCrashesLateIsGivenUpAtThePlatformsLimit(t *testing.T) {
	late := crashes.Run{Began: true, Proven: 400 * time.Millisecond, Longest: 420 * time.Millisecond, Estimate: time.Second}
	var r crashes.Record
	for n := range crashes.MaxCrashes - 1 {
		must.False(t, r.Add(late), must.Sprint("crash ", n+1))
		must.Eq(t, n > 0, r.Suspected(), must.Sprint("crash ", n+1))
	}
	must.True(t, r.Add(late))
}

// TestLongRunningTaskAtWorkIsNotAtFault: the platform limits the starts of tasks that end, and
// giving up a task that lasts stops the others of its job.
func TestLongRunningTaskAtWorkIsNotAtFault(t *testing.T) {
	late := crashes.Run{Began: true, LongRunning: true, Proven: 600 * time.Millisecond, Longest: 620 * time.Millisecond}
	start := crashes.Run{Began: true, LongRunning: true, Longest: 20 * time.Millisecond}
	var r crashes.Record
	must.False(t, r.Add(start))
	must.False(t, r.Add(start))
	before := r
	for range 20 {
		must.False(t, r.Add(late))
	}
	must.Eq(t, before, r)
	must.True(t, r.Add(start), must.Sprint("its crashes at the beginning still count"))
}

// TestUncertainCrashesGiveUpLast: a run that may have ended before the crash, or not
// have begun, counts towards the platform's limit alone.
func TestUncertainCrashesGiveUpLast(t *testing.T) {
	for name, run := range map[string]crashes.Run{
		"not confirmed":        {Longest: 20 * time.Millisecond, Estimate: time.Second},
		"may have ended":       {Began: true, Longest: 900 * time.Millisecond, Estimate: time.Second},
		"no estimate is given": {Began: true, Longest: 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var r crashes.Record
			for range crashes.MaxCrashes - 1 {
				must.False(t, r.Add(run))
			}
			must.True(t, r.Add(run))
		})
	}
}

func TestLongRunningTaskNeedsThreeCrashes(t *testing.T) {
	run := atStart
	run.LongRunning = true
	var r crashes.Record
	must.False(t, r.Add(run))
	must.False(t, r.Add(run))
	must.True(t, r.Add(run))
}

// TestLongRunningTaskForgetsCrashes: any of them outlives some runners.
func TestLongRunningTaskForgetsCrashes(t *testing.T) {
	at := crashes.Run{Began: true, LongRunning: true, Proven: 15 * time.Second, Longest: 16 * time.Second}
	var r crashes.Record
	for range 20 {
		must.False(t, r.Add(at))
	}
	must.Eq(t, crashes.Record{}, r)
	must.False(t, r.Add(crashes.Run{Began: true, LongRunning: true, Longest: time.Millisecond}))
	must.True(t, r.Lasted(15*time.Second, true))
	must.Eq(t, crashes.Record{}, r)
}

// TestSilentRunnerIsNoCrash: only isolation follows from a run that was lost with its
// lease.
func TestSilentRunnerIsNoCrash(t *testing.T) {
	var r crashes.Record
	for range 20 {
		r.Lost(0)
	}
	must.Eq(t, 0, r.Crashes)
	must.True(t, r.Suspected())
	must.False(t, r.Add(atStart))
}
