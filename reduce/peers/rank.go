package peers

import "github.com/cespare/xxhash/v2"

// Rank returns this entry's place among the entries alive for a subject, by
// rendezvous hash: 0 for the one whose turn is first. Entries that see each
// other agree on it, and another subject gives another order.
func (s *State) Rank(subject string) int {
	own := score(string(s.self), subject)
	rank := 0
	for id, p := range s.byID {
		if p.Status == Alive && score(string(id), subject) > own {
			rank++
		}
	}
	return rank
}

func score(id, subject string) uint64 {
	return xxhash.Sum64String(id + "/" + subject)
}
