// Package membudget bounds the memory and the connections that all open clients of a
// process hold together. One budget of bytes counts the buffers of connections, headers
// and bodies as they arrive, and what calls hold until they are answered. When it is
// spent, the largest calls are evicted before smaller ones; at a full port, those that have
// been incomplete for the longest time. A call is evicted only before it is carried out.
// What the kernel holds of connections is bounded by the sizes of their socket buffers.
package membudget

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// watchInterval is the time between two looks for stalled connections while any
	// connection is open.
	watchInterval = 5 * time.Second
	// logInterval is the minimum time between two log lines.
	logInterval = time.Second
)

// Errors of a call that is evicted or refused. The call has not run.
var (
	// ErrEvicted means that the memory for open calls is used up.
	ErrEvicted = errors.New("the memory for open calls is used up")
	// ErrTooLarge means that a body exceeds its limit.
	ErrTooLarge = errors.New("the body is too large")
)

// RetryAfter is the time after which an evicted call can be tried again: calls that hold as
// much can be evicted for it by then.
const RetryAfter = bodyGrace

// Config holds the settings of a Budget.
type Config struct {
	// Bytes bounds what all open calls and connections hold.
	Bytes   int64
	Metrics tally.Scope
	Logger  *slog.Logger
}

// Budget is the budget of a process. A nil Budget has no bounds.
type Budget struct {
	logger         *slog.Logger
	held, open     tally.Gauge
	refusalsByName map[Reason]tally.Counter

	mu       sync.Mutex
	accounts accounts
	watching bool
	// refused counts refusals that are not logged yet, by reason.
	refused  map[Reason]int64
	loggedAt time.Time
}

// New returns a budget without ports.
func New(cfg Config) *Budget {
	b := &Budget{
		logger: cfg.Logger, held: cfg.Metrics.Gauge("client_bytes"), open: cfg.Metrics.Gauge("client_connections"),
		refusalsByName: make(map[Reason]tally.Counter), refused: make(map[Reason]int64),
		accounts: accounts{limit: cfg.Bytes},
	}
	for _, r := range []Reason{ReasonBytes, ReasonHeld, ReasonConnections, ReasonStalled} {
		b.refusalsByName[r] = cfg.Metrics.Tagged(map[string]string{"reason": string(r)}).Counter("client_refusals")
	}
	return b
}

// Reserve charges bytes to a call that has no connection of its own until release is
// called. If ok is false, the budget is spent.
func (b *Budget) Reserve(bytes int64) (release func(), ok bool) {
	if !b.reserve(nil, bytes) {
		return nil, false
	}
	return func() { b.update(func(now time.Time) { b.accounts.release(nil, bytes, now) }) }, true
}

// update changes the accounts.
func (b *Budget) update(change func(now time.Time)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(time.Now())
}

// decide changes the accounts and their metrics, and carries out which connections give
// way.
func (b *Budget) decide(change func(now time.Time) ([]victim, bool)) bool {
	now := time.Now()
	victims, ok := b.locked(func() ([]victim, bool) { return change(now) })
	b.carryOut(victims)
	return ok
}

func (b *Budget) locked(change func() ([]victim, bool)) ([]victim, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.report()
	return change()
}

// report sets the gauges. b.mu is held.
func (b *Budget) report() {
	b.held.Update(float64(b.accounts.held))
	b.open.Update(float64(b.accounts.connections()))
}

func (b *Budget) reserve(a *account, bytes int64) bool {
	gone := false
	ok := b.decide(func(now time.Time) ([]victim, bool) {
		gone = a != nil && a.gone()
		return b.accounts.reserve(a, bytes, now)
	})
	if !ok && !gone {
		b.count(ReasonBytes)
	}
	return ok
}

// carryOut closes and refuses connections that are evicted.
func (b *Budget) carryOut(victims []victim) {
	for _, v := range victims {
		b.count(v.reason)
		if v.close {
			_ = v.conn.Conn.Close() // the connection is given up
			v.conn.port.signal()
			continue
		}
		v.conn.refuseBody()
	}
}

// count counts a refusal and logs refusals at most once in logInterval.
func (b *Budget) count(r Reason) {
	b.refusalsByName[r].Inc(1)
	b.update(func(now time.Time) {
		b.refused[r]++
		b.logRefusals(now)
	})
}

// logRefusals logs the refusals since the last line. b.mu is held.
func (b *Budget) logRefusals(now time.Time) {
	if len(b.refused) == 0 || now.Sub(b.loggedAt) < logInterval {
		return
	}
	b.loggedAt = now
	fields := []any{"held_bytes", b.accounts.held, "open_connections", b.accounts.connections()}
	for r, n := range b.refused {
		fields = append(fields, "refused_"+string(r), n)
	}
	clear(b.refused)
	b.logger.Warn("clients refused", fields...)
}

// watch closes stalled connections from now on, as long as any are open. b.mu is held.
func (b *Budget) watch() {
	if b.watching {
		return
	}
	b.watching = true
	time.AfterFunc(watchInterval, func() {
		b.decide(func(now time.Time) ([]victim, bool) {
			b.logRefusals(now)
			victims := b.accounts.stalled(now)
			b.watching = false
			if b.accounts.connections() > 0 {
				b.watch()
			}
			return victims, true
		})
	})
}
