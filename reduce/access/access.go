// Package access decides which tenant a caller is, by its API key and the newest
// configuration that an entry has read.
//
// Load pattern: clients that go on with keys that were withdrawn, at entries that cannot
// read the configuration, and clients whose keys were added a moment ago.
package access

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// Config is what a deployment's settings require.
type Config struct {
	// Required is set when calls need keys even if the configuration has no tenants.
	Required bool
	// RevocationLimit is the time after the acknowledgement of a configuration from
	// which no call with a key that it lacks may succeed; zero means no limit.
	RevocationLimit time.Duration
	// ApplyLimit is the time after the acknowledgement of a configuration from which no
	// call may be denied by an older one; zero means no limit.
	ApplyLimit time.Duration
}

// limitShare is the part of a limit, in tenths, that is used. The rest covers clocks that
// run at different rates.
const limitShare = 9

// waitsPerLimit is the number of waits of reads that fit into a limit. A confirmation carries
// the time at which its read was sent and is in use until the next read is answered, so it
// gets two waits old. That leaves two fifths of the limit for slow reads.
const waitsPerLimit = 4

// ReadWait returns how long a read of the configuration may wait for changes at most, so that
// an entry whose reads are answered can decide about every key. Zero means that keys set no
// limit: the deployment has none.
func (c *Config) ReadWait(tenants *fleet.Tenants) time.Duration {
	if !c.Required && tenants.Count() == 0 {
		return 0
	}
	limit := c.ApplyLimit
	if c.RevocationLimit > 0 && (limit == 0 || c.RevocationLimit < limit) {
		limit = c.RevocationLimit
	}
	return limit / waitsPerLimit
}

// Verdict is the decision about a key.
type Verdict uint8

// Verdicts.
const (
	// Allowed means that the caller is the tenant, or that the call needs no key.
	Allowed Verdict = iota + 1
	// Denied means that the key identifies no tenant.
	Denied
	// Undecided means that the configuration may be out of date. Another entry may know
	// more.
	Undecided
)

// Checker decides about keys. It knows how old its information may be.
type Checker struct {
	cfg         Config
	confirmedAt time.Time
}

// New returns a checker whose configuration was never confirmed.
func New(cfg Config) *Checker { return &Checker{cfg: cfg} }

// Confirm notes that the newest configuration that was read is at least as new as what the
// store held at a time.
func (c *Checker) Confirm(at time.Time) {
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// Check returns the tenant of a call with a key. The tenant is empty if the call needs no
// key: its queue is public, or the deployment has no tenants. A call that needs none and
// carries one is also decided by a confirmed configuration only: the key may be withdrawn,
// and the queue no longer public, in a newer one.
func (c *Checker) Check(now time.Time, tenants *fleet.Tenants, public bool, key string) (fleet.TenantName, Verdict) {
	if public || !c.required(tenants) {
		if key == "" || c.within(now, c.cfg.RevocationLimit) {
			return "", Allowed
		}
		return "", Undecided
	}
	tenant := tenants.ByKey(key)
	switch {
	case tenant == nil && c.MayDeny(now, tenants):
		return "", Denied
	case tenant != nil && c.within(now, c.cfg.RevocationLimit):
		return tenant.Name, Allowed
	default:
		return "", Undecided
	}
}

// MayDeny reports whether a call may be denied because the configuration has no such queue
// or key. A deployment without keys has no such limit.
func (c *Checker) MayDeny(now time.Time, tenants *fleet.Tenants) bool {
	return !c.required(tenants) || c.within(now, c.cfg.ApplyLimit)
}

// MayAllow reports whether a call may be served because the configuration has its key.
func (c *Checker) MayAllow(now time.Time, tenants *fleet.Tenants) bool {
	return !c.required(tenants) || c.within(now, c.cfg.RevocationLimit)
}

func (c *Checker) required(tenants *fleet.Tenants) bool { return c.cfg.Required || tenants.Count() > 0 }

func (c *Checker) within(now time.Time, limit time.Duration) bool {
	return limit == 0 || now.Sub(c.confirmedAt) < limit/10*limitShare
}
