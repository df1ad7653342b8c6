package reduce_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func (h *harness) status() effect.Status {
	return effectsOf[effect.ReplyStatus](h.do(event.StatusRequested{}))[0].Status
}

// oneReply returns the only reply to an operator among the effects.
func oneReply(t *testing.T, out []effect.Effect) control.Result {
	t.Helper()
	replies := effectsOf[effect.Reply](out)
	must.Len(t, 1, replies)
	return replies[0].Result
}

func TestLostAppendAnswerIsSettledByReading(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	rec := effectsOf[effect.Append](h.publishFrom(1, "new", oneInstanceText(4)))[0].Record
	must.Len(t, 0, h.do(event.AppendFinished{ID: "new", Outcome: event.AppendUnknown, Err: errors.New("lost")}))
	must.EqOp(t, control.Accepted, oneReply(t, h.read(2, rec)).Outcome)
}

func TestFailedAppendIsNotInForce(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	h.publishFrom(1, "new", oneInstanceText(4))
	res := oneReply(t, h.do(event.AppendFinished{ID: "new", Outcome: event.AppendFailed, Err: errors.New("down")}))
	must.EqOp(t, control.LogDown, res.Outcome)
	must.EqOp(t, 1, h.status().Version)
}

func TestUndecidedRecordIsVoided(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	rec := effectsOf[effect.Append](h.publishFrom(1, "new", oneInstanceText(4)))[0].Record
	void := effectsOf[effect.Append](h.after(6*time.Second, event.TimerFired{}))
	must.Len(t, 1, void)
	must.Eq[control.Body](t, control.Void{Record: "new"}, void[0].Record.Body)

	res := oneReply(t, h.read(2, void[0].Record))
	must.EqOp(t, control.Voided, res.Outcome)
	must.EqOp(t, "new", res.Record)

	// The record reaches the log after its void and has no effect.
	h.read(3, rec)
	must.EqOp(t, 1, h.status().Version)
	must.EqOp(t, 3, h.status().Offset)
}

func TestRecordBeforeItsVoidTakesEffect(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	rec := effectsOf[effect.Append](h.publishFrom(1, "new", oneInstanceText(4)))[0].Record
	void := effectsOf[effect.Append](h.after(6*time.Second, event.TimerFired{}))[0].Record
	must.EqOp(t, control.Accepted, oneReply(t, h.read(2, rec, void)).Outcome)
	must.EqOp(t, 2, h.status().Version)
}

func TestVoidIsRepeatedUntilTheDeadline(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	h.publishFrom(1, "new", oneInstanceText(4))
	voids := len(effectsOf[effect.Append](h.after(6*time.Second, event.TimerFired{})))
	for range 3 {
		voids += len(effectsOf[effect.Append](h.after(time.Second, event.TimerFired{})))
	}
	must.EqOp(t, 4, voids)
	must.EqOp(t, control.Undecided, oneReply(t, h.after(time.Second, event.TimerFired{})).Outcome)
}

// snapshotAfter advances the time and returns the snapshot record that the
// entry appends.
func snapshotAfter(t *testing.T, h *harness, d time.Duration) control.Record {
	t.Helper()
	appends := effectsOf[effect.Append](h.after(d, event.TimerFired{}))
	must.Len(t, 1, appends)
	must.EqOp(t, fmt.Sprintf("%T", control.Snapshot{}), fmt.Sprintf("%T", appends[0].Record.Body))
	return appends[0].Record
}

func TestStartingEntryInstallsASnapshot(t *testing.T) {
	old := newHarness(oneInstanceText(1))
	snap := snapshotAfter(t, old, reduce.DefaultSnapshotInterval)
	changed := control.Record{ID: "b", Body: control.Publish{Base: 1, Text: oneInstanceText(3)}}
	old.read(2, changed, snap)

	h := &harness{state: reduce.New(reduce.Config{Entry: "entry-2", MaxRequests: 1}), now: old.now}
	h.do(event.Started{})
	page := event.RecordsRead{Oldest: 2, Next: 4, Records: []control.Positioned{
		{Offset: 2, Record: changed}, {Offset: 3, Record: snap},
	}}
	out := h.do(page)
	must.Eq(t, []effect.Read{{From: 2}}, effectsOf[effect.Read](out))
	must.True(t, h.status().Ready)
	must.EqOp(t, 1, h.status().Version)
	h.do(page)
	must.EqOp(t, 2, h.status().Version)
	must.EqOp(t, 3, h.status().Offset)
}

