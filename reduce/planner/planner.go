// Package planner decides which pool each instance should be in. A pool needs
// enough instances to carry its demand after the loss of its largest failure
// domain. The reserve for such a loss is held either in each pool or in the
// spare pools, whichever costs less at the prices in the services text.
//
// Bursts of seconds are shorter than a move and are absorbed by the queues.
// Only a shortfall or surplus that lasts moves an instance.
package planner

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

const (
	// ShortfallHold is how long a shortfall must last before an instance is
	// moved.
	ShortfallHold = 10 * time.Second
	// BurstHold is how long a pool must have been too small for its bursts
	// before an instance is moved. It is longer than a burst stays in the
	// window over which the peak is taken, so that only recurring bursts count.
	BurstHold = 3 * time.Minute
	// minSurplusHold is the shortest time that a surplus must last before an
	// instance is moved.
	minSurplusHold = time.Minute
	// maxSurplusHold is the longest such time, for when moves are expensive or
	// idle instances cost nothing.
	maxSurplusHold = 24 * time.Hour
)

// Reason is why the planner moves an instance.
type Reason uint8

// Reasons of a move.
const (
	// ReasonShortfall is for a pool that can't carry its demand.
	ReasonShortfall Reason = iota + 1
	// ReasonReserve is for a pool that can't lose its largest failure domain
	// and still carry its demand.
	ReasonReserve
	// ReasonBursts is for a pool that can't carry recurring bursts.
	ReasonBursts
	// ReasonSurplus is for the return of an instance that its pool has not
	// needed for long.
	ReasonSurplus
)

var reasonNames = [...]string{ReasonShortfall: "shortfall", ReasonReserve: "reserve", ReasonBursts: "bursts", ReasonSurplus: "surplus"}

// String returns the reason's name.
func (r Reason) String() string {
	if int(r) < len(reasonNames) && reasonNames[r] != "" {
		return reasonNames[r]
	}
	return "none"
}

// Move is a proposal to move an instance to another pool.
type Move struct {
	Instance fleet.InstanceID
	From, To fleet.PoolName
	Reason   Reason
}

// Input is the state of the fleet that a plan is based on.
type Input struct {
	Now  time.Time
	Text *fleet.Text
	// Pools holds the pool of each instance.
	Pools map[fleet.InstanceID]fleet.PoolName
	// Unavailable instances are drained, ejected or on probation.
	Unavailable map[fleet.InstanceID]bool
	// Arriving instances are unavailable too, but are being moved into a pool.
	Arriving map[fleet.InstanceID]fleet.PoolName
	// Frozen pools can't give up an instance now.
	Frozen map[fleet.PoolName]bool
	Demand Demand
	// Peak is the demand in bursts. A pool that gave up the instances that
	// bursts need would have to refuse requests.
	Peak Demand
}

// State records since when each pool has had too few instances, and how many it
// has had to retain.
type State struct {
	shortSince  map[fleet.PoolName]time.Time
	burstsSince map[fleet.PoolName]time.Time
	retained    map[fleet.PoolName]*rollingMax
}

// New returns a state without history.
func New() *State {
	return &State{
		shortSince:  make(map[fleet.PoolName]time.Time),
		burstsSince: make(map[fleet.PoolName]time.Time),
		retained:    make(map[fleet.PoolName]*rollingMax),
	}
}

// Next observes the input and returns the next move, if one is due. Moves are
// returned one at a time, so that each decision takes the result of the
// previous move into account.
func (s *State) Next(in Input) (Move, bool) {
	return s.NextMove(in, s.Observe(in))
}

// NextMove returns the next move, if one is due, given the current needs of the
// pools.
func (s *State) NextMove(in Input, needs []Need) (Move, bool) {
	if m, ok := s.fillShortfall(in, needs); ok {
		return m, true
	}
	return s.returnSurplus(in, needs)
}

