// Package budget accounts for the availability budget of each service: how
// many requests were answered and how many failed, over all entries, and how
// fast the budget burns.
//
// Entries exchange cumulative counters. A lost or repeated message does no
// harm: the next one replaces it.
package budget

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

const (
	// SampleInterval is the time between samples of the totals.
	SampleInterval = time.Second
	// ShortWindow shows soon when a fault has gone.
	ShortWindow = 10 * time.Second
	// LongWindow keeps a single failure from counting as a fault.
	LongWindow = 60 * time.Second
	// maxSamples holds the long window and the sample before it.
	maxSamples = int(LongWindow/SampleInterval) + 2
)

// Totals counts the requests of one service since an entry started.
type Totals struct {
	Answered uint64
	Failed   uint64
}

// Sum returns the number of all requests.
func (t Totals) Sum() uint64 { return t.Answered + t.Failed }

func (t Totals) plus(u Totals) Totals {
	return Totals{Answered: t.Answered + u.Answered, Failed: t.Failed + u.Failed}
}

// minus returns t less u, and zero where u is larger: a restarted entry counts
// from zero again.
func (t Totals) minus(u Totals) Totals {
	return Totals{Answered: less(t.Answered, u.Answered), Failed: less(t.Failed, u.Failed)}
}

func less(a, b uint64) uint64 {
	if b > a {
		return 0
	}
	return a - b
}

// State holds the totals of all entries and samples of their sum.
type State struct {
	local   map[fleet.ServiceName]Totals
	remote  map[fleet.EntryID]remote
	retired map[fleet.ServiceName]Totals
	samples []sample
}

type remote struct {
	incarnation uint64
	totals      map[fleet.ServiceName]Totals
}

type sample struct {
	at     time.Time
	totals map[fleet.ServiceName]Totals
}

// New returns a state without requests.
func New() *State {
	return &State{
		local:   make(map[fleet.ServiceName]Totals),
		remote:  make(map[fleet.EntryID]remote),
		retired: make(map[fleet.ServiceName]Totals),
	}
}

// Count adds one request of this entry.
func (s *State) Count(service fleet.ServiceName, ok bool) {
	t := s.local[service]
	if ok {
		t.Answered++
	} else {
		t.Failed++
	}
	s.local[service] = t
}

// Local returns this entry's totals, ordered by service, to be sent to peers.
func (s *State) Local() []ServiceTotals {
	all := make([]ServiceTotals, 0, len(s.local))
	for name, t := range s.local {
		all = append(all, ServiceTotals{Service: name, Totals: t})
	}
	slices.SortFunc(all, byService)
	return all
}

// ServiceTotals are the totals of one service.
type ServiceTotals struct {
	Service fleet.ServiceName
	Totals  Totals
}

func byService(a, b ServiceTotals) int {
	switch {
	case a.Service < b.Service:
		return -1
	case a.Service > b.Service:
		return 1
	default:
		return 0
	}
}

// Hear takes in a peer's totals. Totals of an earlier incarnation are kept
// apart, so that the sum never falls when an entry restarts.
func (s *State) Hear(from fleet.EntryID, incarnation uint64, totals []ServiceTotals) {
	old, known := s.remote[from]
	if known && incarnation < old.incarnation {
		return
	}
	if known && incarnation > old.incarnation {
		for name, t := range old.totals {
			s.retired[name] = s.retired[name].plus(t)
		}
	}
	next := remote{incarnation: incarnation, totals: make(map[fleet.ServiceName]Totals, len(totals))}
	for _, t := range totals {
		next.totals[t.Service] = t.Totals
	}
	s.remote[from] = next
}

// sum returns the totals over all entries.
func (s *State) sum() map[fleet.ServiceName]Totals {
	sum := make(map[fleet.ServiceName]Totals, len(s.local))
	add := func(totals map[fleet.ServiceName]Totals) {
		for name, t := range totals {
			sum[name] = sum[name].plus(t)
		}
	}
	add(s.local)
	add(s.retired)
	for _, r := range s.remote {
		add(r.totals)
	}
	return sum
}

// Sample notes the sum of the totals. Call it every SampleInterval.
func (s *State) Sample(now time.Time) {
	s.samples = append(s.samples, sample{at: now, totals: s.sum()})
	if len(s.samples) > maxSamples {
		s.samples = slices.Delete(s.samples, 0, len(s.samples)-maxSamples)
	}
}

// Window returns the requests of a service over the last d.
func (s *State) Window(service fleet.ServiceName, now time.Time, d time.Duration) Totals {
	current := s.sum()[service]
	for i := len(s.samples) - 1; i >= 0; i-- {
		if now.Sub(s.samples[i].at) >= d {
			return current.minus(s.samples[i].totals[service])
		}
	}
	if len(s.samples) > 0 {
		return current.minus(s.samples[0].totals[service])
	}
	return current
}

// Burn is how fast a service burns its budget: 1 means that the share of
// failures is just the share that the budget allows.
type Burn struct {
	Short float64
	Long  float64
}

// Exceeds reports whether both windows burn faster than a rate. The long window
// keeps a few failures at low traffic from counting; the short one ends the
// alarm soon after the cause has gone.
func (b Burn) Exceeds(rate float64) bool { return b.Short > rate && b.Long > rate }

// Burn returns how fast a service burns its budget.
func (s *State) Burn(svc *fleet.Service, now time.Time) Burn {
	return Burn{
		Short: rate(s.Window(svc.Name, now, ShortWindow), svc.Availability),
		Long:  rate(s.Window(svc.Name, now, LongWindow), svc.Availability),
	}
}

func rate(t Totals, availability float64) float64 {
	if t.Sum() == 0 {
		return 0
	}
	return float64(t.Failed) / float64(t.Sum()) / (1 - availability)
}

// Total returns all requests of a service since the entries started.
func (s *State) Total(service fleet.ServiceName) Totals { return s.sum()[service] }
