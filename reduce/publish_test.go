package reduce_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
)

// publishFrom sends an operator's publish of a text and returns the effects.
func (h *harness) publishFrom(base fleet.Version, id fleet.RecordID, text *fleet.Text) []effect.Effect {
	return h.do(event.OperatorCommanded{
		ID:       7,
		Record:   control.Record{ID: id, Body: control.Publish{Base: base, Text: text}},
		Deadline: h.now.Add(10 * time.Second),
	})
}

// read folds records that begin at an offset.
func (h *harness) read(from fleet.Offset, records ...control.Record) []effect.Effect {
	ev := event.RecordsRead{Oldest: 1, Next: from + fleet.Offset(len(records))}
	for i, rec := range records {
		ev.Records = append(ev.Records, control.Positioned{Offset: from + fleet.Offset(i), Record: rec})
	}
	return h.do(ev)
}

func TestPublishAppendsOnlyWhatChanges(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	appends := effectsOf[effect.Append](h.publishFrom(1, "new", oneInstanceText(4)))
	must.Len(t, 1, appends)
	body, ok := appends[0].Record.Body.(control.Publish)
	must.True(t, ok)
	must.Nil(t, body.Text)
	must.Eq(t, &fleet.Delta{Pools: oneInstanceText(4).Pools}, body.Delta)

	replies := effectsOf[effect.Reply](h.read(2, appends[0].Record))
	must.Len(t, 1, replies)
	must.EqOp(t, control.Accepted, replies[0].Result.Outcome)
	must.EqOp(t, 2, replies[0].Result.Version)
}

func TestPublishOnReplacedVersionConflictsAtOnce(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	out := h.publishFrom(0, "old", oneInstanceText(4))
	must.Len(t, 0, effectsOf[effect.Append](out))
	replies := effectsOf[effect.Reply](out)
	must.Len(t, 1, replies)
	must.EqOp(t, control.Conflict, replies[0].Result.Outcome)
	must.EqOp(t, 1, replies[0].Result.Version)
}

func TestPublishOnVersionNotReadYetShipsTheWholeText(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	appends := effectsOf[effect.Append](h.publishFrom(2, "ahead", oneInstanceText(4)))
	must.Len(t, 1, appends)
	body, ok := appends[0].Record.Body.(control.Publish)
	must.True(t, ok)
	must.NotNil(t, body.Text)
}
