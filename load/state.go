// Package load generates callers' requests to a fleet and counts their outcomes.
// Services burst in turn: while one service gets several times its mean rate,
// the others get a small part of theirs.
//
// As in the entries, a reducer that runs on a loop holds the state. A driver
// carries out its effects.
package load

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/random"
	"github.com/google/uuid"
)

// Service is a service that gets requests.
type Service struct {
	Name       fleet.ServiceName
	Idempotent bool
	// Rate is the mean number of requests per second.
	Rate float64
}

// Config holds the parameters of a run.
type Config struct {
	Services []Service
	Members  []fleet.MemberName
	// Entries is the number of entries. Requests go to them in turn.
	Entries int
	// Duration is the time during which requests are sent.
	Duration time.Duration
	// BurstDuration is how long each service bursts before the next one does.
	BurstDuration time.Duration
	// BurstFactor multiplies the rate of the bursting service, QuietFactor the
	// rates of the others.
	BurstFactor float64
	QuietFactor float64
	// MaxInFlight bounds the requests in flight. Requests beyond it are not sent.
	MaxInFlight int
	// GreedyShare is the share of requests that the first member sends. If it is
	// zero, all members send equal shares.
	GreedyShare float64
	Seed        uint64
}

// Range and significant digits of the latency histograms.
const (
	maxLatency       = 5 * time.Minute
	latencyPrecision = 3
)

// State is the state of a run. Only Reduce changes it.
type State struct {
	cfg           Config
	now           time.Time
	start         time.Time
	random        random.Source
	lastID        uint64
	calls         map[uint64]*call
	sources       []*source
	members       map[fleet.MemberName]*MemberSummary
	stopping      bool
	runsRequested bool
	out           []Effect
}

// source generates the requests of one service and counts their outcomes.
type source struct {
	Service
	nextArrival time.Time
	counts      Counts
	latency     *hdrhistogram.Histogram
	// atMostOnce holds the keys of requests that may run at most once, refused
	// the keys of requests that were refused as not run.
	atMostOnce []fleet.Key
	refused    []fleet.Key
}

type call struct {
	source *source
	member fleet.MemberName
	key    fleet.Key
}

// New returns the state of a run that has not started.
func New(cfg Config) *State {
	s := &State{cfg: cfg, random: random.New(cfg.Seed), calls: make(map[uint64]*call), members: make(map[fleet.MemberName]*MemberSummary)}
	for _, name := range cfg.Members {
		s.members[name] = &MemberSummary{}
	}
	for _, svc := range cfg.Services {
		s.sources = append(s.sources, &source{
			Service: svc,
			latency: hdrhistogram.New(1, maxLatency.Microseconds(), latencyPrecision),
		})
	}
	return s
}

// Reduce applies one event to the state and returns the effects. The returned
// slice is valid until the next call.
func (s *State) Reduce(now time.Time, ev Event) []Effect {
	s.out = s.out[:0]
	s.now = now
	switch e := ev.(type) {
	case Started:
		s.begin()
	case StopRequested:
		s.stopping = true
	case CallFinished:
		s.onCallFinished(e)
	case RunsCounted:
		s.out = append(s.out, Finished{Summary: s.summarise(e.ByKey)})
		return s.out
	case TimerFired:
	}
	s.sendDue()
	s.requestRuns()
	return s.out
}

func (s *State) begin() {
	s.start = s.now
	for i := range s.sources {
		s.drawNextArrival(i, s.now)
	}
}

// sendDue sends the requests that are due and sets the timer for the next one.
func (s *State) sendDue() {
	if s.start.IsZero() || s.stopping {
		return
	}
	end := s.start.Add(s.cfg.Duration)
	wake := end
	for i, src := range s.sources {
		for !src.nextArrival.After(s.now) && src.nextArrival.Before(end) {
			s.send(src)
			s.drawNextArrival(i, src.nextArrival)
		}
		if src.nextArrival.Before(wake) {
			wake = src.nextArrival
		}
	}
	if !s.now.Before(end) {
		s.stopping = true
		return
	}
	s.out = append(s.out, SetTimer{At: wake})
}

