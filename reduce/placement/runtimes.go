package placement

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

const (
	// defaultUnitCost is the run time assumed for each unit of declared size
	// before a run of the service was observed.
	defaultUnitCost = 10 * time.Millisecond
	// meanShift sets the weight of a new run time in a mean: 1/2^meanShift.
	meanShift = 3
)

// runTimeStats holds observed run times. Declared sizes are far from the run
// times, so they are used only until a run was observed.
type runTimeStats struct {
	byService map[fleet.ServiceName]*mean
	byMember  map[serviceMember]*mean
}

type serviceMember struct {
	service fleet.ServiceName
	member  fleet.MemberName
}

// runTimes are the mean run times of a member's requests for a service, and of
// all requests for the service.
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

func newRunTimeStats() runTimeStats {
	return runTimeStats{
		byService: make(map[fleet.ServiceName]*mean),
		byMember:  make(map[serviceMember]*mean),
	}
}

// lookup returns the run times of a member's requests for a service.
func (s *runTimeStats) lookup(service fleet.ServiceName, member fleet.MemberName) runTimes {
	key := serviceMember{service, member}
	own, ok := s.byMember[key]
	if !ok {
		own = &mean{}
		s.byMember[key] = own
	}
	all, ok := s.byService[service]
	if !ok {
		all = &mean{}
		s.byService[service] = all
	}
	return runTimes{member: own, service: all}
}

func (r runTimes) observe(run time.Duration) {
	r.member.add(run)
	r.service.add(run)
}

// estimate returns the expected run time of a request of a declared size.
func (r runTimes) estimate(size int64) time.Duration {
	if r.member.value > 0 {
		return r.member.value
	}
	if r.service.value > 0 {
		return r.service.value
	}
	return defaultUnitCost * time.Duration(max(1, size))
}

// deleteRemoved deletes the run times of services and members that the services
// text no longer lists.
func (s *runTimeStats) deleteRemoved(d *fleet.Delta) {
	if len(d.RemovedServices) == 0 && len(d.RemovedMembers) == 0 {
		return
	}
	for key := range s.byMember {
		if slices.Contains(d.RemovedServices, key.service) || slices.Contains(d.RemovedMembers, key.member) {
			delete(s.byMember, key)
		}
	}
	for _, name := range d.RemovedServices {
		delete(s.byService, name)
	}
}
