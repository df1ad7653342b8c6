package rehearsal

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// Sample is what an entry sees of one service at one time.
type Sample struct {
	// Answered and Failed are cumulative, over all entries.
	Answered, Failed uint64
	// Slots are open to the service.
	Slots int
	// Burn is the rate at which the long window burns the budget.
	Burn float64
}

// Watch is what an entry has seen of a rehearsal. It is soft: an entry that
// starts during the rehearsal has seen the rest of it.
type Watch struct {
	// ID is that of the rehearsal; zero while none is watched.
	ID fleet.Offset
	// Since is when the entry first saw it.
	Since time.Time
	// DueSince is when its end became due; zero while it isn't.
	DueSince time.Time
	// ProposedAt is when the entry last proposed the end.
	ProposedAt time.Time

	services map[fleet.ServiceName]*observation
}

type observation struct {
	first, last Sample
	leastSlots  int
	maxBurn     float64
}

// Track starts anew when another rehearsal is under way.
func (w *Watch) Track(id fleet.Offset, now time.Time) {
	if w.ID == id {
		return
	}
	*w = Watch{ID: id, Since: now, services: make(map[fleet.ServiceName]*observation)}
}

// Observe takes in a sample of a service.
func (w *Watch) Observe(service fleet.ServiceName, s Sample) {
	o, known := w.services[service]
	if !known {
		o = &observation{first: s, leastSlots: s.Slots}
		w.services[service] = o
	}
	o.last = s
	o.leastSlots = min(o.leastSlots, s.Slots)
	o.maxBurn = max(o.maxBurn, s.Burn)
}

// Observed returns what happened to a service since the entry first saw the
// rehearsal.
func (w *Watch) Observed(service fleet.ServiceName) (Observed, bool) {
	o, known := w.services[service]
	if !known {
		return Observed{}, false
	}
	return Observed{
		Name:       service,
		Answered:   o.last.Answered - o.first.Answered,
		Failed:     o.last.Failed - o.first.Failed,
		LeastSlots: o.leastSlots,
		MaxBurn:    o.maxBurn,
	}, true
}