// Observe records when a shortfall or surplus begins or ends, and returns the
// current needs of the pools.
func (s *State) Observe(in Input) []Need {
	needs := Needs(in)
	for _, n := range needs {
		trackSince(s.shortSince, n.Pool, n.Available < n.Target(), in.Now)
		trackSince(s.burstsSince, n.Pool, n.Available < n.RequiredAtPeak, in.Now)
		s.recordRetained(n, in)
	}
	return needs
}

// recordRetained records how many instances the pool has to retain.
func (s *State) recordRetained(n Need, in Input) {
	h, known := s.retained[n.Pool]
	if !known {
		h = &rollingMax{since: in.Now}
		s.retained[n.Pool] = h
	}
	h.add(n.Retained(), in.Now, surplusHold(in.Text.Prices))
}

// trackSince records since when a condition has held for a pool.
func trackSince(since map[fleet.PoolName]time.Time, pool fleet.PoolName, holds bool, now time.Time) {
	_, known := since[pool]
	switch {
	case holds && !known:
		since[pool] = now
	case !holds:
		delete(since, pool)
	}
}

// fillShortfall moves an instance into the pool with the largest lasting
// shortfall.
func (s *State) fillShortfall(in Input, needs []Need) (Move, bool) {
	var worst *Need
	for i := range needs {
		n := &needs[i]
		if n.Spare || !s.isShort(in.Now, n.Pool) {
			continue
		}
		if worst == nil || n.shortfall() > worst.shortfall() {
			worst = n
		}
	}
	if worst == nil {
		return Move{}, false
	}
	reason := reasonToFill(worst)
	from, ok := s.donor(in, needs, reason)
	if !ok {
		return Move{}, false
	}
	id, ok := pickInstance(in, from, worst.Pool)
	return Move{Instance: id, From: from, To: worst.Pool, Reason: reason}, ok
}

func (s *State) isShort(now time.Time, pool fleet.PoolName) bool {
	since, short := s.shortSince[pool]
	if short && now.Sub(since) >= ShortfallHold {
		return true
	}
	since, short = s.burstsSince[pool]
	return short && now.Sub(since) >= BurstHold
}

func reasonToFill(n *Need) Reason {
	switch {
	case n.Available < n.Required:
		return ReasonShortfall
	case n.Available < n.Target():
		return ReasonReserve
	default:
		return ReasonBursts
	}
}

// donor returns the pool that gives up an instance: a spare pool that is not
// empty, else the pool with the largest surplus. To fill a reserve, the surplus
// must have lasted, since the pool that gives up the instance may soon need it
// back.
func (s *State) donor(in Input, needs []Need, reason Reason) (fleet.PoolName, bool) {
	var best *Need
	for i := range needs {
		n := &needs[i]
		if in.Frozen[n.Pool] {
			continue
		}
		if n.Spare && n.Available > 0 {
			return n.Pool, true
		}
		lasting := reason != ReasonReserve || s.surplusLasts(n)
		if n.Available > n.Retained() && lasting && (best == nil || n.Available-n.Retained() > best.Available-best.Retained()) {
			best = n
		}
	}
	if best == nil {
		return "", false
	}
	return best.Pool, true
}

// returnSurplus moves an instance that a pool has not needed for long to a
// spare pool.
func (s *State) returnSurplus(in Input, needs []Need) (Move, bool) {
	spare, ok := sparePool(needs)
	if !ok {
		return Move{}, false
	}
	for _, n := range needs {
		if n.Spare || in.Frozen[n.Pool] || n.Available <= n.Retained() || !s.surplusLasts(&n) {
			continue
		}
		if id, ok := pickInstance(in, n.Pool, spare); ok {
			return Move{Instance: id, From: n.Pool, To: spare, Reason: ReasonSurplus}, true
		}
	}
	return Move{}, false
}

