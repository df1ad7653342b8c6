package fleet

import (
	"errors"
	"fmt"
	"unicode/utf8"
)

// TenantName names a tenant: a caller that shares the fleet with others.
type TenantName string

// Tenant is a caller with its share of the fleet.
type Tenant struct {
	Name TenantName
	// Keys are the API keys that identify the tenant's calls.
	Keys []string
	// Weight is the tenant's share when there is less room than work, relative to the
	// weights of others. It is also the number of jobs a second that are within the
	// share; zero means that the configuration gives none.
	Weight float64
	// Cap bounds the capacity that the tenant's tasks use on all runners together; zero
	// in a resource means no bound.
	Cap Capacity
}

// ErrTenants means that the tenants of a configuration contradict one another.
var ErrTenants = errors.New("fleet: invalid tenants")

// Tenants is the tenants of a configuration, with an index of their keys. The zero value
// has none.
type Tenants struct {
	byName map[TenantName]*Tenant
	byKey  map[string]*Tenant
	// sharedKeys is the number of keys that more than one tenant lists, and unusableKeys
	// the number of those that no call can carry.
	sharedKeys, unusableKeys int
}

// MaxKeyBytes is the length of the longest API key, in bytes. It bounds what calls in flight
// hold; a longer key is an unknown one.
const MaxKeyBytes = 4096

// UsableKey reports whether a text can be a tenant's key: calls between entries carry it as
// UTF-8 text.
func UsableKey(key string) bool {
	return key != "" && len(key) <= MaxKeyBytes && utf8.ValidString(key)
}

// NewTenants returns the index of tenants. A key that several tenants list belongs to the
// first of them. The error wraps ErrTenants.
func NewTenants(list []*Tenant) (Tenants, error) {
	t := Tenants{byName: make(map[TenantName]*Tenant, len(list)), byKey: make(map[string]*Tenant, len(list))}
	for _, tenant := range list {
		if err := t.add(tenant); err != nil {
			return Tenants{}, err
		}
	}
	return t, nil
}

func (t *Tenants) add(tenant *Tenant) error {
	c := tenant.Cap
	switch {
	case t.byName[tenant.Name] != nil:
		return fmt.Errorf("%w: %q is listed twice", ErrTenants, tenant.Name)
	case tenant.Weight < 0:
		return fmt.Errorf("%w: the weight of %q is negative", ErrTenants, tenant.Name)
	case c.CPU < 0 || c.Memory < 0 || c.Accelerators < 0:
		return fmt.Errorf("%w: the cap of %q is negative", ErrTenants, tenant.Name)
	}
	t.byName[tenant.Name] = tenant
	for _, key := range tenant.Keys {
		switch owner := t.byKey[key]; {
		case owner == tenant:
		case !UsableKey(key):
			t.unusableKeys++
		case owner != nil:
			t.sharedKeys++
		default:
			t.byKey[key] = tenant
		}
	}
	return nil
}

// ByKey returns the tenant that a key identifies, or nil.
func (t *Tenants) ByKey(key string) *Tenant { return t.byKey[key] }

// ByName returns a tenant by its name, or nil.
func (t *Tenants) ByName(name TenantName) *Tenant { return t.byName[name] }

// SharedKeys returns the number of keys that more than one tenant lists.
func (t *Tenants) SharedKeys() int { return t.sharedKeys }

// UnusableKeys returns the number of listed keys that no call can carry.
func (t *Tenants) UnusableKeys() int { return t.unusableKeys }

// Count returns the number of tenants.
func (t *Tenants) Count() int { return len(t.byName) }
