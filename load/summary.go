package load

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/banyanrail/banyanrail/fleet"
)

// Counts counts requests by outcome. Each request that was sent is counted in
// exactly one of the fields from Answered to Unreachable.
type Counts struct {
	Requests int `json:"requests"`
	// NotSent were not sent, because MaxInFlight requests were in flight.
	NotSent int `json:"not_sent"`
	// Answered got a complete and correct answer.
	Answered int `json:"answered"`
	// RefusedNotRun were refused with a statement that they did not run.
	RefusedNotRun int `json:"refused_not_run"`
	// Unknown got an answer that leaves open whether they ran.
	Unknown int `json:"unknown"`
	// Failed got an error status from an endpoint.
	Failed int `json:"failed"`
	// Lost got no answer before the time-out.
	Lost int `json:"lost"`
	// Crossed got the answer to another request, or a corrupted one.
	Crossed int `json:"crossed"`
	// CutOff lost their connection after they were sent.
	CutOff int `json:"cut_off"`
	// Unreachable could not connect to the entry.
	Unreachable int `json:"unreachable"`
	// Doubled ran more than once although their service is not idempotent.
	// RanThoughRefused ran although they were refused as not run. Both are nil if
	// the endpoints can't be queried.
	Doubled          *int `json:"doubled,omitempty"`
	RanThoughRefused *int `json:"ran_though_refused,omitempty"`
}

// Latency holds quantiles of the latency of answered requests, in milliseconds.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// ServiceSummary is the result of a run for one service.
type ServiceSummary struct {
	Counts
	Latency Latency `json:"latency"`
}

// MemberSummary is the result of a run for one member.
type MemberSummary struct {
	Answered int `json:"answered"`
	// InTime were answered before the end of Config.Duration.
	InTime int `json:"in_time"`
}

// Summary is the result of a run.
type Summary struct {
	Counts
	Latency  Latency                              `json:"latency"`
	Seconds  float64                              `json:"seconds"`
	Services map[fleet.ServiceName]ServiceSummary `json:"services"`
	// InTime were answered before the end of Config.Duration.
	InTime  int                                `json:"in_time"`
	Members map[fleet.MemberName]MemberSummary `json:"members"`
	// Fleet holds costs of the run as an entry reports them. It is nil if no entry
	// was queried.
	Fleet *FleetSummary `json:"fleet,omitempty"`
}

// FleetSummary holds the costs of a run.
type FleetSummary struct {
	// BufferCost is the price of idle instances during the run.
	BufferCost          float64 `json:"buffer_cost"`
	BufferInstanceHours float64 `json:"buffer_instance_hours"`
	// RollOuts is the number of versions that came into force during the run.
	// LastRollOut and LongestRollOut are in milliseconds and cover the time since
	// the queried entry started.
	RollOuts       int     `json:"roll_outs"`
	LastRollOut    float64 `json:"last_roll_out_ms"`
	LongestRollOut float64 `json:"longest_roll_out_ms"`
	// Moves is the number of moves between pools during the run.
	Moves uint64 `json:"moves"`
}

// count counts the outcome of a call.
func (src *source) count(e CallFinished, key fleet.Key) {
	n := &src.counts
	switch {
	case e.Answer == AnswerUnreachable:
		n.Unreachable++
	case e.Answer == AnswerTimedOut:
		n.Lost++
	case e.Answer == AnswerConnectionLost:
		n.CutOff++
	case e.Ran == fleet.RanNo:
		n.RefusedNotRun++
		src.refused = append(src.refused, key)
	case e.Ran == fleet.RanUnknown:
		n.Unknown++
	case e.Status >= http.StatusBadRequest:
		n.Failed++
	case !e.BodyMatches:
		n.Crossed++
	default:
		n.Answered++
		_ = src.latency.RecordValue(min(e.Elapsed, maxLatency).Microseconds()) // bounded by maxLatency
	}
}

// summarise adds up the counts of all services. Runs is nil if the endpoints
// were not queried.
func (s *State) summarise(runs map[fleet.Key]int) Summary {
	sum := Summary{Seconds: s.now.Sub(s.start).Seconds(), Services: make(map[fleet.ServiceName]ServiceSummary), Members: make(map[fleet.MemberName]MemberSummary)}
	all := hdrhistogram.New(1, maxLatency.Microseconds(), latencyPrecision)
	for _, src := range s.sources {
		if runs != nil {
			src.counts.Doubled = countAbove(runs, src.atMostOnce, 1)
			src.counts.RanThoughRefused = countAbove(runs, src.refused, 0)
		}
		sum.add(src.counts)
		all.Merge(src.latency)
		sum.Services[src.Name] = ServiceSummary{Counts: src.counts, Latency: latencyOf(src.latency)}
	}
	sum.Latency = latencyOf(all)
	for name, m := range s.members {
		sum.Members[name] = *m
		sum.InTime += m.InTime
	}
	return sum
}

// countAbove returns the number of keys that ran more often than allowed.
func countAbove(runs map[fleet.Key]int, keys []fleet.Key, allowed int) *int {
	n := 0
	for _, key := range keys {
		if runs[key] > allowed {
			n++
		}
	}
	return &n
}

func (n *Counts) add(m Counts) {
	n.Requests += m.Requests
	n.NotSent += m.NotSent
	n.Answered += m.Answered
	n.RefusedNotRun += m.RefusedNotRun
	n.Unknown += m.Unknown
	n.Failed += m.Failed
	n.Lost += m.Lost
	n.Crossed += m.Crossed
	n.CutOff += m.CutOff
	n.Unreachable += m.Unreachable
	n.Doubled = sumOf(n.Doubled, m.Doubled)
	n.RanThoughRefused = sumOf(n.RanThoughRefused, m.RanThoughRefused)
}

func sumOf(a, b *int) *int {
	switch {
	case b == nil:
		return a
	case a == nil:
		return b
	}
	sum := *a + *b
	return &sum
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) float64 {
		return float64(h.ValueAtQuantile(q)) * float64(time.Microsecond) / float64(time.Millisecond)
	}
	return Latency{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: at(100)}
}