func TestEntryWithoutSnapshotIsNotReady(t *testing.T) {
	h := &harness{state: reduce.New(reduce.Config{Entry: "entry-2", MaxRequests: 1}), now: epoch}
	h.do(event.Started{})
	out := h.do(event.RecordsRead{Oldest: 5, Next: 6, Records: []control.Positioned{
		{Offset: 5, Record: control.Record{ID: "e", Body: control.Publish{Text: oneInstanceText(1)}}},
	}})
	must.Len(t, 0, effectsOf[effect.SetReady](out))
	changes := effectsOf[effect.LogChange](out)
	must.Len(t, 1, changes)
	must.EqOp(t, effect.ChangeGap, changes[0].Change)
	must.True(t, h.status().Gap)
	must.EqOp(t, control.NotReady, oneReply(t, h.publishFrom(0, "new", oneInstanceText(1))).Outcome)
}

func TestPeersCloseAGap(t *testing.T) {
	h := &harness{state: reduce.New(reduce.Config{Entry: "entry-2", MaxRequests: 1}), now: epoch}
	h.do(event.Started{})
	changed := control.Record{ID: "b", Body: control.Publish{Base: 1, Text: oneInstanceText(3)}}
	late := event.RecordsRead{Oldest: 3, Next: 4, Records: []control.Positioned{
		{Offset: 3, Record: control.Record{ID: "c", Body: control.Publish{Base: 2, Text: oneInstanceText(5)}}},
	}}
	h.do(late)
	must.True(t, h.status().Gap)
	h.do(event.PeerReceived{From: "entry-1", Incarnation: 1, Sequence: 1, Message: message.Records{
		Records: []control.Positioned{
			{Offset: 1, Record: control.Record{ID: "a", Body: control.Publish{Text: oneInstanceText(1)}}},
			{Offset: 2, Record: changed},
		},
	}})
	must.EqOp(t, 2, h.status().Version)
	h.do(late)
	must.False(t, h.status().Gap)
	must.EqOp(t, 3, h.status().Version)
	must.True(t, h.status().Ready)
}

func TestSnapshotIsWrittenOnceAndAgainBeforeItExpires(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	snap := snapshotAfter(t, h, reduce.DefaultSnapshotInterval)
	h.read(2, snap)
	must.Len(t, 0, effectsOf[effect.Append](h.after(reduce.DefaultSnapshotInterval/2, event.TimerFired{})))
	snapshotAfter(t, h, reduce.DefaultSnapshotInterval/2)
}

func TestSnapshotThatWasNotReadBackIsWrittenAgain(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	snapshotAfter(t, h, reduce.DefaultSnapshotInterval)
	snapshotAfter(t, h, reduce.DefaultSnapshotInterval/2)
}

func TestRefusedSnapshotIsRetriedSoon(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	refused := snapshotAfter(t, h, reduce.DefaultSnapshotInterval)
	must.Len(t, 0, effectsOf[effect.Append](h.after(time.Minute, event.TimerFired{})))
	h.do(event.AppendFinished{ID: refused.ID, Outcome: event.AppendFailed, Err: errors.New("down")})
	snapshotAfter(t, h, time.Minute)
}

func TestOnlyOneEntryWritesWhenAllAreAlive(t *testing.T) {
	ids := []fleet.EntryID{"entry-1", "entry-2", "entry-3"}
	writers := 0
	for _, id := range ids {
		h := &harness{state: reduce.New(reduce.Config{Entry: id, MaxRequests: 1}), now: epoch}
		h.do(event.Started{})
		h.read(1, control.Record{ID: "text", Time: epoch, Body: control.Publish{Text: oneInstanceText(1)}})
		h.now = h.now.Add(reduce.DefaultSnapshotInterval - time.Second)
		for _, peer := range ids {
			if peer != id {
				h.do(event.PeerReceived{From: peer, Incarnation: 1, Message: heartbeat})
			}
		}
		writers += len(effectsOf[effect.Append](h.after(time.Second, event.TimerFired{})))
	}
	must.EqOp(t, 1, writers)
}

