package reduce

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/banyanrail/banyanrail/reduce/peers"
	"github.com/banyanrail/banyanrail/reduce/timer"
	"github.com/banyanrail/banyanrail/reduce/usage"
)

const (
	// totalsInterval is the minimum time between messages with this entry's
	// totals.
	totalsInterval = 5 * time.Second
	// totalsSize is the approximate size of one service in a message with
	// totals, in bytes.
	totalsSize = 41
	// totalsRate limits the messages with totals to all peers together, in
	// bytes a second.
	totalsRate = 1 << 10
	// measuresInterval is the time between reports of the measures.
	measuresInterval = 5 * time.Second
)

// usageSchedule tracks when the usage is next sampled, sent to peers and
// reported.
type usageSchedule struct {
	timer timer.Timer
	// totalsSent is when the totals were last sent to peers.
	totalsSent time.Time
	// measuresReported is when the measures were last reported.
	measuresReported time.Time
}

// onUsageDue samples the usage totals, and runs what depends on the samples:
// the observation of a rehearsal, the planner, and the totals and measures that
// are sent.
func (s *State) onUsageDue() {
	s.usage.Sample(s.now)
	s.watchRehearsal()
	s.plan()
	s.sendTotals()
	if s.now.Sub(s.usageSchedule.measuresReported) >= measuresInterval {
		s.usageSchedule.measuresReported = s.now
		s.reportMeasures()
	}
	s.timers.Set(&s.usageSchedule.timer, s.now.Add(usage.SampleInterval), &s.usageSchedule)
}

// sendTotals sends this entry's totals to all live peers once the interval has
// passed. The interval grows with the number of services and peers, so that the
// bytes a second stay bounded.
func (s *State) sendTotals() {
	m := message.Totals{Services: s.usage.LocalTotals()}
	all := s.peers.All()
	bytes := totalsSize * len(m.Services) * len(all)
	interval := max(totalsInterval, time.Duration(bytes)*time.Second/totalsRate)
	if s.now.Sub(s.usageSchedule.totalsSent) < interval {
		return
	}
	s.usageSchedule.totalsSent = s.now
	for _, p := range all {
		if p.Status == peers.Alive {
			s.send(p, m)
		}
	}
}

// countRefusal counts a refusal as a failure of the service, unless the caller
// is at fault.
func (s *State) countRefusal(service fleet.ServiceName, reason fleet.Reason) {
	if service != "" && usage.IsFailure(reason) {
		s.usage.RecordFailure(service)
	}
}

// countAnswer counts an answer. A server error is a failure to the caller,
// although the request ran.
func (s *State) countAnswer(service fleet.ServiceName, status int) {
	if status >= firstServerError {
		s.usage.RecordFailure(service)
		return
	}
	s.usage.RecordAnswer(service)
}
