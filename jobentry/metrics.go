package jobentry

import (
	"sync"
	"time"

	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/uber-go/tally/v4"
)

// latencyBuckets are the upper bounds of a histogram's buckets, from 1 ms to 4 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)

// metrics holds the tally counters and gauges by name and reason, and the histograms by name.
type metrics struct {
	scope tally.Scope

	mu         sync.Mutex
	counters   map[counterKey]tally.Counter
	gauges     map[counterKey]tally.Gauge
	histograms map[string]tally.Histogram
}

type counterKey struct {
	name   string
	reason effect.Reason
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope: scope, counters: make(map[counterKey]tally.Counter), gauges: make(map[counterKey]tally.Gauge),
		histograms: make(map[string]tally.Histogram),
	}
}

// act carries out an effect on a metric.
func (m *metrics) act(out effect.Effect) {
	switch o := out.(type) {
	case effect.CountJob:
		m.count(o)
	case effect.SetJobGauge:
		m.setGauge(o)
	case effect.Observe:
		m.observe(o)
	}
}

func (m *metrics) count(c effect.CountJob) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := counterKey{c.Name, c.Reason}
	counter, ok := m.counters[key]
	if !ok {
		// All counters of a name need the same labels: the label stays, empty, on one
		// without a reason.
		counter = m.scope.Tagged(map[string]string{"reason": string(c.Reason)}).Counter(c.Name)
		m.counters[key] = counter
	}
	counter.Inc(c.N)
}

func (m *metrics) setGauge(g effect.SetJobGauge) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := counterKey{g.Name, g.Reason}
	gauge, ok := m.gauges[key]
	if !ok {
		gauge = m.scope.Tagged(map[string]string{"reason": string(g.Reason)}).Gauge(g.Name)
		m.gauges[key] = gauge
	}
	gauge.Update(float64(g.Value))
}

func (m *metrics) observe(o effect.Observe) { m.recordDuration(o.Name, o.Duration) }

func (m *metrics) recordDuration(name string, d time.Duration) {
	m.mu.Lock()
	h, ok := m.histograms[name]
	if !ok {
		h = m.scope.Histogram(name+"_seconds", latencyBuckets)
		m.histograms[name] = h
	}
	m.mu.Unlock()
	h.RecordDuration(d)
}