// drawNextArrival draws the time of a service's next request after a given time.
// Intervals are exponentially distributed, at the rate of the burst or quiet
// period in which they begin.
func (s *State) drawNextArrival(i int, after time.Time) {
	src := s.sources[i]
	for {
		gap := time.Duration(-math.Log(s.uniform()) / s.rate(i, after) * float64(time.Second))
		window := after.Sub(s.start) / s.cfg.BurstDuration
		windowEnd := s.start.Add((window + 1) * s.cfg.BurstDuration)
		if src.nextArrival = after.Add(gap); src.nextArrival.Before(windowEnd) {
			return
		}
		after = windowEnd
		if after.Sub(s.start) > s.cfg.Duration {
			src.nextArrival = after
			return
		}
	}
}

func (s *State) rate(i int, at time.Time) float64 {
	window := int(at.Sub(s.start) / s.cfg.BurstDuration)
	if window%len(s.sources) == i {
		return s.sources[i].Rate * s.cfg.BurstFactor
	}
	return s.sources[i].Rate * s.cfg.QuietFactor
}

func (s *State) send(src *source) {
	src.counts.Requests++
	if len(s.calls) >= s.cfg.MaxInFlight {
		src.counts.NotSent++
		return
	}
	s.lastID++
	c := &call{source: src, member: s.drawMember(), key: s.newKey()}
	s.calls[s.lastID] = c
	if !src.Idempotent {
		src.atMostOnce = append(src.atMostOnce, c.key)
	}
	s.out = append(s.out, Call{
		ID:      s.lastID,
		Entry:   int(s.lastID % uint64(s.cfg.Entries)),
		Service: src.Name,
		Member:  c.member,
		Key:     c.key,
	})
}

func (s *State) onCallFinished(e CallFinished) {
	c, ok := s.calls[e.ID]
	if !ok {
		return
	}
	delete(s.calls, e.ID)
	answered := c.source.counts.Answered
	c.source.count(e, c.key)
	if c.source.counts.Answered > answered {
		s.countMember(c.member)
	}
}

// countMember counts an answer to a member, and whether it came before the end
// of Duration.
func (s *State) countMember(name fleet.MemberName) {
	m := s.members[name]
	m.Answered++
	if s.now.Sub(s.start) <= s.cfg.Duration {
		m.InTime++
	}
}

// drawMember draws the member that sends the next request.
func (s *State) drawMember() fleet.MemberName {
	members := s.cfg.Members
	if s.cfg.GreedyShare == 0 || len(members) == 1 {
		return members[s.random.Next()%uint64(len(members))]
	}
	if s.uniform() <= s.cfg.GreedyShare {
		return members[0]
	}
	return members[1+s.random.Next()%uint64(len(members)-1)]
}

// requestRuns requests the endpoints' counts once the run is stopping and no
// call is in flight.
func (s *State) requestRuns() {
	if !s.stopping || s.runsRequested || len(s.calls) > 0 {
		return
	}
	s.runsRequested = true
	s.out = append(s.out, CountRuns{})
}

// newKey returns a UUIDv7 for the present time.
func (s *State) newKey() fleet.Key {
	const (
		version7 = 0x70
		variant  = 0x80
	)
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(s.now.UnixMilli())<<16|s.random.Next()>>48)
	binary.BigEndian.PutUint64(id[8:], s.random.Next())
	id[6] = version7 | id[6]&0x0f
	id[8] = variant | id[8]&0x3f
	return fleet.Key(id.String())
}

// uniform returns a number in (0, 1].
func (s *State) uniform() float64 {
	const mantissa = 1 << 53
	return (float64(s.random.Next()>>11) + 1) / mantissa
}
