package shares

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/admission"
)

// Entry is work that waits for a runner.
type Entry struct {
	admission.Waiting
	Account *Account
	// Index is the caller's number for the work.
	Index int
}

// Order yields the work that waits in the order in which it is to be placed. Work of one class
// and priority is ordered by weighted fair queueing: the next is that of the tenant with the
// lowest level, which grows with each task that the caller places between two calls of Next.
// Within a tenant, admission.Compare decides; so does it if there is one tenant only.
//
// Load pattern: one tenant sends several times its usual load for some seconds, and the few jobs
// of the others would wait behind its backlog.
type Order struct {
	entries []Entry
	now     time.Time
	total   fleet.Capacity
	// next is the first entry after the present block, which has one class and priority.
	next int
	// tenants is a heap of the tenants with entries left in the block, lowest level first.
	tenants []cursor
	// picked is set while the first of tenants had the last turn, so that its level may have
	// changed.
	picked bool
}

// cursor is the rest of a tenant's entries in a block.
type cursor struct {
	level    float64
	from, to int
}

// NewOrder returns the order of entries on a fleet with a total capacity. It keeps and sorts the
// entries. Entries that are equal otherwise are ordered by their indexes.
func NewOrder(now time.Time, total fleet.Capacity, entries []Entry) *Order {
	slices.SortFunc(entries, compareEntries)
	return &Order{entries: entries, now: now, total: total}
}

func compareEntries(a, b Entry) int {
	if a.Account != b.Account {
		if c := cmp.Compare(a.Class, b.Class); c != 0 {
			return c
		}
		if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
			return c
		}
		return cmp.Compare(a.Account.number, b.Account.number)
	}
	if c := admission.Compare(a.Waiting, b.Waiting); c != 0 {
		return c
	}
	return cmp.Compare(a.Index, b.Index)
}

// Next returns the next entry, and false if none is left.
func (q *Order) Next() (Entry, bool) {
	if q.picked {
		q.settle()
	}
	if len(q.tenants) == 0 && !q.openBlock() {
		return Entry{}, false
	}
	q.picked = true
	first := &q.tenants[0]
	first.from++
	return q.entries[first.from-1], true
}

// settle puts the tenant that had the last turn in its new place.
func (q *Order) settle() {
	q.picked = false
	first := &q.tenants[0]
	if first.from < first.to {
		if len(q.tenants) > 1 {
			first.level = q.level(first.from)
		}
	} else {
		last := len(q.tenants) - 1
		q.tenants[0] = q.tenants[last]
		q.tenants = q.tenants[:last]
	}
	q.down(0)
}

// openBlock makes a heap of the tenants in the next block.
func (q *Order) openBlock() bool {
	if q.next == len(q.entries) {
		return false
	}
	head := &q.entries[q.next]
	for q.next < len(q.entries) {
		from := q.next
		first := &q.entries[from]
		if first.Class != head.Class || first.Priority != head.Priority {
			break
		}
		for q.next < len(q.entries) && q.entries[q.next].Account == first.Account &&
			q.entries[q.next].Class == head.Class && q.entries[q.next].Priority == head.Priority {
			q.next++
		}
		q.tenants = append(q.tenants, cursor{level: q.level(from), from: from, to: q.next})
	}
	for i := len(q.tenants)/2 - 1; i >= 0; i-- {
		q.down(i)
	}
	return true
}

// level returns the level of the tenant of an entry.
func (q *Order) level(n int) float64 { return q.entries[n].Account.Level(q.now, q.total) }

// less reports whether tenant a of the heap comes before tenant b. Tenants of one level are
// ordered by their first entries.
func (q *Order) less(a, b *cursor) bool {
	if a.level != b.level {
		return a.level < b.level
	}
	x, y := &q.entries[a.from], &q.entries[b.from]
	return cmp.Or(admission.Compare(x.Waiting, y.Waiting), cmp.Compare(x.Account.number, y.Account.number)) < 0
}

// down moves tenant i of the heap to its place below.
func (q *Order) down(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(q.tenants); c++ {
			if q.less(&q.tenants[c], &q.tenants[least]) {
				least = c
			}
		}
		if least == i {
			return
		}
		q.tenants[i], q.tenants[least] = q.tenants[least], q.tenants[i]
		i = least
	}
}
