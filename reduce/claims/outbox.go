package claims

import (
	"fmt"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

const (
	// maxItems is the largest number of items in a group.
	maxItems = 256
	// maxInFlight is the largest number of groups that are flushed but not read
	// back. During an outage further items wait in open groups, from which they
	// can be withdrawn without a record.
	maxInFlight = 8
	// RetryDelay is the delay before a failed append is retried.
	RetryDelay = 250 * time.Millisecond
	// ReadBackTimeout is how long an append with an unknown outcome waits to be
	// read back. After that the same group is appended again, which is harmless
	// if the first append took effect.
	ReadBackTimeout = 2 * time.Second
)

// Batch is a group that is being appended to the log.
type Batch struct {
	Group Group
	// Retry is the timer of the next append.
	Retry timer.Timer
	// notInLog is set between an append that had no effect and its retry.
	// uncertain is set once an append has ended with an unknown outcome.
	notInLog, uncertain bool
}

// Outbox batches the items that this entry adds to the claims stream.
type Outbox struct {
	entry       fleet.EntryID
	incarnation uint64
	// interval is the minimum time between two groups.
	interval  time.Duration
	sequence  uint64
	lastFlush time.Time
	// open holds the groups that have not been flushed, oldest first.
	open []Group
	// batches holds the groups that were flushed and have not been read back.
	batches map[fleet.RecordID]*Batch
}

// NewOutbox returns an empty outbox that releases at most one new group per
// interval.
func NewOutbox(entry fleet.EntryID, incarnation uint64, interval time.Duration) *Outbox {
	return &Outbox{
		entry:       entry,
		incarnation: incarnation,
		interval:    interval,
		batches:     make(map[fleet.RecordID]*Batch),
	}
}

// Add adds an item to the group that is being filled and returns the id of the
// group.
func (o *Outbox) Add(it Item) fleet.RecordID {
	last := len(o.open) - 1
	if last < 0 || len(o.open[last].Items) >= maxItems {
		o.sequence++
		o.open = append(o.open, Group{
			ID:          fleet.RecordID(fmt.Sprintf("%s-%x-%d", o.entry, o.incarnation, o.sequence)),
			Entry:       o.entry,
			Incarnation: o.incarnation,
		})
		last++
	}
	o.open[last].Items = append(o.open[last].Items, it)
	return o.open[last].ID
}

// FlushAt returns when the next group may be flushed, or the zero time if none
// may be.
func (o *Outbox) FlushAt() time.Time {
	if len(o.open) == 0 || len(o.batches) >= maxInFlight {
		return time.Time{}
	}
	return o.lastFlush.Add(o.interval)
}

// Flush closes the oldest open group and returns it for its append.
func (o *Outbox) Flush(now time.Time) *Batch {
	b := &Batch{Group: o.open[0]}
	b.Group.Time = now
	o.open = slices.Delete(o.open, 0, 1)
	o.batches[b.Group.ID] = b
	o.lastFlush = now
	return b
}

// Get returns a group that was flushed and has not been read back.
func (o *Outbox) Get(id fleet.RecordID) (*Batch, bool) {
	b, ok := o.batches[id]
	return b, ok
}

// Remove removes a group that was read back, or that has become empty, and
// returns it.
func (o *Outbox) Remove(id fleet.RecordID) (*Batch, bool) {
	b, ok := o.batches[id]
	delete(o.batches, id)
	return b, ok
}

// IsPending reports whether a group is open or has not been read back.
func (o *Outbox) IsPending(id fleet.RecordID) bool {
	_, sent := o.batches[id]
	return sent || slices.ContainsFunc(o.open, func(g Group) bool { return g.ID == id })
}

// Len returns the number of groups that are open or have not been read back.
func (o *Outbox) Len() int { return len(o.open) + len(o.batches) }

// MarkNotAppended records that an append failed and had no effect.
func (b *Batch) MarkNotAppended() { b.notInLog = true }

// MarkUncertain records that an append may have taken effect.
func (b *Batch) MarkUncertain() { b.uncertain = true }

// PrepareRetry prepares the group for another append. The group gets a new time
// unless an earlier append may have taken effect.
func (b *Batch) PrepareRetry(now time.Time) {
	b.notInLog = false
	if !b.uncertain {
		b.Group.Time = now
	}
}

// Withdraw drops a claim that is certainly not in the log. It returns false if
// the claim is in the log or may still be appended.
func (o *Outbox) Withdraw(ref Ref) bool {
	for i := range o.open {
		if o.open[i].ID == ref.Record {
			o.open[i].Items = without(o.open[i].Items, ref.Scope)
			if len(o.open[i].Items) == 0 {
				o.open = slices.Delete(o.open, i, i+1)
			}
			return true
		}
	}
	b, ok := o.batches[ref.Record]
	if !ok || !b.notInLog || b.uncertain {
		return false
	}
	b.Group.Items = without(b.Group.Items, ref.Scope)
	return true
}

// without returns a copy of the items without the claim of a scope.
func without(items []Item, scope Scope) []Item {
	return slices.DeleteFunc(slices.Clone(items), func(it Item) bool {
		c, ok := it.(Claim)
		return ok && c.Scope == scope
	})
}
