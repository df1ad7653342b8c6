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
)

const peerID fleet.EntryID = "entry-2"

// peerSender numbers the messages of one incarnation of a peer.
type peerSender struct {
	id          fleet.EntryID
	incarnation uint64
	sequence    uint64
}

func (p *peerSender) message(m message.Message) event.PeerReceived {
	p.sequence++
	return event.PeerReceived{From: p.id, Incarnation: p.incarnation, Sequence: p.sequence, Address: "127.0.0.1:2", Message: m}
}

// messagesOf returns the messages of one type.
func messagesOf[T message.Message](out []effect.Effect) []T {
	var found []T
	for _, e := range effectsOf[effect.SendPeer](out) {
		if m, ok := e.Message.(T); ok {
			found = append(found, m)
		}
	}
	return found
}

// newEntryWithoutLog returns an entry that started while the log was down.
func newEntryWithoutLog() *harness {
	h := &harness{
		state: reduce.New(reduce.Config{Entry: "entry-1", Seed: 7, MaxRequests: 100}),
		now:   epoch,
	}
	h.do(event.Started{})
	h.do(event.ReadFailed{Err: errors.New("log is down")})
	return h
}

func publishRecord(at, base fleet.Offset, slots int) control.Positioned {
	id := fleet.RecordID(rune('a' + at))
	return control.Positioned{Offset: at, Record: control.Record{ID: id, Body: control.Publish{Base: base, Text: oneInstanceText(slots)}}}
}

func TestStartingEntryFoldsRecordsOfAPeer(t *testing.T) {
	h := newEntryWithoutLog()
	p := &peerSender{id: peerID, incarnation: 1}
	sent := messagesOf[message.RecordsRequest](h.do(p.message(message.Heartbeat{Offset: 2})))
	must.Eq(t, []message.RecordsRequest{{After: 0}}, sent)
	must.Len(t, 0, effectsOf[effect.SetReady](h.do(p.message(message.Heartbeat{Offset: 2}))))

	out := h.do(p.message(message.Records{Records: []control.Positioned{publishRecord(1, 0, 1), publishRecord(2, 1, 2)}}))
	must.Eq(t, []effect.SetReady{{Ready: true}}, effectsOf[effect.SetReady](out))
	must.Len(t, 1, effectsOf[effect.Dispatch](h.do(arrived(1))))
}

func TestPeerRecordsNeverSkipRepeatOrRevert(t *testing.T) {
	h := newEntryWithoutLog()
	p := &peerSender{id: peerID, incarnation: 1}
	texts := func(m message.Message) []effect.LogChange {
		var found []effect.LogChange
		for _, c := range effectsOf[effect.LogChange](h.do(p.message(m))) {
			if c.Change == effect.ChangeText {
				found = append(found, c)
			}
		}
		return found
	}
	must.Len(t, 0, texts(message.Records{After: 1, Records: []control.Positioned{publishRecord(2, 1, 2)}}))
	must.Len(t, 1, texts(message.Records{Records: []control.Positioned{publishRecord(1, 0, 1)}}))
	must.Len(t, 1, texts(message.Records{Records: []control.Positioned{publishRecord(1, 0, 1), publishRecord(2, 1, 2)}}))
	must.Len(t, 0, texts(message.Records{Records: []control.Positioned{publishRecord(1, 0, 1)}}))

	// The log is available again and returns the same records.
	out := h.do(event.RecordsRead{Records: []control.Positioned{publishRecord(1, 0, 1), publishRecord(2, 1, 2)}, Next: 3, Oldest: 1})
	for _, c := range effectsOf[effect.LogChange](out) {
		must.NotEqOp(t, effect.ChangeText, c.Change)
	}
}

func TestEntryRelaysRecords(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	p := &peerSender{id: peerID, incarnation: 1}
	got := messagesOf[message.Records](h.do(p.message(message.RecordsRequest{After: 0})))
	must.Len(t, 1, got)
	must.EqOp(t, 0, got[0].After)
	must.Len(t, 1, got[0].Records)
	must.Len(t, 0, messagesOf[message.Records](h.do(p.message(message.RecordsRequest{After: 1}))))
}

func TestPeersRelayRecordsWhenTheLogLags(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	p := &peerSender{id: peerID, incarnation: 1}
	beat := message.Heartbeat{Offset: 2}
	must.Len(t, 0, messagesOf[message.RecordsRequest](h.do(p.message(beat))))
	must.Len(t, 1, messagesOf[message.RecordsRequest](h.after(500*time.Millisecond, p.message(beat))))
}

func TestDigestMismatchIsReportedOnce(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	p := &peerSender{id: peerID, incarnation: 1}
	beat := message.Heartbeat{Offset: 1, Version: 1, Digest: 12345}
	must.Len(t, 1, countsOf(h.do(p.message(beat)), effect.DigestMismatches))
	must.Len(t, 0, countsOf(h.do(p.message(beat)), effect.DigestMismatches))
}

