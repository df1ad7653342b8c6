package control

import (
	"fmt"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of the services text in force, the pool of each
// instance, and the maintenance, waves and rehearsal under way. Equal folds have
// equal digests, whatever the order of their parts.
func (s *State) Digest() uint64 {
	sum := xxhash.Sum64String(fmt.Sprint("version ", s.Version))
	if s.Text != nil {
		sum += digestItem("settings", fmt.Sprintf("%+v %+v", s.Text.Prices, s.Text.Maintenance))
	}
	sum += s.itemsDigest
	for _, id := range s.outOfService {
		m := s.Drains[id]
		sum += digestItem("maintenance", string(id), fmt.Sprint(m.Epoch, m.Phase))
	}
	for _, w := range s.Waves.Active {
		sum += digestItem("wave", fmt.Sprint(w.ID, w.Epoch, w.Phase, len(w.Pending), len(w.Current)))
	}
	if r := s.Rehearsals.Active; r != nil {
		sum += digestItem("rehearsal", fmt.Sprint(r.ID, r.Epoch, r.Instances))
	}
	return sum
}

func digestPool(id fleet.InstanceID, pool fleet.PoolName) uint64 {
	return digestItem("in", string(id), string(pool))
}

// changedItems returns the items that a change adds or modifies.
func changedItems(d *fleet.Delta) *fleet.Text {
	return &fleet.Text{Services: d.Services, Pools: d.Pools, Instances: d.Instances, Members: d.Members}
}

// digestItems returns the sum of the hashes of a text's items. Because it is a
// sum, the fold can update it with the changed items alone.
func digestItems(t *fleet.Text) uint64 {
	var sum uint64
	for i := range t.Services {
		sum += digestItem("service", fmt.Sprintf("%+v", t.Services[i]))
	}
	for i := range t.Pools {
		sum += digestItem("pool", fmt.Sprintf("%+v", t.Pools[i]))
	}
	for i := range t.Members {
		sum += digestItem("member", fmt.Sprintf("%+v", t.Members[i]))
	}
	for i := range t.Instances {
		in := &t.Instances[i]
		sum += digestItem(string(in.ID), in.Address, string(in.DataCentre), string(in.Rack), string(in.Pool))
	}
	return sum
}

func digestItem(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range parts {
		_, _ = d.WriteString(part)   // never fails
		_, _ = d.WriteString("\x00") // never fails
	}
	return d.Sum64()
}
