package entry

import (
	"github.com/banyanrail/banyanrail/reduce/effect"
)

// act passes an effect to its driver. It runs on the control goroutine and must
// not block.
func (e *Entry) act(out effect.Effect) {
	switch o := out.(type) {
	case effect.Dispatch:
		e.dispatch(o)
	case effect.CancelAttempt:
		e.exchanges.cancelAttempt(o.Attempt)
	case effect.Probe:
		e.probe(o)
	case effect.Answer:
		e.exchanges.answer(o)
		e.metrics.count(effect.Count{Name: effect.RequestsAnswered, Service: o.Service, N: 1})
	case effect.Refuse:
		e.exchanges.refuse(o)
		e.metrics.count(effect.Count{Name: effect.RequestsRefused, Service: o.Service, Reason: o.Reason, N: 1})
	case effect.Append:
		e.append(o)
	case effect.Read:
		e.controlReader.start(o.From)
	case effect.Count:
		e.metrics.count(o)
	case effect.Gauge:
		e.metrics.set(o)
	case effect.LogChange:
		e.logChange(o)
	case effect.SetReady:
		e.ready.Store(o.Ready)
	case effect.Stopped:
		e.stopOnce.Do(func() { close(e.stopped) })
	default:
		e.actPeers(out)
		e.actClaims(out)
		e.actInstances(out)
		e.replyOperator(out)
	}
}

// replyOperator passes a reply to the operator's request that waits for it.
func (e *Entry) replyOperator(out effect.Effect) {
	switch o := out.(type) {
	case effect.Reply:
		e.commandResults.Resolve(o.ID, o.Result)
	case effect.ReplyStatus:
		e.statuses.Resolve(o.ID, o.Status)
	case effect.ReplyForecast:
		e.forecasts.Resolve(o.ID, o.Forecast)
	case effect.ReplyText:
		e.texts.Resolve(o.ID, o)
	}
}

var changeMessages = map[effect.Change]string{
	effect.ChangeText:           "services text in force",
	effect.ChangeReady:          "ready",
	effect.ChangeLogDown:        "log unavailable",
	effect.ChangeLogUp:          "log available",
	effect.ChangeStopping:       "stopping",
	effect.ChangeRecordRejected: "record rejected",
	effect.ChangeInstance:       "instance changed phase",
	effect.ChangeDrainOverdue:   "drain overdue",
	effect.ChangeIsolated:       "isolated from log and peers",
	effect.ChangeWave:           "wave changed",
	effect.ChangeRehearsal:      "rehearsal changed",
	effect.ChangeClaimsOpen:     "taking non-idempotent requests",
	effect.ChangeClaimsClosed:   "refusing non-idempotent requests",
	effect.ChangeDigestMismatch: "control state differs from a peer's",
	effect.ChangePeerSuspect:    "peer suspected",
	effect.ChangePeerDead:       "peer dead",
	effect.ChangeGap:            "gap in the control stream",
	effect.ChangeSnapshot:       "state taken from snapshot",
	effect.ChangeHealth:         "endpoint health",
}

func (e *Entry) logChange(o effect.LogChange) {
	e.deps.Logger.Info(changeMessages[o.Change],
		"entry", e.cfg.ID, "version", o.Version, "record", o.Record, "instance", o.Instance, "detail", o.Detail)
}
