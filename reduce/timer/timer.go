// Package timer keeps the deadlines of the reducer in one heap, so that the
// control goroutine needs only one timer.
package timer

import (
	"math"
	"time"
)

// Timer is a deadline owned by an item of the state. The zero value is not set.
type Timer struct {
	at    time.Time
	owner any
	// index is the position in the heap plus one; zero when not set.
	index int
}

// IsSet reports whether the timer is armed.
func (t *Timer) IsSet() bool { return t.index > 0 }

// At returns the time for which the timer is armed, or was last armed.
func (t *Timer) At() time.Time { return t.at }

// Heap orders timers by time. Timers with the same time fire in the order in
// which they were set. The binary heap is implemented here because every
// request sets and clears a timer, and container/heap calls its items through
// an interface.
type Heap struct {
	items []item
	seq   uint64
}

// item holds a pointer to a timer and, beside it, the timer's key, so that
// comparisons read contiguous memory. Times that nanoseconds since 1970 can't express
// have the nearest key, and are compared as they are.
type item struct {
	at    int64
	seq   uint64
	timer *Timer
}

func (a item) before(b item) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	if a.at == math.MaxInt64 || a.at == math.MinInt64 {
		if c := a.timer.at.Compare(b.timer.at); c != 0 {
			return c < 0
		}
	}
	return a.seq < b.seq
}

// The first and the last second in which all times have a count of nanoseconds.
const (
	firstSecond = math.MinInt64/int64(time.Second) + 1
	lastSecond  = math.MaxInt64/int64(time.Second) - 1
)

// keyOf returns the key of a time.
func keyOf(at time.Time) int64 {
	switch s := at.Unix(); {
	case s > lastSecond:
		return math.MaxInt64
	case s < firstSecond:
		return math.MinInt64
	default:
		return at.UnixNano()
	}
}

// Set arms t for owner, or moves it to another time.
func (h *Heap) Set(t *Timer, at time.Time, owner any) {
	h.seq++
	t.at, t.owner = at, owner
	it := item{at: keyOf(at), seq: h.seq, timer: t}
	if t.index > 0 {
		h.fix(t.index-1, it)
		return
	}
	h.items = append(h.items, it)
	h.up(len(h.items)-1, it)
}

// SetIfChanged arms t for owner unless it is already armed for the same time.
func (h *Heap) SetIfChanged(t *Timer, at time.Time, owner any) {
	if t.index > 0 && t.at.Equal(at) {
		return
	}
	h.Set(t, at, owner)
}

// Clear disarms t.
func (h *Heap) Clear(t *Timer) {
	if t.index == 0 {
		return
	}
	i, last := t.index-1, len(h.items)-1
	moved := h.items[last]
	h.items[last] = item{}
	h.items = h.items[:last]
	t.index, t.owner = 0, nil
	if i < last {
		h.fix(i, moved)
	}
}

// Next returns the earliest time, or the zero time when no timer is set.
func (h *Heap) Next() time.Time {
	if len(h.items) == 0 {
		return time.Time{}
	}
	return h.items[0].timer.at
}

// Pop disarms the earliest timer that is due at now and returns its owner. It
// returns false when none is due.
func (h *Heap) Pop(now time.Time) (any, bool) {
	if len(h.items) == 0 || h.items[0].timer.at.After(now) {
		return nil, false
	}
	t := h.items[0].timer
	owner := t.owner
	h.Clear(t)
	return owner, true
}

// Len returns the number of timers that are set.
func (h *Heap) Len() int { return len(h.items) }

// fix puts it at position i and restores the order of the heap.
func (h *Heap) fix(i int, it item) {
	if i > 0 && it.before(h.items[(i-1)/2]) {
		h.up(i, it)
		return
	}
	h.down(i, it)
}

func (h *Heap) up(i int, it item) {
	for i > 0 {
		parent := (i - 1) / 2
		if !it.before(h.items[parent]) {
			break
		}
		h.put(i, h.items[parent])
		i = parent
	}
	h.put(i, it)
}

func (h *Heap) down(i int, it item) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.items[right].before(h.items[child]) {
			child = right
		}
		if !h.items[child].before(it) {
			break
		}
		h.put(i, h.items[child])
		i = child
	}
	h.put(i, it)
}

func (h *Heap) put(i int, it item) {
	h.items[i] = it
	it.timer.index = i + 1
}
