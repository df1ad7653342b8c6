package usage_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/usage"
	"github.com/shoenig/test/must"
)

var (
	epoch  = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	survey = &fleet.Service{Name: "survey", Availability: 0.9}
)

func count(s *usage.State, ok bool, n int) {
	for range n {
		if ok {
			s.RecordAnswer("survey")
		} else {
			s.RecordFailure("survey")
		}
	}
}

func TestBurnNeedsBothWindows(t *testing.T) {
	s := usage.New()
	now := epoch
	s.Sample(now)
	count(s, true, 1000)
	for range 55 {
		now = now.Add(usage.SampleInterval)
		s.Sample(now)
	}
	count(s, false, 20)
	burn := s.BurnRate(survey, now)
	must.Greater(t, 1, burn.Short)
	must.Less(t, 1, burn.Long)
	must.False(t, burn.Exceeds(1))
	count(s, false, 500)
	must.True(t, s.BurnRate(survey, now).Exceeds(1))
}

func TestShortWindowEndsTheAlarm(t *testing.T) {
	s := usage.New()
	s.Sample(epoch)
	count(s, false, 100)
	now := epoch
	for range 12 {
		now = now.Add(usage.SampleInterval)
		s.Sample(now)
	}
	count(s, true, 100)
	must.False(t, s.BurnRate(survey, now).Exceeds(1))
}

func TestRestartedPeerKeepsItsTotals(t *testing.T) {
	s := usage.New()
	update := func(incarnation, answered uint64) {
		s.UpdatePeer("entry-2", incarnation, []usage.ServiceTotals{{Service: "survey", Totals: usage.Totals{Answered: answered}}})
	}
	update(1, 10)
	update(1, 12)
	update(2, 3)
	update(1, 99)
	must.EqOp(t, 15, s.Total("survey").Answered)
}

func TestDemandIncludesRefusedRequests(t *testing.T) {
	s := usage.New()
	s.Sample(epoch)
	now := epoch
	for range 60 {
		for range 100 {
			s.RecordArrival("survey")
		}
		for range 50 {
			s.RecordAttempt("survey", 40*time.Millisecond)
		}
		now = now.Add(usage.SampleInterval)
		s.Sample(now)
	}
	must.EqOp(t, 4, s.Demand("survey", now))
}

func TestPeakDemandAnswersABurstWithinTheWait(t *testing.T) {
	s := usage.New()
	now := epoch
	for second := range 61 {
		if second >= 20 && second < 25 {
			for range 50 {
				s.RecordArrival("survey")
				s.RecordAttempt("survey", 100*time.Millisecond)
			}
		}
		s.Sample(now)
		now = now.Add(time.Second)
	}
	must.InDelta(t, 2.5, s.PeakDemand("survey", now, 5*time.Second), 1e-9)
	must.InDelta(t, 1.25, s.PeakDemand("survey", now, 15*time.Second), 1e-9)
	must.EqOp(t, 0.0, s.PeakDemand("barges", now, 10*time.Second))
}
