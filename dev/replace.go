package dev

import (
	"slices"

	"github.com/samber/oops"
)

// Replace ends an entry at once and starts another under a new id, as the
// platform does with an instance that it replaces.
func (f *Fleet) Replace(n *EntryInstance) (*EntryInstance, error) {
	at := slices.Index(f.Entries, n)
	if at < 0 {
		return nil, oops.In("dev").With("step", "replace", "peer", n.ID).Errorf("no entry of the fleet")
	}
	n.Kill()
	next, err := f.newNode(false)
	if err != nil {
		return nil, err
	}
	f.Entries[at] = next
	return next, f.list()
}
