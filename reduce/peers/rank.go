package peers

import "github.com/cespare/xxhash/v2"

// Rank returns the rank of this entry among the entries alive for a subject, by
// rendezvous hashing. Rank 0 acts first. Entries that see the same entries alive
// agree on the order, and each subject has an order of its own.
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
