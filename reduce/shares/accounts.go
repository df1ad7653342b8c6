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
		a = &Account{name: name}
		all.byName[name] = a
		all.configure(a)
	}
	return a
}

// configure applies the configuration of a tenant to its account. A tenant that is not listed
// has no cap, and neither have the jobs of public queues.
func (all *Accounts) configure(a *Account) {
	a.cap = fleet.Capacity{}
	if t := all.tenants.ByName(a.name); t != nil && a.name != "" {
		a.cap = t.Cap
	}
}

// Each calls do for each account, in no fixed order.
func (all *Accounts) Each(do func(*Account)) {
	for _, a := range all.byName {
		do(a)
	}
}
