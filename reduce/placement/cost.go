package placement

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

const (
	// unitCost is the run time assumed for each unit of declared size before a
	// run of the service was seen.
	unitCost = 10 * time.Millisecond
	// meanShift sets the weight of a new run time in a mean: 1/2^meanShift.
	meanShift = 3
)

// costs holds observed run times. Declared sizes are far off, so they count
// only until a run was seen.
type costs struct {
	byService map[fleet.ServiceName]*mean
	byMember  map[costKey]*mean
}

type costKey struct {
	service fleet.ServiceName
	member  fleet.MemberName
}

// runTimes are the run times of a member's requests for a service, and those
// of the whole service.
type runTimes struct{ member, service *mean }

// mean is an exponentially weighted moving average.
type mean struct{ value time.Duration }

func (m *mean) add(d time.Duration) {
	if m.value == 0 {
		m.value = max(1, d)
		return
	}
	m.value = max(1, m.value+(d-m.value)>>meanShift)
}

func newCosts() costs {
	return costs{
		byService: make(map[fleet.ServiceName]*mean),
		byMember:  make(map[costKey]*mean),
	}
}

// of returns the run times that belong to a service and a member.
func (c *costs) of(service fleet.ServiceName, member fleet.MemberName) runTimes {
	key := costKey{service, member}
	own, ok := c.byMember[key]
	if !ok {
		own = &mean{}
		c.byMember[key] = own
	}
	all, ok := c.byService[service]
	if !ok {
		all = &mean{}
		c.byService[service] = all
	}
	return runTimes{member: own, service: all}
}

func (r runTimes) observe(run time.Duration) {
	r.member.add(run)
	r.service.add(run)
}

// estimate returns the run time to expect of a request of a declared size.
func (r runTimes) estimate(size int64) time.Duration {
	if r.member.value > 0 {
		return r.member.value
	}
	if r.service.value > 0 {
		return r.service.value
	}
	return unitCost * time.Duration(max(1, size))
}

// drop forgets what was learnt about services and members that left the text.
func (c *costs) drop(d *fleet.Delta) {
	if len(d.RemovedServices) == 0 && len(d.RemovedMembers) == 0 {
		return
	}
	for key := range c.byMember {
		if slices.Contains(d.RemovedServices, key.service) || slices.Contains(d.RemovedMembers, key.member) {
			delete(c.byMember, key)
		}
	}
	for _, name := range d.RemovedServices {
		delete(c.byService, name)
	}
}
