package runtimes

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// Entry is what was learned of one key, or of a queue as a whole, to be stored.
type Entry struct {
	Key
	// WholeQueue is set for what was learned of the queue. Step and Image are empty then.
	WholeQueue bool
	Values     Values
}

// Values are moments and activity in thousandths. Integers have a bounded size when stored.
type Values struct {
	Weight, MeanX, MeanY, SumXX, SumXY, SumYY, Activity int64
}

const (
	valueScale = 1000
	// maxMean bounds the logarithm of a time in seconds, and maxSum and maxActivity the other
	// values: far beyond what runs lead to.
	maxMean, maxSum, maxActivity = 40, 1e6, 1e9
)

// Entries returns what was learned, the most active keys first.
func (m *Model) Entries() []Entry {
	type ranked struct {
		Entry
		rank float64
	}
	all := make([]ranked, 0, len(m.queues.entries)+len(m.keys.entries))
	for i := range m.queues.entries {
		e := &m.queues.entries[i]
		all = append(all, ranked{Entry{Key: Key{Queue: e.key}, WholeQueue: true, Values: e.values(m.queues.runs)}, e.rank})
	}
	for i := range m.keys.entries {
		e := &m.keys.entries[i]
		all = append(all, ranked{Entry{Key: e.key, Values: e.values(m.keys.runs)}, e.rank})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(-cmp.Compare(a.rank, b.rank), strings.Compare(string(a.Queue), string(b.Queue)), cmp.Compare(a.Step, b.Step),
			strings.Compare(a.Image, b.Image))
	})
	out := make([]Entry, 0, len(all))
	for i := range all {
		out = append(out, all[i].Entry)
	}
	return out
}

// values returns the entry as of a number of runs.
func (e *entry[K]) values(runs float64) Values {
	scaled := func(v float64) int64 { return int64(math.Round(v * valueScale)) }
	m := &e.moments
	return Values{
		Weight: scaled(m.weight), MeanX: scaled(m.meanX), MeanY: scaled(m.meanY),
		SumXX: scaled(m.sumXX), SumXY: scaled(m.sumXY), SumYY: scaled(m.sumYY), Activity: scaled(e.activityAt(runs)),
	}
}

// Restore adds stored entries to a model that has seen no run, and returns the number of those
// that no run times can have led to.
func (m *Model) Restore(entries []Entry) (invalid int) {
	for i := range entries {
		e := &entries[i]
		if !e.Values.valid() {
			invalid++
			continue
		}
		k := e.bounded()
		if e.WholeQueue {
			m.queues.restore(cloneQueue(k.Queue), &e.Values)
		} else {
			m.keys.restore(k.clone(), &e.Values)
		}
	}
	return invalid
}

func (v *Values) valid() bool {
	between := func(n, least, most int64) bool { return n >= least*valueScale && n <= most*valueScale }
	return v.Weight > 0 && between(v.Weight, 0, queueWindow+1) && between(v.MeanX, -maxMean, maxMean) && between(v.MeanY, -maxMean, maxMean) &&
		between(v.SumXX, 0, maxSum) && between(v.SumYY, 0, maxSum) && between(v.SumXY, -maxSum, maxSum) && between(v.Activity, 0, maxActivity)
}

// restore adds a key with stored values, unless the table is full or has it.
func (t *table[K]) restore(k K, v *Values) {
	if _, ok := t.index[k]; ok || len(t.entries) == t.capacity {
		return
	}
	value := func(n int64) float64 { return float64(n) / valueScale }
	i := t.insert(k)
	e := &t.entries[i]
	e.moments = moments{
		weight: value(v.Weight), meanX: value(v.MeanX), meanY: value(v.MeanY), sumXX: value(v.SumXX), sumXY: value(v.SumXY), sumYY: value(v.SumYY),
	}
	e.setActivity(max(value(v.Activity), leastActivity), t.runs)
}
