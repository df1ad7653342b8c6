package fleet

import (
	"cmp"
	"reflect"
	"slices"
	"sort"
)

// Delta is the difference between two services texts: the items that were added
// or changed, in full, and the names of the items that were removed.
type Delta struct {
	DataCentres        []DataCentre
	RemovedDataCentres []DataCentre
	Services           []Service
	RemovedServices    []ServiceName
	Pools              []Pool
	RemovedPools       []PoolName
	Instances          []Instance
	RemovedInstances   []InstanceID
	Members            []Member
	RemovedMembers     []MemberName
	// Prices and Maintenance are nil when they are unchanged.
	Prices      *Prices
	Maintenance *Maintenance
}

func dataCentreKey(d *DataCentre) DataCentre { return *d }
func serviceKey(s *Service) ServiceName      { return s.Name }
func poolKey(p *Pool) PoolName               { return p.Name }
func instanceKey(in *Instance) InstanceID    { return in.ID }
func memberKey(m *Member) MemberName         { return m.Name }

func isSame[T comparable](a, b *T) bool { return *a == *b }

func isSameService(a, b *Service) bool { return reflect.DeepEqual(a, b) }

// Compare returns the delta that turns the text before into the text after.
func Compare(before, after *Text) *Delta {
	d := &Delta{}
	d.DataCentres, d.RemovedDataCentres = compare(before.DataCentres, after.DataCentres, dataCentreKey, isSame)
	d.Services, d.RemovedServices = compare(before.Services, after.Services, serviceKey, isSameService)
	d.Pools, d.RemovedPools = compare(before.Pools, after.Pools, poolKey, isSame)
	d.Instances, d.RemovedInstances = compare(before.Instances, after.Instances, instanceKey, isSame)
	d.Members, d.RemovedMembers = compare(before.Members, after.Members, memberKey, isSame)
	if before.Prices != after.Prices {
		d.Prices = &after.Prices
	}
	if before.Maintenance != after.Maintenance {
		d.Maintenance = &after.Maintenance
	}
	return d
}

// With returns the text with a delta applied, ordered by name.
func (t *Text) With(d *Delta) *Text {
	next := &Text{
		DataCentres: apply(t.DataCentres, d.DataCentres, d.RemovedDataCentres, dataCentreKey),
		Services:    apply(t.Services, d.Services, d.RemovedServices, serviceKey),
		Pools:       apply(t.Pools, d.Pools, d.RemovedPools, poolKey),
		Instances:   apply(t.Instances, d.Instances, d.RemovedInstances, instanceKey),
		Members:     apply(t.Members, d.Members, d.RemovedMembers, memberKey),
		Prices:      t.Prices,
		Maintenance: t.Maintenance,
	}
	if d.Prices != nil {
		next.Prices = *d.Prices
	}
	if d.Maintenance != nil {
		next.Maintenance = *d.Maintenance
	}
	return next
}

// Replaced returns the items of the text that a delta changes or removes.
func (t *Text) Replaced(d *Delta) *Text {
	return &Text{
		DataCentres: replaced(t.DataCentres, d.DataCentres, d.RemovedDataCentres, dataCentreKey),
		Services:    replaced(t.Services, d.Services, d.RemovedServices, serviceKey),
		Pools:       replaced(t.Pools, d.Pools, d.RemovedPools, poolKey),
		Instances:   replaced(t.Instances, d.Instances, d.RemovedInstances, instanceKey),
		Members:     replaced(t.Members, d.Members, d.RemovedMembers, memberKey),
	}
}

// ordered returns the items sorted by key. It returns the slice itself when that
// is sorted already, as the items of a parsed text are.
func ordered[T any, K cmp.Ordered](items []T, key func(*T) K) []T {
	if isOrdered(items, key) {
		return items
	}
	items = slices.Clone(items)
	slices.SortStableFunc(items, func(a, b T) int { return cmp.Compare(key(&a), key(&b)) })
	return items
}

// isOrdered reports whether the items are sorted by key. Unlike
// slices.IsSortedFunc, it copies no item.
func isOrdered[T any, K cmp.Ordered](items []T, key func(*T) K) bool {
	for i := 1; i < len(items); i++ {
		if key(&items[i]) < key(&items[i-1]) {
			return false
		}
	}
	return true
}

// compare walks both sets in the order of their keys. It returns the items that
// are new or differ, and the keys that were removed.
func compare[T any, K cmp.Ordered](before, after []T, key func(*T) K, same func(a, b *T) bool) (changed []T, removed []K) {
	before, after = ordered(before, key), ordered(after, key)
	i := 0
	for j := range after {
		for i < len(before) && key(&before[i]) < key(&after[j]) {
			removed = append(removed, key(&before[i]))
			i++
		}
		if i < len(before) && key(&before[i]) == key(&after[j]) {
			if !same(&before[i], &after[j]) {
				changed = append(changed, after[j])
			}
			i++
			continue
		}
		changed = append(changed, after[j])
	}
	for ; i < len(before); i++ {
		removed = append(removed, key(&before[i]))
	}
	return changed, removed
}

// replaced returns the items of the set that are changed or removed.
func replaced[T any, K cmp.Ordered](set, changed []T, removed []K, key func(*T) K) []T {
	if len(changed) == 0 && len(removed) == 0 {
		return nil
	}
	set = ordered(set, key)
	var found []T
	collect := func(k K) {
		if at, ok := find(set, k, key); ok {
			found = append(found, set[at])
		}
	}
	for i := range changed {
		collect(key(&changed[i]))
	}
	for _, k := range removed {
		collect(k)
	}
	return found
}

// find returns the index of a key in a sorted set.
func find[T any, K cmp.Ordered](set []T, k K, key func(*T) K) (int, bool) {
	return sort.Find(len(set), func(i int) int { return cmp.Compare(k, key(&set[i])) })
}

// apply returns a copy of the set with items changed or added, and others
// removed. Unchanged items between two changes are moved in bulk. Without a
// change it returns the set itself.
func apply[T any, K cmp.Ordered](set, changed []T, removed []K, key func(*T) K) []T {
	if len(changed) == 0 && len(removed) == 0 {
		return set
	}
	next := make([]T, 0, len(set)+len(changed))
	next = append(next, ordered(set, key)...)
	for _, k := range removed {
		if at, ok := find(next, k, key); ok {
			next = slices.Delete(next, at, at+1)
		}
	}
	for i := range changed {
		at, ok := find(next, key(&changed[i]), key)
		if ok {
			next[at] = changed[i]
			continue
		}
		next = slices.Insert(next, at, changed[i])
	}
	if len(next) == 0 {
		return nil
	}
	return next
}
