package relay_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/relay"
	"github.com/shoenig/test/must"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func filled(n fleet.Offset) *relay.State {
	var s relay.State
	for at := range n {
		s.Add(control.Positioned{Offset: at + 1})
	}
	return &s
}

func TestPageFollowsTheOffset(t *testing.T) {
	s := filled(100)
	before, page, ok := s.After(90)
	must.True(t, ok)
	must.EqOp(t, 90, before)
	must.Len(t, 10, page)
	must.EqOp(t, 91, page[0].Offset)

	_, page, ok = s.After(0)
	must.True(t, ok)
	must.Len(t, relay.MaxPage, page)
}

func TestDroppedRecordsAreNotSkipped(t *testing.T) {
	s := filled(600)
	_, _, ok := s.After(50)
	must.False(t, ok)
	before, page, ok := s.After(88)
	must.True(t, ok)
	must.EqOp(t, 88, before)
	must.EqOp(t, 89, page[0].Offset)
}

func TestSameOffsetIsKeptOnce(t *testing.T) {
	s := filled(5)
	s.Add(control.Positioned{Offset: 5})
	s.Add(control.Positioned{Offset: 3})
	_, page, _ := s.After(0)
	must.Len(t, 5, page)
}

func TestRecordsAreRequestedOnceTheLogLagsTooLong(t *testing.T) {
	var s relay.State
	must.False(t, s.ShouldRequest("entry-2", false, epoch))
	must.True(t, s.ShouldRequest("entry-2", false, epoch.Add(500*time.Millisecond)))
	must.False(t, s.ShouldRequest("entry-3", false, epoch.Add(600*time.Millisecond)))
	must.True(t, s.ShouldRequest("entry-3", false, epoch.Add(2*time.Second)))
	s.MarkAnswered("entry-3")
	must.True(t, s.ShouldRequest("entry-2", true, epoch.Add(2*time.Second)))
}

func TestUnreadableRecordEndsThePage(t *testing.T) {
	var s relay.State
	s.Add(control.Positioned{Offset: 1})
	s.Add(control.Positioned{Offset: 2, Record: control.Record{Body: control.Unreadable{}}})
	s.Add(control.Positioned{Offset: 3})
	_, page, ok := s.After(0)
	must.True(t, ok)
	must.Len(t, 1, page)
	_, page, ok = s.After(1)
	must.True(t, ok)
	must.Len(t, 0, page)
}

func TestLargeTextsAreNotKeptTogether(t *testing.T) {
	var s relay.State
	text := &fleet.Text{Instances: make([]fleet.Instance, 30_000)}
	for at := range fleet.Offset(3) {
		s.Add(control.Positioned{Offset: at + 1, Record: control.Record{Body: control.Publish{Text: text}}})
	}
	_, _, ok := s.After(1)
	must.False(t, ok)
	_, page, ok := s.After(2)
	must.True(t, ok)
	must.Len(t, 1, page)
}
