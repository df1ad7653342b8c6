package usage

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// BurnRate is the rate at which a service burns its availability budget, over
// both windows. At a rate of 1, the share of failures equals the share that the
// budget allows.
type BurnRate struct {
	Short float64
	Long  float64
}

// Exceeds reports whether the rates over both windows are above a rate. The
// long window keeps a few failures at low traffic from counting. The short
// window ends the alarm soon after the cause is gone.
func (b BurnRate) Exceeds(rate float64) bool { return b.Short > rate && b.Long > rate }

// BurnRate returns the rate at which a service burns its availability budget.
func (s *State) BurnRate(svc *fleet.Service, now time.Time) BurnRate {
	return BurnRate{
		Short: burnRate(s.Window(svc.Name, now, ShortWindow), svc.Availability),
		Long:  burnRate(s.Window(svc.Name, now, LongWindow), svc.Availability),
	}
}

func burnRate(t Totals, availability float64) float64 {
	if t.Completed() == 0 {
		return 0
	}
	return float64(t.Failed) / float64(t.Completed()) / (1 - availability)
}

const (
	// fastBurnRate spends 2 % of a budget of 30 days in one hour.
	fastBurnRate = 14.4
	// maxFailedShare caps the share of failures for services whose budget is so
	// wide that fastBurnRate can't be reached.
	maxFailedShare = 0.25
	// minFailed is the number of failures in the long window below which no
	// budget counts as burning too fast.
	minFailed = 3
)

// BurnsTooFast reports whether a service burns its budget so fast that the
// current disruption of the fleet, such as a rehearsal, has to be undone.
func (s *State) BurnsTooFast(svc *fleet.Service, now time.Time) bool {
	limit := min(fastBurnRate, maxFailedShare/(1-svc.Availability))
	return s.BurnRate(svc, now).Exceeds(limit) && s.Window(svc.Name, now, LongWindow).Failed >= minFailed
}
