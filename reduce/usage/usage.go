// Package usage accounts for what each service was asked and did, over all
// entries: its demand in slots, and how fast it burns its availability budget.
//
// Entries exchange cumulative counters. A lost or repeated message does no
// harm: the next one replaces it.
package usage

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

// Totals counts what one service was asked and did since an entry started.
type Totals struct {
	// Arrived counts requests, and Answered and Failed what became of them.
	// Requests refused for a fault of their caller are in neither.
	Arrived, Answered, Failed uint64
	// Attempts counts dispatches that ended, and Busy adds up how long they
	// held a slot.
	Attempts uint64
	Busy     time.Duration
}

// Completed returns the number of requests that were answered or failed.
func (t Totals) Completed() uint64 { return t.Answered + t.Failed }

func (t Totals) plus(u Totals) Totals {
	return Totals{
		Arrived:  t.Arrived + u.Arrived,
		Answered: t.Answered + u.Answered,
		Failed:   t.Failed + u.Failed,
		Attempts: t.Attempts + u.Attempts,
		Busy:     t.Busy + u.Busy,
	}
}

// minus returns t less an earlier u.
func (t Totals) minus(u Totals) Totals {
	return Totals{
		Arrived:  t.Arrived - u.Arrived,
		Answered: t.Answered - u.Answered,
		Failed:   t.Failed - u.Failed,
		Attempts: t.Attempts - u.Attempts,
		Busy:     t.Busy - u.Busy,
	}
}

// State holds the totals of all entries and samples of their sum.
type State struct {
	local   map[fleet.ServiceName]*Totals
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
		local:   make(map[fleet.ServiceName]*Totals),
		remote:  make(map[fleet.EntryID]remote),
		retired: make(map[fleet.ServiceName]Totals),
	}
}

// RecordArrival counts a request of this entry.
func (s *State) RecordArrival(service fleet.ServiceName) {
	s.totals(service).Arrived++
}

// RecordAnswer counts a request that was answered.
func (s *State) RecordAnswer(service fleet.ServiceName) {
	s.totals(service).Answered++
}

// RecordFailure counts a request that failed, other than by a fault of its caller.
func (s *State) RecordFailure(service fleet.ServiceName) {
	s.totals(service).Failed++
}

// RecordAttempt counts an attempt that held a slot for a time.
func (s *State) RecordAttempt(service fleet.ServiceName, held time.Duration) {
	t := s.totals(service)
	t.Attempts++
	t.Busy += held
}

func (s *State) totals(service fleet.ServiceName) *Totals {
	t, ok := s.local[service]
	if !ok {
		t = &Totals{}
		s.local[service] = t
	}
	return t
}

// LocalTotals returns this entry's totals, ordered by service, to be sent to peers.
func (s *State) LocalTotals() []ServiceTotals {
	all := make([]ServiceTotals, 0, len(s.local))
	for name, t := range s.local {
		all = append(all, ServiceTotals{Service: name, Totals: *t})
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

// UpdatePeer takes in a peer's totals. Totals of an earlier incarnation are kept
// apart, so that the sum never falls when an entry restarts.
func (s *State) UpdatePeer(from fleet.EntryID, incarnation uint64, totals []ServiceTotals) {
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
	for name, t := range s.local {
		sum[name] = *t
	}
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
	current := s.Total(service)
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

// Demand returns the slots that a service needed over the long window: its
// arrivals, refused ones included, times the mean time that a request holds a
// slot.
func (s *State) Demand(service fleet.ServiceName, now time.Time) float64 {
	t := s.Window(service, now, LongWindow)
	if t.Attempts == 0 {
		return 0
	}
	mean := t.Busy.Seconds() / float64(t.Attempts)
	return float64(t.Arrived) * mean / s.covered(now).Seconds()
}

// PeakDemand returns the slots that answer all requests of the long window when each
// can wait for a time: of all stretches of the window, the one with most work
// for its length and the wait together decides.
func (s *State) PeakDemand(service fleet.ServiceName, now time.Time, wait time.Duration) float64 {
	t := s.Window(service, now, LongWindow)
	if t.Attempts == 0 {
		return 0
	}
	arrived := make([]uint64, len(s.samples))
	for i := range s.samples {
		arrived[i] = s.samples[i].totals[service].Arrived
	}
	highest := 0.0
	for i := range s.samples {
		for j := i + 1; j < len(s.samples); j++ {
			length := s.samples[j].at.Sub(s.samples[i].at) + wait
			highest = max(highest, float64(arrived[j]-arrived[i])/length.Seconds())
		}
	}
	return highest * t.Busy.Seconds() / float64(t.Attempts)
}

// covered returns how much of the long window there are samples for.
func (s *State) covered(now time.Time) time.Duration {
	if len(s.samples) == 0 {
		return LongWindow
	}
	return min(LongWindow, max(SampleInterval, now.Sub(s.samples[0].at)))
}

// CoversLongWindow reports whether there are samples for the whole long window.
func (s *State) CoversLongWindow(now time.Time) bool {
	return len(s.samples) > 0 && now.Sub(s.samples[0].at) >= LongWindow
}

// Total returns all requests of a service since the entries started.
func (s *State) Total(service fleet.ServiceName) Totals {
	total := s.retired[service]
	if t, ok := s.local[service]; ok {
		total = total.plus(*t)
	}
	for _, r := range s.remote {
		total = total.plus(r.totals[service])
	}
	return total
}
