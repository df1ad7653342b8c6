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
	// totalsInterval is the least time between messages with this entry's totals.
	totalsInterval = 5 * time.Second
	// totalsSize is about what one service takes in such a message, in bytes.
	totalsSize = 41
	// totalsRate bounds these messages to all peers, in bytes a second.
	totalsRate = 1 << 10
	// measuresInterval is the time between reports of the measures.
	measuresInterval = 5 * time.Second
)

// usageTick is the timer of the next sample.
type usageTick struct {
	timer timer.Timer
	// sent is when the totals were last sent to peers.
	sent time.Time
	// reported is when the measures were last reported.
	reported time.Time
}

// onUsageDue samples the totals, and tells peers this entry's own.
func (s *State) onUsageDue() {
	s.usage.Sample(s.now)
	s.watchRehearsal()
	s.plan()
	s.sendTotals()
	if s.now.Sub(s.usageTick.reported) >= measuresInterval {
		s.usageTick.reported = s.now
		s.reportMeasures()
	}
	s.timers.Set(&s.usageTick.timer, s.now.Add(usage.SampleInterval), &s.usageTick)
}

// sendTotals tells all peers this entry's totals when it is time again. With
// more services or peers it is time less often, so that the bytes stay bounded.
func (s *State) sendTotals() {
	m := message.Totals{Services: s.usage.LocalTotals()}
	all := s.peers.All()
	bytes := totalsSize * len(m.Services) * len(all)
	interval := max(totalsInterval, time.Duration(bytes)*time.Second/totalsRate)
	if s.now.Sub(s.usageTick.sent) < interval {
		return
	}
	s.usageTick.sent = s.now
	for _, p := range all {
		if p.Status == peers.Alive {
			s.send(p, m)
		}
	}
}

// countRefusal counts a refusal that is no fault of the caller.
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
