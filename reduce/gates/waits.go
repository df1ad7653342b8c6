package gates

import (
	"slices"
	"time"
)

// MinLogged is the wait from which it is logged. Under the usual load tasks wait for some
// milliseconds.
const MinLogged = 500 * time.Millisecond

// repeatInterval is the time after which a wait is logged again, as what is known of the runner that
// it depends on may have changed.
const repeatInterval = 5 * time.Second

// Wait is the wait of a task at a gate.
type Wait[K comparable] struct {
	Task K
	Gate Gate
	// Since is when the task was first seen at the gate.
	Since time.Time
	// Logged is set once the wait was logged, and due once it should have been. loggedAt is when
	// it was last logged.
	Logged, due bool
	loggedAt    time.Time
	// other is the gate, or None, at which the task was seen when it was last looked at, and otherSince
	// since when; otherSince is zero if that is Gate.
	other      Gate
	otherSince time.Time
}

// Waits holds the waits of single tasks, oldest first. The zero value holds none.
type Waits[K comparable] struct {
	byTask map[K]*Wait[K]
	list   []*Wait[K]
}

// Len returns the number of waits.
func (w *Waits[K]) Len() int { return len(w.list) }

// Note notes that a task was seen at a gate, unless it is known to wait, or limit waits are known; half
// of them are left to gates of runners.
func (w *Waits[K]) Note(now time.Time, task K, g Gate, limit int) {
	if !g.OfRunner() {
		limit /= 2
	}
	if len(w.list) >= limit || w.byTask[task] != nil {
		return
	}
	w.add(&Wait[K]{Task: task, Gate: g, Since: now})
}

func (w *Waits[K]) add(wait *Wait[K]) {
	if w.byTask == nil {
		w.byTask = make(map[K]*Wait[K])
	}
	w.byTask[wait.Task] = wait
	w.list = append(w.list, wait)
}

// Review looks at each wait again. gateOf returns the gate at which a task waits now. A gate counts
// as open once two reviews in a row found the task at the same other one, since some gates open and close with each run
// that ends. Review returns the waits that have ended and when, and begins those at the next gates.
func (w *Waits[K]) Review(now time.Time, gateOf func(K) Gate) []Ended[K] {
	var ended []Ended[K]
	var next []*Wait[K]
	w.list = slices.DeleteFunc(w.list, func(wait *Wait[K]) bool {
		g := gateOf(wait.Task)
		switch {
		case g == wait.Gate:
			wait.otherSince = time.Time{}
			return false
		case g != None && (wait.otherSince.IsZero() || g != wait.other):
			wait.other, wait.otherSince = g, now
			return false
		}
		at := now
		if g != None {
			at = wait.otherSince
		}
		ended = append(ended, Ended[K]{Wait: *wait, At: at})
		delete(w.byTask, wait.Task)
		if g != None && !g.Shared() {
			next = append(next, &Wait[K]{Task: wait.Task, Gate: g, Since: wait.otherSince})
		}
		return true
	})
	for _, wait := range next {
		w.add(wait)
	}
	return ended
}

// Ended is a wait that has ended.
type Ended[K comparable] struct {
	Wait[K]
	At time.Time
}

// LeftOut reports whether the wait was due to be logged and got no line.
func (e *Ended[K]) LeftOut() bool { return e.due && !e.Logged }

// End ends the wait of a task, if it has one.
func (w *Waits[K]) End(now time.Time, task K) (Ended[K], bool) {
	wait, ok := w.byTask[task]
	if !ok {
		return Ended[K]{}, false
	}
	delete(w.byTask, task)
	w.list = slices.DeleteFunc(w.list, func(other *Wait[K]) bool { return other == wait })
	return Ended[K]{Wait: *wait, At: now}, true
}

// LogDue logs the waits that are due, as long as lines are allowed. First come those for certain
// runners, so that a backlog at another gate does not hide them, and last those that were logged before. The others
// stay due.
func (w *Waits[K]) LogDue(now time.Time, lines *Lines, log func(*Wait[K])) {
	for turn := range turns {
		for _, wait := range w.list {
			if wait.turn() != turn || !wait.isDue(now) {
				continue
			}
			wait.due = true
			if lines.Allow(now) {
				wait.Logged, wait.loggedAt = true, now
				log(wait)
			}
		}
	}
}

// turns is the number of turns in which waits are logged.
const turns = 3

// turn returns the turn in which the wait is logged.
func (wait *Wait[K]) turn() int {
	switch {
	case wait.Logged:
		return 2
	case wait.Gate.OfRunner():
		return 0
	default:
		return 1
	}
}

// isDue reports whether a line about the wait is due now, the first one or another.
func (wait *Wait[K]) isDue(now time.Time) bool {
	switch {
	case !wait.otherSince.IsZero():
		return false
	case wait.Logged:
		return wait.Gate.OfRunner() && now.Sub(wait.loggedAt) >= repeatInterval
	default:
		return now.Sub(wait.Since) >= MinLogged
	}
}
