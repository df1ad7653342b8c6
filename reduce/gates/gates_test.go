package gates_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/gates"
	"github.com/shoenig/test/must"
)

var start = time.Date(2026, 12, 8, 0, 0, 0, 0, time.UTC)

// at returns the time of an examination: they are half a second apart.
func at(n int) time.Time { return start.Add(time.Duration(n) * 500 * time.Millisecond) }

func TestEachGateHasAReasonOfItsOwn(t *testing.T) {
	seen := map[effect.Reason]bool{}
	for _, g := range gates.All() {
		must.NotEq(t, "", string(g.Reason()))
		must.False(t, seen[g.Reason()])
		seen[g.Reason()] = true
	}
	must.Eq(t, 8, len(seen))
	must.Eq(t, "", string(gates.None.Reason()))
}

// TestGateIsTheClosestToTheTask sets the conditions one after the other, the closest last.
func TestGateIsTheClosestToTheTask(t *testing.T) {
	var f gates.Facts
	must.Eq(t, gates.Capacity, f.Gate())
	for _, c := range []struct {
		fact *bool
		want gates.Gate
	}{
		{&f.Paused, gates.Paused},
		{&f.Advice, gates.Advice},
		{&f.Trial, gates.Trial},
		{&f.Cap, gates.Cap},
		{&f.Gang, gates.Gang},
		{&f.LateStart, gates.LateStart},
		{&f.Resolution, gates.Resolution},
	} {
		*c.fact = true
		must.Eq(t, c.want, f.Gate())
	}
}

// waits is a test's waits of tasks by name, and the gates at which they are.
type waits struct {
	gates.Waits[string]
	lines  gates.Lines
	at     map[string]gates.Gate
	logged []string
}

func newWaits() *waits { return &waits{at: make(map[string]gates.Gate)} }

// examine plays one examination, and returns the waits that have ended.
func (w *waits) examine(n int) []gates.Ended[string] {
	w.logged = nil
	ended := w.Review(at(n), func(task string) gates.Gate { return w.at[task] })
	for _, task := range []string{"a", "b", "c"} {
		if g := w.at[task]; g != gates.None && !g.Shared() {
			w.Note(at(n), task, g, 4)
		}
	}
	w.LogDue(at(n), &w.lines, func(wait *gates.Wait[string]) { w.logged = append(w.logged, wait.Task) })
	return ended
}

func TestWaitIsLoggedWhenItLasts(t *testing.T) {
	w := newWaits()
	w.at["a"] = gates.Cap
	must.SliceEmpty(t, w.examine(0))
	must.SliceEmpty(t, w.logged)
	w.examine(1)
	must.Eq(t, []string{"a"}, w.logged)
	w.examine(2)
	must.SliceEmpty(t, w.logged)

	e, ok := w.End(at(3), "a")
	must.True(t, ok)
	must.True(t, e.Logged)
	must.False(t, e.LeftOut())
	must.Eq(t, 1500*time.Millisecond, e.At.Sub(e.Since))
	_, ok = w.End(at(3), "a")
	must.False(t, ok)
	must.Zero(t, w.Len())
}

func TestShortWaitIsNeitherLoggedNorLeftOut(t *testing.T) {
	w := newWaits()
	w.at["a"] = gates.LateStart
	w.examine(0)
	w.at["a"] = gates.None
	ended := w.examine(1)
	must.SliceLen(t, 1, ended)
	must.False(t, ended[0].Logged)
	must.False(t, ended[0].LeftOut())
	must.SliceEmpty(t, w.logged)
}

// TestGateThatOpensForAMomentIsNotOpen: the cap of a tenant opens and closes with each run that
// ends.
func TestGateThatOpensForAMomentIsNotOpen(t *testing.T) {
	w := newWaits()
	for n := range 8 {
		w.at["a"] = gates.Cap
		if n%2 == 1 {
			w.at["a"] = gates.Capacity
		}
		must.SliceEmpty(t, w.examine(n))
	}
	must.Eq(t, 1, w.Len())
	ended := w.examine(8)
	must.SliceLen(t, 1, ended)
	must.Eq(t, at(7), ended[0].At)
	must.Eq(t, at(0), ended[0].Since)
	must.Zero(t, w.Len())
}

