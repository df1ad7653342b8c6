package control

import "github.com/banyanrail/banyanrail/fleet"

// maxSeen is the number of record ids kept to detect duplicates. A record that
// follows its duplicate or its Void by more than this many records would be
// folded again, but drivers stop retrying an append long before.
const maxSeen = 4096

// SeenRecord is the id of a record that was folded or voided, with the outcome
// of any later record that has the same id.
type SeenRecord struct {
	ID      fleet.RecordID
	Outcome Outcome
}

// history holds the newest record ids in order.
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
	if len(h.ring) < maxSeen {
		h.ring = append(h.ring, SeenRecord{ID: id, Outcome: o})
		return
	}
	delete(h.outcomes, h.ring[h.next].ID)
	h.ring[h.next] = SeenRecord{ID: id, Outcome: o}
	h.next = (h.next + 1) % maxSeen
}

// list returns the ids, oldest first.
func (h *history) list() []SeenRecord {
	all := make([]SeenRecord, 0, len(h.ring))
	all = append(all, h.ring[h.next:]...)
	return append(all, h.ring[:h.next]...)
}
