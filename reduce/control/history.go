package control

import "github.com/banyanrail/banyanrail/fleet"

// maxRemembered bounds the record ids kept to recognise duplicates. A record
// that comes later than this many others after its double or its Void would be
// folded again; drivers give up an append long before.
const maxRemembered = 4096

// SeenRecord is a record id, and what becomes of a record that comes with it.
type SeenRecord struct {
	ID      fleet.RecordID
	Outcome Outcome
}

// history remembers the newest record ids in order.
type history struct {
	outcomes map[fleet.RecordID]Outcome
	ring     []SeenRecord
	next     int
}

func newHistory() history {
	return history{outcomes: make(map[fleet.RecordID]Outcome)}
}

func (h *history) get(id fleet.RecordID) (Outcome, bool) {
	o, ok := h.outcomes[id]
	return o, ok
}

func (h *history) add(id fleet.RecordID, o Outcome) {
	h.outcomes[id] = o
	if len(h.ring) < maxRemembered {
		h.ring = append(h.ring, SeenRecord{ID: id, Outcome: o})
		return
	}
	delete(h.outcomes, h.ring[h.next].ID)
	h.ring[h.next] = SeenRecord{ID: id, Outcome: o}
	h.next = (h.next + 1) % maxRemembered
}

// list returns the ids, oldest first.
func (h *history) list() []SeenRecord {
	all := make([]SeenRecord, 0, len(h.ring))
	all = append(all, h.ring[h.next:]...)
	return append(all, h.ring[:h.next]...)
}