func TestWaitAtTheNextGateFollows(t *testing.T) {
	w := newWaits()
	w.at["a"] = gates.Resolution
	w.examine(0)
	w.examine(1)
	w.at["a"] = gates.LateStart
	must.SliceEmpty(t, w.examine(2))
	ended := w.examine(3)
	must.SliceLen(t, 1, ended)
	must.Eq(t, gates.Resolution, ended[0].Gate)
	must.Eq(t, at(2), ended[0].At)
	must.Eq(t, []string{"a"}, w.logged) // the wait at the next one, since then
	e, _ := w.End(at(4), "a")
	must.Eq(t, gates.LateStart, e.Gate)
	must.Eq(t, at(2), e.Since)
}

func TestWaitForARunnerIsLoggedAgain(t *testing.T) {
	for _, g := range gates.All() {
		if g.Shared() {
			continue
		}
		w := newWaits()
		w.at["a"] = g
		n := 0
		for i := range 30 { // 14.5 s
			w.examine(i)
			n += len(w.logged)
		}
		want := 1
		if g == gates.LateStart || g == gates.Resolution || g == gates.Gang {
			want = 3
		}
		must.Eq(t, want, n, must.Sprint(g.Reason()))
	}
}

// TestFollowedWaitsAreBounded: half of the places are left to waits for certain runners.
func TestFollowedWaitsAreBounded(t *testing.T) {
	var w gates.Waits[int]
	for task := range 20 {
		w.Note(at(0), task, gates.Cap, 10)
	}
	must.Eq(t, 5, w.Len())
	for task := range 20 {
		w.Note(at(0), 20+task, gates.LateStart, 10)
	}
	must.Eq(t, 10, w.Len())
	w.Review(at(1), func(task int) gates.Gate {
		if task < 20 {
			return gates.None
		}
		return gates.LateStart
	})
	must.Eq(t, 5, w.Len())
	w.Note(at(1), 100, gates.Resolution, 10)
	must.Eq(t, 6, w.Len())
}

// TestBacklogAtACapHidesNoWaitForARunner: a wait for a runner gets its line although many older ones at
// a cap are due.
func TestBacklogAtACapHidesNoWaitForARunner(t *testing.T) {
	var w gates.Waits[int]
	var lines gates.Lines
	for task := range 100 {
		w.Note(at(0), task, gates.Cap, 1000)
	}
	w.Note(at(1), 100, gates.LateStart, 1000)
	w.LogDue(at(1), &lines, func(*gates.Wait[int]) {})
	var logged []int
	w.LogDue(at(3), &lines, func(wait *gates.Wait[int]) { logged = append(logged, wait.Task) })
	must.SliceLen(t, gates.MaxLines, logged)
	must.Eq(t, 100, logged[0])
}

// TestLinesAreBoundedAndThoseLeftOutCounted has a hundred waits come due at once, of which most end
// a second later.
func TestLinesAreBoundedAndThoseLeftOutCounted(t *testing.T) {
	var w gates.Waits[int]
	var lines gates.Lines
	logged := 0
	log := func(*gates.Wait[int]) { logged++ }
	for task := range 100 {
		w.Note(at(0), task, gates.Trial, 1000)
	}
	w.LogDue(at(0), &lines, log)
	must.Zero(t, logged)
	w.LogDue(at(1), &lines, log)
	must.Eq(t, gates.MaxLines, logged)
	w.LogDue(at(2), &lines, log)
	must.Eq(t, gates.MaxLines, logged)
	w.LogDue(at(3), &lines, log)
	must.Eq(t, 2*gates.MaxLines, logged)
	for _, e := range w.Review(at(4), func(int) gates.Gate { return gates.None }) {
		if e.LeftOut() {
			lines.LeaveOut()
		}
	}
	must.Eq(t, 100-2*gates.MaxLines, lines.TellLeftOut(at(4)))
	must.Zero(t, lines.TellLeftOut(at(4)))
	lines.LeaveOut()
	must.Zero(t, lines.TellLeftOut(at(5)))
	must.Eq(t, 1, lines.TellLeftOut(at(6)))
}

func TestLinesAreAllowedAgain(t *testing.T) {
	var lines gates.Lines
	allowed := 0
	for ms := range 10_000 {
		if lines.AllowOrLeaveOut(start.Add(time.Duration(ms) * time.Millisecond)) {
			allowed++
		}
	}
	must.Eq(t, 10*gates.MaxLines, allowed)
	must.Eq(t, 10_000-allowed, lines.TellLeftOut(start.Add(10*time.Second)))
}

func TestCounts(t *testing.T) {
	var c gates.Counts
	c.Add(gates.Cap)
	c.Add(gates.Cap)
	must.Eq(t, 2, c[gates.Cap])
	must.Zero(t, c[gates.Trial])
}
