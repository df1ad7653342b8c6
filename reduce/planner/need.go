package planner

import (
	"github.com/banyanrail/banyanrail/fleet"
)

// Need is how many instances a pool has and how many it needs.
type Need struct {
	Pool  fleet.PoolName
	Spare bool
	// Available is the number of available and arriving instances, and
	// InLargestDataCentre is how many of them are in the data centre with the
	// most.
	Available, InLargestDataCentre int
	// Required is the number that carries the mean demand.
	Required int
	// RequiredAtPeak is the number that carries bursts with all slots in use,
	// and RetainedAtPeak is the number that carries them at the target
	// utilisation. The difference is a hysteresis that keeps an instance from
	// moving back and forth.
	RequiredAtPeak, RetainedAtPeak int
	// Reserve is the number held in the pool for the loss of a data centre.
	Reserve int
}

// Target returns the number of instances that the pool should have.
func (n Need) Target() int { return n.Required + n.Reserve }

// Retained returns the number of instances that the pool does not give up.
func (n Need) Retained() int { return max(n.Required, n.RetainedAtPeak) + n.Reserve }

func (n Need) shortfall() int { return max(n.Target(), n.RequiredAtPeak) - n.Available }

func compareByPool(a, b Need) int {
	switch {
	case a.Pool < b.Pool:
		return -1
	case a.Pool > b.Pool:
		return 1
	default:
		return 0
	}
}

// dataCentreLossesPerHour is the expected rate of data centre losses: a few a
// year.
const dataCentreLossesPerHour = 4.0 / (365 * 24)

// allocateReserve decides whether the reserve for the loss of a data centre is
// held in each pool or shared in the spare pools. A shared reserve needs fewer
// idle instances, since it serves whichever pools lose most, but each loss then
// costs moves.
func allocateReserve(in Input, needs []Need) {
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
		shared += instancesLost(n.Required, centres)
	}
	if !canShare || !sharedIsCheaper(in.Text.Prices, own, shared) {
		return
	}
	for i := range needs {
		needs[i].Reserve = 0
	}
}

// sharedIsCheaper compares the hourly costs of both kinds of reserve. With a
// shared reserve, the instances that a loss takes from all pools together are
// moved in, and back again afterwards.
func sharedIsCheaper(p fleet.Prices, own, shared int) bool {
	ownCost := float64(own) * p.Buffer
	sharedCost := float64(shared)*p.Buffer + 2*float64(shared)*dataCentreLossesPerHour*p.Move
	return sharedCost < ownCost
}

// ownReserve returns how many instances beyond the required ones let a pool
// lose its largest data centre, provided that its instances are spread evenly.
func ownReserve(required, centres int) int {
	if required == 0 || centres < 2 {
		return 0
	}
	total := required
	for total-instancesLost(total, centres) < required {
		total++
	}
	return total - required
}

// instancesLost returns how many of n instances are in the largest data centre,
// when they are spread evenly.
func instancesLost(n, centres int) int { return (n + centres - 1) / centres }
