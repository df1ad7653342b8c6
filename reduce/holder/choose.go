package holder

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/cespare/xxhash/v2"
)

// Choose returns the entry that holds a pool, by rendezvous hash: when an entry
// comes or goes, only the pools that it gains or held change their holder. It
// returns the empty id when no entry is alive.
func Choose(pool fleet.PoolName, alive []fleet.EntryID) fleet.EntryID {
	var best fleet.EntryID
	var most uint64
	for _, id := range alive {
		weight := xxhash.Sum64String(string(pool) + "\x00" + string(id))
		if best == "" || weight > most || (weight == most && id < best) {
			best, most = id, weight
		}
	}
	return best
}
