// Package usage accounts for the requests of each service over all entries: the
// demand of the service in slots, and the rate at which it burns its
// availability budget.
//
// Entries exchange cumulative counters. A lost or repeated message does no
// harm, since the next message replaces it.
package usage

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

const (
	// SampleInterval is the time between samples of the totals.
	SampleInterval = time.Second
	// ShortWindow is short enough to show soon that a fault is gone.
	ShortWindow = 10 * time.Second
	// LongWindow is long enough to keep a single failure from counting as a
	// fault.
	LongWindow = 60 * time.Second
	// maxSamples is enough for the long window and the sample before it.
	maxSamples = int(LongWindow/SampleInterval) + 2
)

// Totals counts the requests and attempts of one service since an entry
// started.
type Totals struct {
	// Arrived counts requests, and Answered and Failed count their outcomes.
	// Requests refused for a fault of their caller count in neither outcome.
	Arrived, Answered, Failed uint64
	// Attempts counts the attempts that ended, and Busy is the sum of the times
	// for which they held a slot.
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

// minus returns t minus the earlier totals u.
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
	local map[fleet.ServiceName]*Totals
	peers map[fleet.EntryID]peerTotals
	// retired is the sum of the totals of peers' earlier incarnations.
	retired map[fleet.ServiceName]Totals
	samples []sample
}

type peerTotals struct {
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
		peers:   make(map[fleet.EntryID]peerTotals),
		retired: make(map[fleet.ServiceName]Totals),
	}
}

// RecordArrival counts a request that arrived at this entry.
func (s *State) RecordArrival(service fleet.ServiceName) {
	s.totals(service).Arrived++
}

// RecordAnswer counts a request that was answered.
func (s *State) RecordAnswer(service fleet.ServiceName) {
	s.totals(service).Answered++
}

// RecordFailure counts a request that failed, other than by a fault of its
// caller.
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

// LocalTotals returns this entry's totals, sorted by service, for sending to
// peers.
func (s *State) LocalTotals() []ServiceTotals {
	all := make([]ServiceTotals, 0, len(s.local))
	for name, t := range s.local {
		all = append(all, ServiceTotals{Service: name, Totals: *t})
	}
	slices.SortFunc(all, compareByService)
	return all
}

// ServiceTotals are the totals of one service.
type ServiceTotals struct {
	Service fleet.ServiceName
	Totals  Totals
}

func compareByService(a, b ServiceTotals) int {
	switch {
	case a.Service < b.Service:
		return -1
	case a.Service > b.Service:
		return 1
	default:
		return 0
	}
}

// UpdatePeer replaces the totals of a peer. The totals of the peer's earlier
// incarnations are kept separately, so that the sum does not fall when an entry
// restarts.
func (s *State) UpdatePeer(from fleet.EntryID, incarnation uint64, totals []ServiceTotals) {
	old, known := s.peers[from]
	if known && incarnation < old.incarnation {
		return
	}
	if known && incarnation > old.incarnation {
		for name, t := range old.totals {
			s.retired[name] = s.retired[name].plus(t)
		}
	}
	next := peerTotals{incarnation: incarnation, totals: make(map[fleet.ServiceName]Totals, len(totals))}
	for _, t := range totals {
		next.totals[t.Service] = t.Totals
	}
	s.peers[from] = next
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
	for _, r := range s.peers {
		add(r.totals)
	}
	return sum
}

// Sample stores the current sum of the totals. It must be called once every
// SampleInterval.
func (s *State) Sample(now time.Time) {
	s.samples = append(s.samples, sample{at: now, totals: s.sum()})
	if len(s.samples) > maxSamples {
		s.samples = slices.Delete(s.samples, 0, len(s.samples)-maxSamples)
	}
}

// Window returns the totals of a service over the last d.
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
// arrival rate, including refused requests, times the mean time that an attempt
// holds a slot.
func (s *State) Demand(service fleet.ServiceName, now time.Time) float64 {
	t := s.Window(service, now, LongWindow)
	if t.Attempts == 0 {
		return 0
	}
	mean := t.Busy.Seconds() / float64(t.Attempts)
	return float64(t.Arrived) * mean / s.coveredTime(now).Seconds()
}

// PeakDemand returns the number of slots that answers all requests of the long
// window when each can wait for the given time. It is the highest ratio, over
// all intervals in the window, of the work that arrived to the interval's
// length plus the wait.
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

// coveredTime returns how much of the long window the samples cover.
func (s *State) coveredTime(now time.Time) time.Duration {
	if len(s.samples) == 0 {
		return LongWindow
	}
	return min(LongWindow, max(SampleInterval, now.Sub(s.samples[0].at)))
}

// CoversLongWindow reports whether the samples cover the whole long window.
func (s *State) CoversLongWindow(now time.Time) bool {
	return len(s.samples) > 0 && now.Sub(s.samples[0].at) >= LongWindow
}

// Total returns the totals of a service over all entries since they started.
func (s *State) Total(service fleet.ServiceName) Totals {
	total := s.retired[service]
	if t, ok := s.local[service]; ok {
		total = total.plus(*t)
	}
	for _, r := range s.peers {
		total = total.plus(r.totals[service])
	}
	return total
}
