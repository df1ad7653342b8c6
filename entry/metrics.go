package entry

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/uber-go/tally/v4"
)

var counterNames = map[effect.Counter]string{
	effect.RequestsAnswered:  "requests_answered",
	effect.RequestsRefused:   "requests_refused",
	effect.AttemptsRetried:   "attempts_retried",
	effect.LateAnswers:       "late_answers",
	effect.ClaimsMade:        "claims_made",
	effect.ClaimsReleased:    "claims_released",
	effect.ClaimsInDoubt:     "claims_in_doubt",
	effect.AnswersReplayed:   "answers_replayed",
	effect.DigestMismatches:  "digest_mismatches",
	effect.RecordsRelayed:    "records_relayed",
	effect.StalePeerMessages: "stale_peer_messages",
	effect.HoldersChanged:    "holders_changed",
	effect.HolderFallbacks:   "holder_fallbacks",
	effect.SlotsLeased:       "slots_leased",
	effect.LeasesReclaimed:   "leases_reclaimed",
	effect.GrantsReturned:    "grants_returned",
	effect.InstancesEjected:  "instances_ejected",
	effect.MovesProposed:     "moves_proposed",
	effect.InstancesMoved:    "instances_moved",
	effect.DrainsOverdue:     "drains_overdue",
}

var gaugeNames = map[effect.GaugeName]string{
	effect.BufferInstances: "buffer_idle_instances",
	effect.BufferCost:      "buffer_cost",
	effect.RollOutSeconds:  "roll_out_seconds",
	effect.WaveSeconds:     "wave_seconds",
	effect.Moves:           "moves",
	effect.ServiceDemand:   "service_demand_slots",
	effect.BudgetBurnt:     "budget_burnt_ratio",
	effect.BudgetBurnRate:  "budget_burn_rate",
}

// metrics caches the tally counters by their labels. Only the control goroutine
// may use it, except for methods that say otherwise.
type metrics struct {
	scope    tally.Scope
	counters map[counterKey]tally.Counter
}

// countSendFailure counts a message that was not sent to a peer. Any goroutine
// may call it.
func (m *metrics) countSendFailure(to fleet.EntryID) {
	m.scope.Tagged(map[string]string{"peer": string(to)}).Counter("peer_messages_failed").Inc(1)
}

// countUnreadable counts a message from a peer that could not be decoded. Any
// goroutine may call it.
func (m *metrics) countUnreadable(from fleet.EntryID) {
	m.scope.Tagged(map[string]string{"peer": string(from)}).Counter("peer_messages_unreadable").Inc(1)
}

type counterKey struct {
	name    effect.Counter
	service fleet.ServiceName
	reason  fleet.Reason
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{scope: scope, counters: make(map[counterKey]tally.Counter)}
}

func (m *metrics) count(o effect.Count) {
	key := counterKey{name: o.Name, service: o.Service, reason: o.Reason}
	c, ok := m.counters[key]
	if !ok {
		c = m.scope.Tagged(key.tags()).Counter(counterNames[o.Name])
		m.counters[key] = c
	}
	c.Inc(o.N)
}

// tags returns the labels of the counter. The label names are the same for every
// counter, as Prometheus requires.
func (k counterKey) tags() map[string]string {
	return map[string]string{"service": string(k.service), "reason": k.reason.String()}
}

// set sets a gauge. All gauges have the same label names.
func (m *metrics) set(o effect.Gauge) {
	m.scope.Tagged(map[string]string{"service": string(o.Service)}).Gauge(gaugeNames[o.Name]).Update(o.Value)
}
