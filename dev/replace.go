package dev

import (
	"slices"

	"github.com/samber/oops"
)

// Replace kills an entry and starts another one under a new id, as the platform
// does when it replaces an instance.
func (f *Fleet) Replace(n *EntryInstance) (*EntryInstance, error) {
	at := slices.Index(f.Entries, n)
	if at < 0 {
		return nil, oops.In("dev").With("step", "replace", "peer", n.ID).Errorf("entry is not part of the fleet")
	}
	n.Kill()
	next, err := f.newEntry(false)
	if err != nil {
		return nil, err
	}
	f.Entries[at] = next
	return next, f.updateList()
}
