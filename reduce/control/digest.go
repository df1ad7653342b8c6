package control

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of the text in force and of the pool of each instance.
// Equal folds have equal digests, whatever the order of their maps.
func (s *State) Digest() uint64 {
	sum := xxhash.Sum64String(strconv.FormatInt(int64(s.Version), 10) + "\x00" + s.Source)
	for id, pool := range s.Pools {
		sum += xxhash.Sum64String(string(id) + "\x00" + string(pool))
	}
	return sum
}