// surplusLasts reports whether the pool now has more instances than it needed
// at any time in the surplus hold.
func (s *State) surplusLasts(n *Need) bool {
	h, known := s.retained[n.Pool]
	return known && h.complete && n.Available > h.value()
}

// surplusHold returns how long a surplus must last before an instance is
// returned. An idle instance costs the price of buffer each hour, and to move
// it away and back costs two moves. Waiting until both costs are equal costs at
// most twice the best choice in hindsight (the ski rental problem).
func surplusHold(p fleet.Prices) time.Duration {
	if p.Buffer <= 0 {
		return maxSurplusHold
	}
	hours := 2 * p.Move / p.Buffer
	if hours >= maxSurplusHold.Hours() {
		return maxSurplusHold
	}
	return max(minSurplusHold, time.Duration(hours*float64(time.Hour)))
}

func sparePool(needs []Need) (fleet.PoolName, bool) {
	for _, n := range needs {
		if n.Spare {
			return n.Pool, true
		}
	}
	return "", false
}

// pickInstance returns the instance whose move leaves the receiving pool most
// evenly spread over data centres. Ties go to the data centre with the most
// instances in the pool that gives one up, and then to the first id.
func pickInstance(in Input, from, to fleet.PoolName) (fleet.InstanceID, bool) {
	spread := byDataCentre(in, to)
	donors := byDataCentre(in, from)
	best := -1
	for i := range in.Text.Instances {
		it := &in.Text.Instances[i]
		if in.Pools[it.ID] != from || in.Unavailable[it.ID] {
			continue
		}
		if best < 0 || isBetterDonor(it, &in.Text.Instances[best], spread, donors) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return in.Text.Instances[best].ID, true
}

func isBetterDonor(a, b *fleet.Instance, spread, donors map[fleet.DataCentre]int) bool {
	if spread[a.DataCentre] != spread[b.DataCentre] {
		return spread[a.DataCentre] < spread[b.DataCentre]
	}
	if donors[a.DataCentre] != donors[b.DataCentre] {
		return donors[a.DataCentre] > donors[b.DataCentre]
	}
	return a.ID < b.ID
}

func byDataCentre(in Input, pool fleet.PoolName) map[fleet.DataCentre]int {
	return spread(in)[pool]
}

// spread counts the available and arriving instances of each pool by data
// centre.
func spread(in Input) map[fleet.PoolName]map[fleet.DataCentre]int {
	n := make(map[fleet.PoolName]map[fleet.DataCentre]int, len(in.Text.Pools))
	for i := range in.Text.Pools {
		n[in.Text.Pools[i].Name] = make(map[fleet.DataCentre]int)
	}
	for i := range in.Text.Instances {
		it := &in.Text.Instances[i]
		pool := in.Pools[it.ID]
		if in.Unavailable[it.ID] {
			pool = in.Arriving[it.ID]
		}
		if centres, ok := n[pool]; ok {
			centres[it.DataCentre]++
		}
	}
	return n
}

// Needs returns the needs of all pools, sorted by name.
func Needs(in Input) []Need {
	demand := in.Demand.ByPool(in.Text)
	peak := in.Peak.ByPool(in.Text)
	needs := make([]Need, 0, len(in.Text.Pools))
	spreads := spread(in)
	for i := range in.Text.Pools {
		p := &in.Text.Pools[i]
		n := Need{
			Pool: p.Name, Spare: p.Spare,
			Required:       InstancesFor(demand[p.Name], p.Capacity()),
			RequiredAtPeak: instancesAtFullUse(peak[p.Name], p.Capacity()),
			RetainedAtPeak: InstancesFor(peak[p.Name], p.Capacity()),
		}
		for _, count := range spreads[p.Name] {
			n.Available += count
			n.InLargestDataCentre = max(n.InLargestDataCentre, count)
		}
		needs = append(needs, n)
	}
	slices.SortFunc(needs, compareByPool)
	allocateReserve(in, needs)
	return needs
}