// stream is a control stream with the version after each prefix.
type stream struct {
	records  []control.Record
	versions []fleet.Version
	model    *control.State
}

func drawStream(t *rapid.T) *stream {
	s := &stream{model: control.New(), versions: []fleet.Version{0}}
	s.add(control.Record{ID: "first", Body: control.Publish{Text: oneInstanceText(1)}})
	for i := range rapid.IntRange(1, 12).Draw(t, "records") {
		id := fleet.RecordID(fmt.Sprint("r", i))
		switch rapid.SampledFrom([]string{"publish", "stale", "delta", "repeat", "void", "snapshot"}).Draw(t, "kind") {
		case "publish":
			s.add(control.Record{ID: id, Body: control.Publish{Base: s.model.Version, Text: oneInstanceText(i + 2)}})
		case "delta":
			s.add(control.Record{ID: id, Body: control.Publish{Base: s.model.Version, Delta: &fleet.Delta{Pools: oneInstanceText(i + 2).Pools}}})
		case "stale":
			s.add(control.Record{ID: id, Body: control.Publish{Base: s.model.Version - 1, Text: oneInstanceText(i + 2)}})
		case "repeat":
			s.add(rapid.SampledFrom(s.records).Draw(t, "repeated"))
		case "void":
			s.add(control.Record{ID: "v" + id, Body: control.Void{Record: fleet.RecordID(fmt.Sprint("r", i+1))}})
		case "snapshot":
			s.add(control.Record{ID: id, Body: s.model.Snapshot()})
		}
	}
	return s
}

func (s *stream) add(rec control.Record) {
	s.records = append(s.records, rec)
	s.model.Apply(control.Positioned{Offset: fleet.Offset(len(s.records)), Record: rec})
	s.versions = append(s.versions, s.model.Version)
}

func (s *stream) page(from, oldest fleet.Offset, n int) event.RecordsRead {
	from = max(from, oldest)
	ev := event.RecordsRead{Oldest: oldest, Next: from}
	for ; n > 0 && int(ev.Next) <= len(s.records); n-- {
		ev.Records = append(ev.Records, control.Positioned{Offset: ev.Next, Record: s.records[ev.Next-1]})
		ev.Next++
	}
	return ev
}

// usableSnapshot reports whether a starting entry can catch up with the stream.
func (s *stream) usableSnapshot(oldest fleet.Offset) bool {
	for i, rec := range s.records {
		snap, ok := rec.Body.(control.Snapshot)
		if ok && fleet.Offset(i+1) >= oldest && snap.Offset+1 >= oldest {
			return true
		}
	}
	return oldest == 1
}

func TestTextInForceNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawStream(t)
		oldest := fleet.Offset(1)
		h := &harness{state: reduce.New(reduce.Config{Entry: "entry-1", MaxRequests: 1}), now: epoch}
		last := effect.Status{}
		check := func() {
			st := h.status()
			must.GreaterEq(t, last.Version, st.Version)
			must.GreaterEq(t, last.Offset, st.Offset)
			must.EqOp(t, s.versions[st.Offset], st.Version)
			last = st
		}
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"read", "trim", "restart"}).Draw(t, "step") {
			case "read":
				from := fleet.Offset(rapid.IntRange(1, len(s.records)).Draw(t, "from"))
				h.do(s.page(from, oldest, rapid.IntRange(0, 6).Draw(t, "count")))
			case "trim":
				oldest = fleet.Offset(rapid.IntRange(int(oldest), len(s.records)+1).Draw(t, "oldest"))
			case "restart":
				h.state, last = reduce.New(reduce.Config{Entry: "entry-1", MaxRequests: 1}), effect.Status{}
			}
			check()
		}
		for range len(s.records) + 1 {
			h.do(s.page(last.Offset+1, oldest, len(s.records)))
			check()
		}
		caughtUp := last.Offset == fleet.Offset(len(s.records))
		if s.usableSnapshot(oldest) {
			must.True(t, caughtUp)
		}
		must.EqOp(t, !caughtUp, last.Gap)
	})
}

var heartbeat = message.Heartbeat{}
