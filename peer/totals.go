package peer

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/peer/peerpb"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/banyanrail/banyanrail/reduce/usage"
)

func encodeTotals(m message.Totals) *peerpb.Totals {
	out := &peerpb.Totals{Services: make([]*peerpb.ServiceTotals, 0, len(m.Services))}
	for _, s := range m.Services {
		out.Services = append(out.Services, &peerpb.ServiceTotals{
			Service:  string(s.Service),
			Arrived:  s.Totals.Arrived,
			Answered: s.Totals.Answered,
			Failed:   s.Totals.Failed,
			Attempts: s.Totals.Attempts,
			BusyUs:   uint64(s.Totals.Busy.Microseconds()),
		})
	}
	return out
}

func decodeTotals(m *peerpb.Totals) message.Totals {
	out := message.Totals{Services: make([]usage.ServiceTotals, 0, len(m.GetServices()))}
	for _, s := range m.GetServices() {
		out.Services = append(out.Services, usage.ServiceTotals{
			Service: fleet.ServiceName(s.GetService()),
			Totals: usage.Totals{
				Arrived:  s.GetArrived(),
				Answered: s.GetAnswered(),
				Failed:   s.GetFailed(),
				Attempts: s.GetAttempts(),
				Busy:     time.Duration(s.GetBusyUs()) * time.Microsecond,
			},
		})
	}
	return out
}
