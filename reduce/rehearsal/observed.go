package rehearsal

import (
	"fmt"
	"strings"

	"github.com/banyanrail/banyanrail/fleet"
)

// Observed is what an entry observed of one service during a rehearsal.
type Observed struct {
	Name fleet.ServiceName `json:"name"`
	// Answered and Failed count requests over all entries.
	Answered uint64 `json:"answered"`
	Failed   uint64 `json:"failed"`
	// LeastSlots is the smallest number of available slots in the service's pool.
	LeastSlots int `json:"least_slots"`
	// MaxBurn is the highest burn rate of the budget over the long window. At 1
	// the budget lasts its period.
	MaxBurn float64 `json:"max_burn"`
}

// Availability returns the share of requests that were answered.
func (o Observed) Availability() float64 {
	if o.Answered+o.Failed == 0 {
		return 1
	}
	return float64(o.Answered) / float64(o.Answered+o.Failed)
}

// Broken returns the services that are forecast to break.
func Broken(forecast []Service) []Service {
	var broken []Service
	for i := range forecast {
		if forecast[i].Breaks {
			broken = append(broken, forecast[i])
		}
	}
	return broken
}

// Explain describes, for each service, the share of requests it can answer and
// the service that causes the shortage.
func Explain(services []Service) string {
	parts := make([]string, 0, len(services))
	for i := range services {
		s := &services[i]
		parts = append(parts, fmt.Sprintf("%s answers %.2f %% of its requests, because %s has too few slots", s.Name, 100*s.Availability, s.Cause))
	}
	return strings.Join(parts, "; ")
}
