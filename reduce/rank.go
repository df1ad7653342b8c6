package reduce

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/cespare/xxhash/v2"
)

// rank returns the place of this entry among the live ones for a subject, by
// rendezvous hash: the first proposes at once, the others wait their turn.
func (s *State) rank(subject string) int {
	own := weight(s.cfg.Entry, subject)
	rank := 0
	for _, id := range s.peers.Alive(s.now) {
		w := weight(id, subject)
		if w > own || (w == own && id < s.cfg.Entry) {
			rank++
		}
	}
	return rank
}

func weight(id fleet.EntryID, subject string) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + subject)
}
