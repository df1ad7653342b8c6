package usage

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// BurnRate is how fast a service burns its budget: 1 means that the share of
// failures is just the share that the budget allows.
type BurnRate struct {
	Short float64
	Long  float64
}

// Exceeds reports whether both windows burn faster than a rate. The long window
// keeps a few failures at low traffic from counting; the short one ends the
// alarm soon after the cause has gone.
func (b BurnRate) Exceeds(rate float64) bool { return b.Short > rate && b.Long > rate }

// BurnRate returns how fast a service burns its budget.
func (s *State) BurnRate(svc *fleet.Service, now time.Time) BurnRate {
	return BurnRate{
		Short: rate(s.Window(svc.Name, now, ShortWindow), svc.Availability),
		Long:  rate(s.Window(svc.Name, now, LongWindow), svc.Availability),
	}
}

func rate(t Totals, availability float64) float64 {
	if t.Completed() == 0 {
		return 0
	}
	return float64(t.Failed) / float64(t.Completed()) / (1 - availability)
}

const (
	// fastBurn spends 2 % of a budget of 30 days in one hour.
	fastBurn = 14.4
	// maxFailedShare bounds the share of failures also for services whose
	// budget is so wide that fastBurn can't be reached.
	maxFailedShare = 0.25
	// minFailed is the number of failures in the long window below which no
	// budget counts as burning.
	minFailed = 3
)

// BurnsTooFast reports whether what is being done to the fleet has to be undone
// for the sake of a service.
func (s *State) BurnsTooFast(svc *fleet.Service, now time.Time) bool {
	limit := min(fastBurn, maxFailedShare/(1-svc.Availability))
	return s.BurnRate(svc, now).Exceeds(limit) && s.Window(svc.Name, now, LongWindow).Failed >= minFailed
}