func TestEqualFoldsHaveEqualDigests(t *testing.T) {
	one, two := newHarness(oneInstanceText(1)), newHarness(oneInstanceText(1))
	p := &peerSender{id: peerID, incarnation: 1}
	beat := messagesOf[message.Heartbeat](one.do(p.message(message.RecordsRequest{})))
	must.Len(t, 1, beat)
	p = &peerSender{id: peerID, incarnation: 1}
	must.Len(t, 0, countsOf(two.do(p.message(beat[0])), effect.DigestMismatches))
}

func TestMessageOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	h := newEntryWithoutLog()
	restarted := &peerSender{id: peerID, incarnation: 2}
	h.do(restarted.message(message.Heartbeat{}))
	stale := &peerSender{id: peerID, incarnation: 1, sequence: 100}
	out := h.do(stale.message(message.Records{Records: []control.Positioned{publishRecord(1, 0, 1)}}))
	must.Len(t, 1, countsOf(out, effect.StalePeerMessages))
	must.Len(t, 0, effectsOf[effect.SetReady](out))
}

func TestNewRecordSendsAnEarlyHeartbeat(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	p := &peerSender{id: peerID, incarnation: 1}
	h.do(p.message(message.Heartbeat{}))
	h.after(time.Second, event.TimerFired{})
	h.do(event.RecordsRead{Records: []control.Positioned{publishRecord(2, 1, 2)}, Next: 3, Oldest: 1})
	beats := messagesOf[message.Heartbeat](h.after(20*time.Millisecond, event.TimerFired{}))
	must.Len(t, 1, beats)
	must.EqOp(t, 2, beats[0].Offset)
}

func countsOf(out []effect.Effect, name effect.Counter) []effect.Count {
	var found []effect.Count
	for _, c := range effectsOf[effect.Count](out) {
		if c.Name == name {
			found = append(found, c)
		}
	}
	return found
}

// newEntryWithLongLog returns an entry that has folded more records than it
// keeps for peers.
func newEntryWithLongLog() *harness {
	h := newHarness(oneInstanceText(1))
	for at := fleet.Offset(2); at <= 600; at++ {
		p := publishRecord(at, at-1, int(at))
		p.Record.ID = fleet.RecordID(fmt.Sprint("record-", at))
		h.do(event.RecordsRead{Records: []control.Positioned{p}, Next: at + 1, Oldest: 1})
	}
	return h
}

func TestPeerSendsASnapshotInPlaceOfRecordsNoLongerKept(t *testing.T) {
	long, h := newEntryWithLongLog(), newEntryWithoutLog()
	asker := &peerSender{id: "entry-3", incarnation: 1}
	got := messagesOf[message.Snapshot](long.do(asker.message(message.RecordsRequest{After: 0})))
	must.Len(t, 1, got)
	must.Len(t, 1, messagesOf[message.Records](long.do(asker.message(message.RecordsRequest{After: 599}))))

	p := &peerSender{id: peerID, incarnation: 1}
	out := h.do(p.message(got[0]))
	must.Eq(t, []effect.SetReady{{Ready: true}}, effectsOf[effect.SetReady](out))
	must.Eq(t, []effect.Read{{From: 601}}, effectsOf[effect.Read](out))
	must.Len(t, 0, effectsOf[effect.Read](h.do(p.message(got[0]))))

	// Both folds are equal, and the log continues after them.
	beat := messagesOf[message.Heartbeat](long.after(time.Second, event.TimerFired{}))
	must.Len(t, 0, countsOf(h.do(p.message(beat[0])), effect.DigestMismatches))
	next := publishRecord(601, 600, 2)
	h.do(event.RecordsRead{Records: []control.Positioned{next}, Next: 602, Oldest: 1})
	must.EqOp(t, 601, statusOf(h).Version)
}

func TestOlderSnapshotDoesNotRevert(t *testing.T) {
	h := newEntryWithLongLog()
	p := &peerSender{id: peerID, incarnation: 1}
	h.do(p.message(message.Snapshot{Fold: control.Snapshot{Offset: 5, Version: 5, Text: oneInstanceText(3)}}))
	must.EqOp(t, 600, statusOf(h).Version)
}

func TestUnlistedPeerRefreshesTheList(t *testing.T) {
	h := newHarness(oneInstanceText(1))
	h.do(event.EntriesListed{Entries: []event.ListedEntry{{ID: "entry-3"}}})
	listed, unlisted := &peerSender{id: "entry-3", incarnation: 1}, &peerSender{id: peerID, incarnation: 1}
	must.Len(t, 0, effectsOf[effect.RefreshList](h.do(listed.message(message.Heartbeat{}))))
	must.Len(t, 1, effectsOf[effect.RefreshList](h.do(unlisted.message(message.Heartbeat{}))))
	must.Len(t, 0, effectsOf[effect.RefreshList](h.do(unlisted.message(message.Heartbeat{}))))
}

func statusOf(h *harness) effect.Status {
	return effectsOf[effect.ReplyStatus](h.do(event.StatusRequested{}))[0].Status
}
