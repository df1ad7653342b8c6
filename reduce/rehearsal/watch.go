package rehearsal

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// Sample is the state of one service at one time.
type Sample struct {
	// Answered and Failed are cumulative counts of requests over all entries.
	Answered, Failed uint64
	// Slots is the number of available slots in the service's pool.
	Slots int
	// Burn is the burn rate of the budget over the long window.
	Burn float64
}

// Watch holds what an entry has observed of a rehearsal. It is soft state: an
// entry that starts during the rehearsal observes only the rest of it.
type Watch struct {
	// ID is the id of the rehearsal; zero if none has been observed.
	ID fleet.Offset
	// Since is when the entry began to observe the rehearsal.
	Since time.Time
	// DueSince is when the end of the rehearsal became due; zero while it is not
	// due.
	DueSince time.Time
	// ProposedAt is when the entry last proposed the end of the rehearsal.
	ProposedAt time.Time

	services map[fleet.ServiceName]*observation
}

type observation struct {
	first, last Sample
	leastSlots  int
	maxBurn     float64
}

// Track sets the rehearsal to observe. If it differs from the present one, all
// observations are cleared.
func (w *Watch) Track(id fleet.Offset, now time.Time) {
	if w.ID == id {
		return
	}
	*w = Watch{ID: id, Since: now, services: make(map[fleet.ServiceName]*observation)}
}

// Observe adds a sample of a service.
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

// Observed returns a summary of the samples of a service; false if there are
// none.
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
