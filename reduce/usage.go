package reduce

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/banyanrail/banyanrail/reduce/peers"
	"github.com/banyanrail/banyanrail/reduce/timer"
	"github.com/banyanrail/banyanrail/reduce/usage"
)

// totalsInterval is the time between messages with this entry's totals.
const totalsInterval = 5 * time.Second

// usageTick is the timer of the next sample.
type usageTick struct {
	timer timer.Timer
	// sent is when the totals were last sent to peers.
	sent time.Time
}

// onUsageDue samples the totals, and tells peers this entry's own.
func (s *State) onUsageDue() {
	s.usage.Sample(s.now)
	s.watchRehearsal()
	s.plan()
	if s.now.Sub(s.usageTick.sent) >= totalsInterval {
		s.usageTick.sent = s.now
		s.sendTotals()
		s.reportMeasures()
	}
	s.timers.Set(&s.usageTick.timer, s.now.Add(usage.SampleInterval), &s.usageTick)
}

func (s *State) sendTotals() {
	m := message.Totals{Services: s.usage.Local()}
	for _, p := range s.peers.All() {
		if p.Status == peers.Alive {
			s.send(p, m)
		}
	}
}

// countRefusal counts a refusal that is no fault of the caller.
func (s *State) countRefusal(service fleet.ServiceName, reason fleet.Reason) {
	if service != "" && usage.IsFailure(reason) {
		s.usage.Fail(service)
	}
}

// countAnswer counts an answer. A server error is a failure to the caller,
// although the request ran.
func (s *State) countAnswer(service fleet.ServiceName, status int) {
	if status >= firstServerError {
		s.usage.Fail(service)
		return
	}
	s.usage.Answer(service)
}
