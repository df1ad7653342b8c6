// Package load drives a fleet with callers' requests and counts what became of
// them. Services burst in turn: one demands several times its mean, the others
// a small part of theirs.
//
// Like the entries it keeps its state behind a reducer on a loop; Driver makes
// the calls.
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

// Service is one of the services to call.
type Service struct {
	Name       fleet.ServiceName
	Idempotent bool
	// Rate is the mean number of requests a second.
	Rate float64
}

// Config sizes a run.
type Config struct {
	Services []Service
	Members  []fleet.MemberName
	// Entries is the number of entries; calls go to each in turn.
	Entries int
	// Duration is how long requests arrive.
	Duration time.Duration
	// BurstDuration is how long each service bursts before the next one does.
	BurstDuration time.Duration
	// BurstFactor multiplies the rate of the service that bursts, and
	// QuietFactor that of the others.
	BurstFactor float64
	QuietFactor float64
	// MaxInFlight bounds calls at once; arrivals beyond it are not sent.
	MaxInFlight int
	// GreedyShare is the share of requests that the first member sends; zero
	// lets all members send alike.
	GreedyShare float64
	Seed        uint64
}

// Bounds of the histograms of latencies.
const (
	maxLatency       = 5 * time.Minute
	latencyPrecision = 3
)

// State is the state of a run. Only Reduce changes it.
type State struct {
	cfg     Config
	now     time.Time
	start   time.Time
	random  random.Source
	lastID  uint64
	calls   map[uint64]*call
	sources []*source
	members map[fleet.MemberName]*MemberSummary
	ending  bool
	counted bool
	out     []Effect
}

// source is one service's arrivals and counts.
type source struct {
	Service
	next    time.Time
	counts  Counts
	latency *hdrhistogram.Histogram
	// once holds the keys of requests that may run at most once, and refused
	// those that were refused as not run.
	once    []fleet.Key
	refused []fleet.Key
}

type call struct {
	source *source
	member fleet.MemberName
	key    fleet.Key
}

// New returns the state of a run that has not begun.
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

// Reduce folds one event into the state and returns what is to be done. The
// returned slice is valid until the next call.
func (s *State) Reduce(now time.Time, ev Event) []Effect {
	s.out = s.out[:0]
	s.now = now
	switch e := ev.(type) {
	case Started:
		s.begin()
	case StopRequested:
		s.ending = true
	case CallFinished:
		s.onCallFinished(e)
	case RunsCounted:
		s.out = append(s.out, Finished{Summary: s.summarise(e.ByKey)})
		return s.out
	case TimerFired:
	}
	s.arrive()
	s.finish()
	return s.out
}

func (s *State) begin() {
	s.start = s.now
	for i := range s.sources {
		s.draw(i, s.now)
	}
}

// arrive sends the requests that are due and arms the timer for the next.
func (s *State) arrive() {
	if s.start.IsZero() || s.ending {
		return
	}
	end := s.start.Add(s.cfg.Duration)
	wake := end
	for i, src := range s.sources {
		for !src.next.After(s.now) && src.next.Before(end) {
			s.send(src)
			s.draw(i, src.next)
		}
		if src.next.Before(wake) {
			wake = src.next
		}
	}
	if !s.now.Before(end) {
		s.ending = true
		return
	}
	s.out = append(s.out, SetTimer{At: wake})
}

// draw sets the next arrival of a service after a time. Gaps are exponential
// at the rate of the burst or quiet time that they fall into.
func (s *State) draw(i int, after time.Time) {
	src := s.sources[i]
	for {
		gap := time.Duration(-math.Log(s.uniform()) / s.rate(i, after) * float64(time.Second))
		window := after.Sub(s.start) / s.cfg.BurstDuration
		border := s.start.Add((window + 1) * s.cfg.BurstDuration)
		if src.next = after.Add(gap); src.next.Before(border) {
			return
		}
		after = border
		if after.Sub(s.start) > s.cfg.Duration {
			src.next = after
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
	c := &call{source: src, member: s.member(), key: s.key()}
	s.calls[s.lastID] = c
	if !src.Idempotent {
		src.once = append(src.once, c.key)
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

// countMember counts an answer, and whether it came while requests arrived.
func (s *State) countMember(name fleet.MemberName) {
	m := s.members[name]
	m.Answered++
	if s.now.Sub(s.start) <= s.cfg.Duration {
		m.InTime++
	}
}

// member draws who sends the next request.
func (s *State) member() fleet.MemberName {
	members := s.cfg.Members
	if s.cfg.GreedyShare == 0 || len(members) == 1 {
		return members[s.random.Next()%uint64(len(members))]
	}
	if s.uniform() <= s.cfg.GreedyShare {
		return members[0]
	}
	return members[1+s.random.Next()%uint64(len(members)-1)]
}

// finish asks for the endpoints' counts once all calls have ended.
func (s *State) finish() {
	if !s.ending || s.counted || len(s.calls) > 0 {
		return
	}
	s.counted = true
	s.out = append(s.out, CountRuns{})
}

// key returns a UUIDv7 of the time now.
func (s *State) key() fleet.Key {
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
