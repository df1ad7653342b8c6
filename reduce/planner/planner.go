// Package planner decides which pool each instance should be in. A pool needs
// enough instances to carry its demand after it lost its largest failure
// domain. The reserve for that is held either in each pool or in the spare
// pools, whichever the prices in the services text make cheaper.
//
// Bursts of seconds are shorter than a move and are left to the queues; only a
// shortfall or surplus that lasts moves an instance.
package planner

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

const (
	// ShortfallHold is how long a shortfall must last before a move.
	ShortfallHold = 10 * time.Second
	// BurstHold is how long a pool must have been too small for its bursts before
	// a move. It is longer than a burst stays in the window of the peak, so that
	// only bursts that come again and again count.
	BurstHold = 3 * time.Minute
	// minSurplusHold is the least time that a surplus must last.
	minSurplusHold = time.Minute
	// maxSurplusHold bounds the hold when moves are dear or buffer is free.
	maxSurplusHold = 24 * time.Hour
)

// Reason says why the planner moves an instance.
type Reason uint8

// Reasons of a move.
const (
	// ReasonShortfall fills a pool that can't carry its demand.
	ReasonShortfall Reason = iota + 1
	// ReasonReserve fills a pool that can't lose its largest failure domain.
	ReasonReserve
	// ReasonBursts fills a pool that can't carry bursts that come again.
	ReasonBursts
	// ReasonSurplus returns an instance that a pool has not needed for long.
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

// Move is a proposal to move an instance.
type Move struct {
	Instance fleet.InstanceID
	From, To fleet.PoolName
	Reason   Reason
}

// Input is what a plan is made from.
type Input struct {
	Now  time.Time
	Text *fleet.Text
	// Pools holds the pool of each instance.
	Pools map[fleet.InstanceID]fleet.PoolName
	// Unavailable instances are drained, ejected or on probation.
	Unavailable map[fleet.InstanceID]bool
	// Arriving instances are unavailable as well, but on their way into a pool.
	Arriving map[fleet.InstanceID]fleet.PoolName
	// Frozen pools can't give an instance now.
	Frozen map[fleet.PoolName]bool
	Demand Demand
	// Peak is the demand in bursts. A pool that gave away what bursts need would
	// have to refuse requests.
	Peak Demand
}

// State remembers since when each pool has had too few or too many instances.
type State struct {
	shortSince  map[fleet.PoolName]time.Time
	burstsSince map[fleet.PoolName]time.Time
	kept        map[fleet.PoolName]*highest
}

// New returns a state without history.
func New() *State {
	return &State{
		shortSince:  make(map[fleet.PoolName]time.Time),
		burstsSince: make(map[fleet.PoolName]time.Time),
		kept:        make(map[fleet.PoolName]*highest),
	}
}

// Next returns the next move, if one is due. One move at a time keeps each
// decision on the state that the last one left.
func (s *State) Next(in Input) (Move, bool) {
	return s.NextMove(in, s.Observe(in))
}

// NextMove returns the next move, if one is due, from what each pool needs now.
func (s *State) NextMove(in Input, needs []Need) (Move, bool) {
	if m, ok := s.fill(in, needs); ok {
		return m, true
	}
	return s.drain(in, needs)
}

// Observe notes when a shortfall or surplus began or ended, and returns what
// each pool needs.
func (s *State) Observe(in Input) []Need {
	needs := Needs(in)
	for _, n := range needs {
		note(s.shortSince, n.Pool, n.Available < n.Target(), in.Now)
		note(s.burstsSince, n.Pool, n.Available < n.RequiredAtPeak, in.Now)
		s.keep(n, in)
	}
	return needs
}

// keep notes what the pool has to keep.
func (s *State) keep(n Need, in Input) {
	h, known := s.kept[n.Pool]
	if !known {
		h = &highest{since: in.Now}
		s.kept[n.Pool] = h
	}
	h.add(n.Retained(), in.Now, surplusHold(in.Text.Prices))
}

func note(since map[fleet.PoolName]time.Time, pool fleet.PoolName, holds bool, now time.Time) {
	_, known := since[pool]
	switch {
	case holds && !known:
		since[pool] = now
	case !holds:
		delete(since, pool)
	}
}

// fill moves an instance into the pool with the largest lasting shortfall.
func (s *State) fill(in Input, needs []Need) (Move, bool) {
	var worst *Need
	for i := range needs {
		n := &needs[i]
		if n.Spare || !s.isShort(in.Now, n.Pool) {
			continue
		}
		if worst == nil || n.missing() > worst.missing() {
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
	id, ok := pick(in, from, worst.Pool)
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

// donor returns the pool that gives an instance: a spare pool, else the one
// with the largest surplus that has lasted. Reserve is not taken from another
// pool's surplus before it has lasted, since that pool may need it back.
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

// drain returns an instance that a pool has not needed for long to a spare
// pool.
func (s *State) drain(in Input, needs []Need) (Move, bool) {
	spare, ok := sparePool(needs)
	if !ok {
		return Move{}, false
	}
	for _, n := range needs {
		if n.Spare || in.Frozen[n.Pool] || n.Available <= n.Retained() || !s.surplusLasts(&n) {
			continue
		}
		if id, ok := pick(in, n.Pool, spare); ok {
			return Move{Instance: id, From: n.Pool, To: spare, Reason: ReasonSurplus}, true
		}
	}
	return Move{}, false
}

// surplusLasts reports whether the pool has had more than it needed at any time
// of the hold.
func (s *State) surplusLasts(n *Need) bool {
	h, known := s.kept[n.Pool]
	return known && h.full && n.Available > h.value()
}

// surplusHold returns how long a surplus is kept before it is moved. Holding
// costs the price of buffer by the hour and moving twice costs two moves; to
// wait until both are equal costs at most twice the best choice in hindsight.
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

// pick takes the instance whose move leaves the receiving pool most evenly
// spread over data centres, and of those the first by id.
func pick(in Input, from, to fleet.PoolName) (fleet.InstanceID, bool) {
	spread := byDataCentre(in, to)
	donors := byDataCentre(in, from)
	best := -1
	for i := range in.Text.Instances {
		it := &in.Text.Instances[i]
		if in.Pools[it.ID] != from || in.Unavailable[it.ID] {
			continue
		}
		if best < 0 || better(it, &in.Text.Instances[best], spread, donors) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return in.Text.Instances[best].ID, true
}

func better(a, b *fleet.Instance, spread, donors map[fleet.DataCentre]int) bool {
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

// Needs returns what each pool needs, ordered by name.
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
	slices.SortFunc(needs, byPool)
	reserve(in, needs)
	return needs
}
