package shares

import "github.com/banyanrail/banyanrail/fleet"

const (
	// maxLabels is the number of tenants that counters name.
	maxLabels = 32
	// otherLabel stands for all other tenants.
	otherLabel = "other"
)

// Labels bounds the values of a counter's label for tenants, however many there are. The zero
// value names none.
type Labels struct{ named map[fleet.TenantName]bool }

// Of returns the label of a tenant: its name for the first of them, and "other" for the rest.
func (l *Labels) Of(name fleet.TenantName) string {
	switch {
	case l.named[name]:
	case len(l.named) == maxLabels:
		return otherLabel
	case l.named == nil:
		l.named = map[fleet.TenantName]bool{name: true}
	default:
		l.named[name] = true
	}
	return string(name)
}
