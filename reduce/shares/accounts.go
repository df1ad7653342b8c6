package shares

import "github.com/banyanrail/banyanrail/fleet"

// Accounts holds the accounts of all tenants with jobs, those that have left the
// configuration included.
type Accounts struct {
	byName  map[fleet.TenantName]*Account
	tenants *fleet.Tenants
}

// NewAccounts returns no accounts.
func NewAccounts() *Accounts {
	return &Accounts{byName: make(map[fleet.TenantName]*Account), tenants: &fleet.Tenants{}}
}

// Configure applies a configuration to all accounts.
func (all *Accounts) Configure(tenants *fleet.Tenants) {
	all.tenants = tenants
	for _, a := range all.byName {
		all.configure(a)
	}
}

// Of returns the account of a tenant. The empty name is that of the jobs of public queues.
func (all *Accounts) Of(name fleet.TenantName) *Account {
	a, ok := all.byName[name]
	if !ok {
		a = &Account{name: name, number: len(all.byName)}
		all.byName[name] = a
		all.configure(a)
	}
	return a
}

// configure applies the configuration of a tenant to its account. A tenant that is not listed
// has no cap, the weight 1 and no limit of jobs, and so have the jobs of public queues.
func (all *Accounts) configure(a *Account) {
	a.cap, a.weight, a.rate = fleet.Capacity{}, 1, 0
	t := all.tenants.ByName(a.name)
	if t == nil || a.name == "" {
		return
	}
	a.cap, a.rate = t.Cap, t.Weight
	if t.Weight > 0 {
		a.weight = t.Weight
	}
}

// Count returns the number of accounts.
func (all *Accounts) Count() int { return len(all.byName) }

// Each calls do for each account, in no fixed order.
func (all *Accounts) Each(do func(*Account)) {
	for _, a := range all.byName {
		do(a)
	}
}
