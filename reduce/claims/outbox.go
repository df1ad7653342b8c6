package claims

import (
	"fmt"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

const (
	// maxItems bounds the items of a group.
	maxItems = 256
	// maxBatches bounds the groups that are appended and not read back. During
	// an outage the other items wait, where they can be dropped at no cost.
	maxBatches = 8
	// RetryDelay is the pause before a group that was not appended is tried
	// again.
	RetryDelay = 250 * time.Millisecond
	// ReadBackTimeout is how long reading on may take to tell whether an append
	// with an unknown outcome took effect. The same group is then appended
	// again, which is harmless when the first one did.
	ReadBackTimeout = 2 * time.Second
)

// Batch is a group on its way into the log.
type Batch struct {
	Group Group
	// Retry is the timer of the next append.
	Retry timer.Timer
	// absent is set while the group is certainly not in the log and no append
	// is under way; doubted once an append ended with an unknown outcome.
	absent, doubted bool
}

// Outbox groups the items that this entry adds to the claims stream.
type Outbox struct {
	entry       fleet.EntryID
	incarnation uint64
	// interval is the least time between two groups.
	interval time.Duration
	sequence uint64
	flushed  time.Time
	open     []Group
	batches  map[fleet.RecordID]*Batch
}

// NewOutbox returns an empty outbox that appends at most one new group an
// interval.
func NewOutbox(entry fleet.EntryID, incarnation uint64, interval time.Duration) *Outbox {
	return &Outbox{
		entry:       entry,
		incarnation: incarnation,
		interval:    interval,
		batches:     make(map[fleet.RecordID]*Batch),
	}
}

// Add puts an item into the group that is being filled and returns the group's
// id.
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

// FlushAt returns when the next group may be appended; zero when none may.
func (o *Outbox) FlushAt() time.Time {
	if len(o.open) == 0 || len(o.batches) >= maxBatches {
		return time.Time{}
	}
	return o.flushed.Add(o.interval)
}

// Flush closes the oldest group that is being filled.
func (o *Outbox) Flush(now time.Time) *Batch {
	b := &Batch{Group: o.open[0]}
	b.Group.Time = now
	o.open = slices.Delete(o.open, 0, 1)
	o.batches[b.Group.ID] = b
	o.flushed = now
	return b
}

// Get returns a group that is on its way.
func (o *Outbox) Get(id fleet.RecordID) (*Batch, bool) {
	b, ok := o.batches[id]
	return b, ok
}

// Remove forgets a group that was read back and returns it.
func (o *Outbox) Remove(id fleet.RecordID) (*Batch, bool) {
	b, ok := o.batches[id]
	delete(o.batches, id)
	return b, ok
}

// IsPending reports whether a group has not been read back.
func (o *Outbox) IsPending(id fleet.RecordID) bool {
	_, sent := o.batches[id]
	return sent || slices.ContainsFunc(o.open, func(g Group) bool { return g.ID == id })
}

// Len returns the number of groups that have not been read back.
func (o *Outbox) Len() int { return len(o.open) + len(o.batches) }

// MarkNotAppended notes that an append certainly had no effect.
func (b *Batch) MarkNotAppended() { b.absent = true }

// MarkUncertain notes that an append may have taken effect.
func (b *Batch) MarkUncertain() { b.doubted = true }

// PrepareRetry notes that the group is appended once more.
func (b *Batch) PrepareRetry(now time.Time) {
	b.absent = false
	if !b.doubted {
		b.Group.Time = now
	}
}

// Withdraw drops a claim that certainly is not in the log. It returns false
// when the claim is in the log or may yet turn up there.
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
	if !ok || !b.absent || b.doubted {
		return false
	}
	b.Group.Items = without(b.Group.Items, ref.Scope)
	return true
}

// without returns a copy of the items that lacks the claim of a scope.
func without(items []Item, scope Scope) []Item {
	return slices.DeleteFunc(slices.Clone(items), func(it Item) bool {
		c, ok := it.(Claim)
		return ok && c.Scope == scope
	})
}
