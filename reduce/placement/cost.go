package placement

import (
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

// costs estimates run times. Declared sizes are far off, so they count only
// until a run was seen.
type costs struct {
	byService map[fleet.ServiceName]*mean
	byMember  map[costKey]*mean
}

type costKey struct {
	service fleet.ServiceName
	member  fleet.MemberName
}

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

func (c *costs) observe(a Ask, run time.Duration) {
	key := costKey{a.Service, a.Member}
	m, ok := c.byMember[key]
	if !ok {
		m = &mean{}
		c.byMember[key] = m
	}
	m.add(run)
	svc, ok := c.byService[a.Service]
	if !ok {
		svc = &mean{}
		c.byService[a.Service] = svc
	}
	svc.add(run)
}

// estimate returns the run time to expect.
func (c *costs) estimate(a Ask) time.Duration {
	if m, ok := c.byMember[costKey{a.Service, a.Member}]; ok {
		return m.value
	}
	if m, ok := c.byService[a.Service]; ok {
		return m.value
	}
	return unitCost * time.Duration(max(1, a.Size))
}

// keep drops what was learnt about services and members that left the text.
func (c *costs) keep(text *fleet.Text) {
	for key := range c.byMember {
		_, service := text.Service(key.service)
		_, member := text.Member(key.member)
		if !service || !member {
			delete(c.byMember, key)
		}
	}
	for name := range c.byService {
		if _, ok := text.Service(name); !ok {
			delete(c.byService, name)
		}
	}
}
