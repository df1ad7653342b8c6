package holder_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/holder"
	"github.com/shoenig/test/must"
)

func TestPoolsMoveOnlyFromTheEntryThatLeft(t *testing.T) {
	var entries []fleet.EntryID
	for i := range 9 {
		entries = append(entries, fleet.EntryID(fmt.Sprintf("entry-%d", i+1)))
	}
	gone := entries[4]
	left := slices.Delete(slices.Clone(entries), 4, 5)
	held := map[fleet.EntryID]int{}
	for i := range 900 {
		pool := fleet.PoolName(fmt.Sprintf("pool-%d", i))
		before := holder.Choose(pool, entries)
		held[before]++
		if before != gone {
			must.EqOp(t, before, holder.Choose(pool, left))
		}
	}
	for _, id := range entries {
		must.Between(t, 60, held[id], 140)
	}
}

func TestOrderOfEntriesDoesNotMatter(t *testing.T) {
	one := holder.Choose("main", []fleet.EntryID{"a", "b", "c"})
	must.EqOp(t, one, holder.Choose("main", []fleet.EntryID{"c", "b", "a"}))
	must.EqOp(t, "", holder.Choose("main", nil))
}
