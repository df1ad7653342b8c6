package planner

import (
	"github.com/banyanrail/banyanrail/fleet"
)

// Need is what a pool has and what it needs, in instances.
type Need struct {
	Pool  fleet.PoolName
	Spare bool
	// Available is the number of available instances, and InLargestDataCentre those of them in
	// the data centre with the most.
	Available, InLargestDataCentre int
	// Required is the number that carries the demand.
	Required int
	// RequiredAtPeak is the number that just carries bursts, and RetainedAtPeak the number
	// that does with room to spare. The distance between the two keeps an
	// instance from going back and forth.
	RequiredAtPeak, RetainedAtPeak int
	// Reserve is the number held in the pool for the loss of a data centre.
	Reserve int
}

// Target is the number of instances the pool should have.
func (n Need) Target() int { return n.Required + n.Reserve }

// Retained is the number that the pool has before it gives one away.
func (n Need) Retained() int { return max(n.Required, n.RetainedAtPeak) + n.Reserve }

func (n Need) missing() int { return max(n.Target(), n.RequiredAtPeak) - n.Available }

func byPool(a, b Need) int {
	switch {
	case a.Pool < b.Pool:
		return -1
	case a.Pool > b.Pool:
		return 1
	default:
		return 0
	}
}

// lossesPerHour is how often a data centre is expected to be lost: a few times
// a year.
const lossesPerHour = 4.0 / (365 * 24)

// reserve decides where the reserve for the loss of a data centre is held: in
// each pool, or shared in the spare pools. Sharing needs fewer idle instances,
// since one reserve serves whichever pools lose most, but each loss costs
// moves.
func reserve(in Input, needs []Need) {
	centres := max(1, len(in.Text.DataCentres))
	own, shared, canShare := 0, 0, false
	for i := range needs {
		n := &needs[i]
		if n.Spare {
			canShare = true
			continue
		}
		n.Reserve = ownReserve(n.Required, centres)
		own += n.Reserve
		shared += lossOf(n.Required, centres)
	}
	if !canShare || !sharedIsCheaper(in.Text.Prices, own, shared) {
		return
	}
	for i := range needs {
		needs[i].Reserve = 0
	}
}

// sharedIsCheaper compares the hourly cost of both reserves. What a loss takes
// from all pools together is moved in, and back again afterwards.
func sharedIsCheaper(p fleet.Prices, own, shared int) bool {
	ownCost := float64(own) * p.Buffer
	sharedCost := float64(shared)*p.Buffer + 2*float64(shared)*lossesPerHour*p.Move
	return sharedCost < ownCost
}

// ownReserve returns how many instances above carry let a pool lose its largest
// data centre, when it is spread evenly.
func ownReserve(carry, centres int) int {
	if carry == 0 || centres < 2 {
		return 0
	}
	total := carry
	for total-lossOf(total, centres) < carry {
		total++
	}
	return total - carry
}

// lossOf returns how many of n instances the largest data centre has, when they
// are spread evenly.
func lossOf(n, centres int) int { return (n + centres - 1) / centres }
