package reduce

import (
	"time"

	"github.com/banyanrail/banyanrail/reduce/claims"
	"github.com/banyanrail/banyanrail/reduce/drains"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/health"
	"github.com/banyanrail/banyanrail/reduce/holder"
	"github.com/banyanrail/banyanrail/reduce/peers"
	"github.com/banyanrail/banyanrail/reduce/requests"
)

// Reduce folds one event into the state and returns what is to be done. The
// returned slice is valid until the next call.
func Reduce(s *State, ev event.Event) []effect.Effect {
	s.out = s.out[:0]
	if s.jobs != nil {
		return s.reduceJobs(ev)
	}
	s.advance(ev.Now)
	s.placement.Advance(ev.Now)
	switch b := ev.Body.(type) {
	case event.Started:
		s.onStarted()
	case event.RequestArrived:
		s.onRequestArrived(b)
	case event.RequestCancelled:
		s.onRequestCancelled(b)
	case event.AttemptFinished:
		s.onAttemptFinished(b)
	case event.ProbeFinished:
		s.onProbeFinished(b)
	case event.RecordsRead:
		s.onRecordsRead(b)
	case event.ReadFailed:
		s.onReadFailed(b)
	case event.AppendFinished:
		s.onAppendFinished(b)
	case event.EntriesListed:
		s.onEntriesListed(b)
	case event.PeerReceived:
		s.onPeerReceived(b)
	case event.PeerUnreachable:
		s.onPeerUnreachable(b)
	case event.TimerFired:
		s.armed = time.Time{}
	case event.StopRequested:
		s.onStopAsked()
	default:
		s.onOperatorEvent(b)
		s.onMaintenanceEvent(b)
		s.onClaimEvent(b)
	}
	s.fireTimers()
	s.flushClaims()
	s.flushOutbox()
	s.finishStop()
	s.armTimer()
	return s.out
}

// onOperatorEvent handles what operators command and ask.
func (s *State) onOperatorEvent(body event.Body) {
	switch b := body.(type) {
	case event.OperatorCommanded:
		s.onOperatorCommanded(b)
	case event.StatusRequested:
		s.onStatusAsked(b)
	case event.ForecastRequested:
		s.onForecastAsked(b)
	case event.TextRequested:
		s.onTextAsked(b)
	}
}

// fireTimers runs all timers that are due. Their owners say what they mean.
func (s *State) fireTimers() {
	for {
		owner, ok := s.timers.Pop(s.now)
		if !ok {
			return
		}
		switch o := owner.(type) {
		case *requests.Request:
			s.onRequestExpired(o)
		case *claims.Batch:
			s.onClaimRetryDue(o)
		case claimWatch:
			s.showClaims()
		case claimFlush: // flushClaims follows every event
		case *health.Instance:
			s.onHealthDue(o)
		case *proposal:
			s.onProposalTimer(o)
		case *usageTick:
			s.onUsageDue()
		case *peers.State:
			s.onHeartbeatDue()
		case *drains.State:
			s.onStepsDue()
		case *holder.Link:
			s.onHolderTimer(o)
		case *isolation:
			s.onCaughtUp()
		case *snapshots:
			s.onSnapshotTimer()
		}
	}
}

// armTimer asks for a wake-up when the earliest deadline has moved forward. A
// later deadline needs none: the earlier wake-up arms the next one.
func (s *State) armTimer() {
	next := s.timers.Next()
	if next.IsZero() {
		return
	}
	if !s.armed.IsZero() && !next.Before(s.armed) {
		return
	}
	s.armed = next
	s.emit(effect.SetTimer{At: next})
}
