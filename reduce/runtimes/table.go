package runtimes

import "math"

// activityHalfLife is the number of runs, over all keys, after which a run counts half for
// the activity of its key. Queues take turns of five seconds in twenty, at up to 2,000 runs
// a second, so a busy key keeps a good part of its activity until its queue's next turn.
const activityHalfLife = 30_000

// table holds the moments of a bounded number of keys. A new key replaces the least active
// one, so a flood of names replaces its own names and not the busy keys.
type table[K comparable] struct {
	capacity int
	index    map[K]int
	entries  []entry[K]
	// runs is the number of runs so far, which ages activities.
	runs float64
}

type entry[K comparable] struct {
	key K
	moments
	// activity is the decayed number of runs at the time of run number seen, and rank orders
	// the entries by it: the logarithm of the activity that the entry would have had at run 0.
	activity, seen, rank float64
}

func newTable[K comparable](capacity int) *table[K] {
	return &table[K]{capacity: capacity, index: make(map[K]int)}
}

// find returns the moments of a key, or nil.
func (t *table[K]) find(k K) *moments {
	if i, ok := t.index[k]; ok {
		return &t.entries[i].moments
	}
	return nil
}

// at returns the moments of a key that has run, and adds the key, cloned, if it is new.
func (t *table[K]) at(k K, clone func(K) K) *moments {
	t.runs++
	i, ok := t.index[k]
	if !ok {
		i = t.insert(clone(k))
	}
	e := &t.entries[i]
	e.setActivity(e.activityAt(t.runs)+1, t.runs)
	return &e.moments
}

// activityAt returns the activity at a later run.
func (e *entry[K]) activityAt(runs float64) float64 {
	return e.activity * math.Exp2((e.seen-runs)/activityHalfLife)
}

func (e *entry[K]) setActivity(activity, runs float64) {
	e.activity, e.seen, e.rank = activity, runs, math.Log2(activity)+runs/activityHalfLife
}

// leastActivity is the activity of a restored key whose stored activity was rounded to nothing.
const leastActivity = 0.001

// insert adds a key without moments, in the place of the least active one if the table is
// full, and returns its place.
func (t *table[K]) insert(k K) int {
	i := len(t.entries)
	if i < t.capacity {
		t.entries = append(t.entries, entry[K]{key: k, seen: t.runs})
	} else {
		i = t.leastActive()
		delete(t.index, t.entries[i].key)
		t.entries[i] = entry[K]{key: k, seen: t.runs}
	}
	t.index[k] = i
	return i
}

func (t *table[K]) leastActive() int {
	least := 0
	for i := range t.entries {
		if t.entries[i].rank < t.entries[least].rank {
			least = i
		}
	}
	return least
}
