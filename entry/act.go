package entry

import (
	"github.com/banyanrail/banyanrail/reduce/effect"
)

// act hands an effect to its driver. It runs on the control goroutine and must
// not block.
func (e *Entry) act(out effect.Effect) {
	switch o := out.(type) {
	case effect.Dispatch:
		e.dispatch(o)
	case effect.CancelAttempt:
		e.exchanges.cancel(o.Attempt)
	case effect.Answer:
		e.exchanges.answer(o)
	case effect.Refuse:
		e.exchanges.refuse(o)
	case effect.Append:
		e.append(o)
	case effect.Read:
		e.reader.start(o.From)
	case effect.SendPeer:
		e.sendPeer(o)
	case effect.Reply:
		e.replies.Resolve(o.ID, o.Result)
	case effect.ReplyStatus:
		e.statuses.Resolve(o.ID, o.Status)
	case effect.Count:
		e.metrics.count(o)
	case effect.LogChange:
		e.logChange(o)
	case effect.SetReady:
		e.ready.Store(o.Ready)
	case effect.Stopped:
		e.stopOnce.Do(func() { close(e.stopped) })
	default:
		e.actOnWorkers(out)
	}
}

var changeNames = map[effect.Change]string{
	effect.ChangeText:           "services text in force",
	effect.ChangeReady:          "ready",
	effect.ChangeLogDown:        "log unavailable",
	effect.ChangeLogUp:          "log available",
	effect.ChangeStopping:       "stopping",
	effect.ChangeRecordRejected: "record rejected",
	effect.ChangeInstance:       "instance changed phase",
	effect.ChangeWave:           "wave changed",
}

func (e *Entry) logChange(o effect.LogChange) {
	e.deps.Logger.Info(changeNames[o.Change],
		"entry", e.cfg.ID, "version", o.Version, "record", o.Record, "instance", o.Instance, "detail", o.Detail)
}
