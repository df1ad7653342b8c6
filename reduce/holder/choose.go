package holder

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/cespare/xxhash/v2"
)

// Choose returns the entry that holds a pool, by rendezvous hashing: when an
// entry joins or leaves, only the pools that it gains or loses change their
// holder. It returns the empty id if no entry is alive.
func Choose(pool fleet.PoolName, alive []fleet.EntryID) fleet.EntryID {
	var best fleet.EntryID
	var highest uint64
	for _, id := range alive {
		weight := xxhash.Sum64String(string(pool) + "\x00" + string(id))
		if best == "" || weight > highest || (weight == highest && id < best) {
			best, highest = id, weight
		}
	}
	return best
}
