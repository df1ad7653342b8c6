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

// Reduce folds one event into the state and returns the effects to carry out.
// The returned slice is valid until the next call.
func Reduce(s *State, ev event.Event) []effect.Effect {
	s.effects = s.effects[:0]
	if s.jobs != nil {
		return s.reduceJobs(ev)
	}
	s.advanceTime(ev.Now)
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
		s.wakeAt = time.Time{}
	case event.StopRequested:
		s.onStopRequested()
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
	return s.effects
}

// onOperatorEvent handles the commands and queries of operators.
func (s *State) onOperatorEvent(body event.Body) {
	switch b := body.(type) {
	case event.OperatorCommanded:
		s.onOperatorCommanded(b)
	case event.StatusRequested:
		s.onStatusRequested(b)
	case event.ForecastRequested:
		s.onForecastRequested(b)
	case event.TextRequested:
		s.onTextRequested(b)
	}
}

// fireTimers handles all timers that are due. The type of a timer's owner
// selects the handler.
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
		case claimReadTimer:
			s.updateClaimsOpen()
		case claimFlushTimer: // flushClaims runs after every event
		case *health.Instance:
			s.onHealthTimer(o)
		case *proposal:
			s.onProposalTimer(o)
		case *usageSchedule:
			s.onUsageDue()
		case *peers.State:
			s.onHeartbeatDue()
		case *drains.State:
			s.onStepsDue()
		case *holder.Link:
			s.onHolderTimer(o)
		case *isolation:
			s.onHoldTimer()
		case *snapshotSchedule:
			s.onSnapshotTimer()
		}
	}
}

// armTimer requests a wake-up when the earliest deadline has moved forward. A
// later deadline needs no request, because the earlier wake-up arms the next
// one.
func (s *State) armTimer() {
	next := s.timers.Next()
	if next.IsZero() {
		return
	}
	if !s.wakeAt.IsZero() && !next.Before(s.wakeAt) {
		return
	}
	s.wakeAt = next
	s.emit(effect.SetTimer{At: next})
}
