package peers_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/peers"
	"github.com/shoenig/test/must"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestRestartedPeerSupersedesItsEarlierIncarnation(t *testing.T) {
	s := peers.New("entry-1")
	p, how := s.Receive("entry-2", 5, 100, epoch)
	must.EqOp(t, peers.First, how)
	p.Stopping, p.Offset = true, 9

	p, how = s.Receive("entry-2", 6, 1, epoch)
	must.EqOp(t, peers.First, how)
	must.False(t, p.Stopping)
	must.EqOp(t, 0, p.Offset)

	_, how = s.Receive("entry-2", 5, 101, epoch)
	must.EqOp(t, peers.Stale, how)
}

func TestSequenceShowsLossAndOvertaking(t *testing.T) {
	s := peers.New("entry-1")
	for _, c := range []struct {
		sequence uint64
		want     peers.Reception
	}{{10, peers.First}, {11, peers.Next}, {13, peers.Gap}, {12, peers.Stale}, {13, peers.Stale}, {14, peers.Next}} {
		_, how := s.Receive("entry-2", 1, c.sequence, epoch)
		must.EqOp(t, c.want, how)
	}
}

func TestForgottenPeerGetsIncreasingSequences(t *testing.T) {
	s := peers.New("entry-1")
	s.SetAddress("entry-2", "127.0.0.1:1", epoch)
	p, _ := s.Get("entry-2")
	before := p.NextSequence()
	s.Forget("entry-2")
	s.SetAddress("entry-2", "127.0.0.1:1", epoch.Add(time.Second))
	p, _ = s.Get("entry-2")
	must.Greater(t, before, p.NextSequence())
}

func TestSilentPeerIsSuspectedBeforeItIsDead(t *testing.T) {
	s := peers.New("entry-1")
	s.SetAddress("entry-3", "127.0.0.1:3", epoch) // listed, but silent
	s.Receive("entry-2", 1, 1, epoch)
	must.Eq(t, []fleet.EntryID{"entry-1", "entry-2"}, s.Alive())

	must.Len(t, 0, s.UpdateStatuses(epoch.Add(time.Second)))
	changed := s.UpdateStatuses(epoch.Add(2 * time.Second))
	must.Len(t, 1, changed)
	must.EqOp(t, peers.Suspect, changed[0].Status)
	must.Eq(t, []fleet.EntryID{"entry-1"}, s.Alive())
	must.EqOp(t, 2, s.Present())

	changed = s.UpdateStatuses(epoch.Add(5 * time.Second))
	must.EqOp(t, peers.Dead, changed[0].Status)
	s.Receive("entry-2", 1, 2, epoch.Add(6*time.Second))
	must.Eq(t, []fleet.EntryID{"entry-1", "entry-2"}, s.Alive())
}

func TestHeartbeatsOfAnIntervalAreBounded(t *testing.T) {
	s := peers.New("entry-000")
	const n = 30
	for i := range n {
		s.SetAddress(fleet.EntryID(fmt.Sprintf("entry-%03d", i+1)), "127.0.0.1:1", epoch)
	}
	must.EqOp(t, 4*peers.HeartbeatInterval, s.Interval())
	served := map[fleet.EntryID]int{}
	for range 4 {
		due := s.Due()
		must.Len(t, peers.MaxPerInterval, due)
		for _, p := range due {
			served[p.ID]++
		}
	}
	must.MapLen(t, n, served)
}
