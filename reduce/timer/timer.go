// Package timer keeps the deadlines of the reducer in one heap, so that the
// control goroutine needs a single timer.
package timer

import (
	"container/heap"
	"time"
)

// Timer is a deadline owned by one item of the state. The zero value is not
// set.
type Timer struct {
	at    time.Time
	owner any
	// index is the position in the heap plus one; zero when not set.
	index int
	seq   uint64
}

// Heap orders timers by time; timers of the same time fire in the order in
// which they were set.
type Heap struct {
	items items
	seq   uint64
}

// Set arms t for owner, or moves it to another time.
func (h *Heap) Set(t *Timer, at time.Time, owner any) {
	h.seq++
	t.at, t.owner, t.seq = at, owner, h.seq
	if t.index > 0 {
		heap.Fix(&h.items, t.index-1)
		return
	}
	heap.Push(&h.items, t)
}

// SetOnce arms t for owner unless it is armed for the same time already.
func (h *Heap) SetOnce(t *Timer, at time.Time, owner any) {
	if t.index > 0 && t.at.Equal(at) {
		return
	}
	h.Set(t, at, owner)
}

// Clear disarms t.
func (h *Heap) Clear(t *Timer) {
	if t.index > 0 {
		heap.Remove(&h.items, t.index-1)
	}
}

// Next returns the earliest time, or the zero time when no timer is set.
func (h *Heap) Next() time.Time {
	if len(h.items) == 0 {
		return time.Time{}
	}
	return h.items[0].at
}

// Pop disarms the earliest timer that is due at now and returns its owner. It
// returns false when none is due.
func (h *Heap) Pop(now time.Time) (any, bool) {
	if len(h.items) == 0 || h.items[0].at.After(now) {
		return nil, false
	}
	t := heap.Pop(&h.items).(*Timer)
	return t.owner, true
}

// Len returns the number of timers that are set.
func (h *Heap) Len() int { return len(h.items) }

type items []*Timer

func (s items) Len() int { return len(s) }

func (s items) Less(i, j int) bool {
	if s[i].at.Equal(s[j].at) {
		return s[i].seq < s[j].seq
	}
	return s[i].at.Before(s[j].at)
}

func (s items) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index = i + 1
	s[j].index = j + 1
}

func (s *items) Push(x any) {
	t := x.(*Timer)
	t.index = len(*s) + 1
	*s = append(*s, t)
}

func (s *items) Pop() any {
	old := *s
	last := len(old) - 1
	t := old[last]
	old[last] = nil
	*s = old[:last]
	t.index = 0
	return t
}
