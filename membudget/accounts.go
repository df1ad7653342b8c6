package membudget

import (
	"math/bits"
	"time"
)

const (
	// bodyGrace is how long a call is safe from others that hold as much as it does. It is
	// longer than the round trips and retransmissions of a sound connection.
	bodyGrace = time.Second
	// stallTimeout is the time without a byte after which a connection is closed, also if
	// nothing is short. A client that sends anything in that time goes on.
	stallTimeout = 30 * time.Second
	// freeHeaderBytes of a request's headers are part of the connection's charge.
	freeHeaderBytes = 4 << 10
	// maxHeaderBytes is the most that the HTTP server keeps of headers. More bytes belong
	// to a body that it skips.
	maxHeaderBytes = 40 << 10
	// headerFactor is the memory that headers take, for each byte of them: the bytes read
	// and the decoded fields.
	headerFactor = 2
	// callNumerator and callDenominator give the part of the budget that calls without a
	// connection of their own may take.
	callNumerator, callDenominator = 3, 4
	// provenShare is the part of a port that connections between two requests may keep
	// while others wait for a place.
	provenShare = 2
	// unreadWait is the least time between two looks for a place while the server has read
	// from none of the connections that may be evicted.
	unreadWait = 10 * time.Millisecond
	// unprovenFactor is the memory that a stream may take for each byte of its first message:
	// frames of one byte take several times their size.
	unprovenFactor = 8
	// sizeClasses is the number of classes of what calls hold, each twice the one before.
	sizeClasses = 16
)

// Reason says why a call or connection was evicted.
type Reason string

// The reasons, which are values of the label reason of the metric client_refusals.
const (
	// ReasonBytes: the budget is spent and no other call can be evicted.
	ReasonBytes Reason = "bytes"
	// ReasonHeld: others needed the bytes that the call held. Its label keeps the name that
	// operators know.
	ReasonHeld Reason = "still"
	// ReasonConnections: the port has its most connections open.
	ReasonConnections Reason = "connections"
	// ReasonStalled: nothing moved for stallTimeout.
	ReasonStalled Reason = "stalled"
)

// phase is what a connection is waiting for.
type phase uint8

const (
	// phaseAccepted: for the server to read from it. What the client has sent is not known
	// yet, so it never is evicted.
	phaseAccepted phase = iota
	// phaseIdle: for the first byte of a further request.
	phaseIdle
	// phaseHeaders: for the first request, for the rest of headers, or what a stream sends.
	phaseHeaders
	// phaseBody: for the rest of a body. The call has not run.
	phaseBody
	// phaseBusy: for the answer to a whole request. The call may have run, so it never
	// is evicted.
	phaseBusy
	// phaseAnswer: until the client takes the answer.
	phaseAnswer
	// phaseRefused: until the client takes the refusal of its body.
	phaseRefused
	// phaseClosed: for nothing.
	phaseClosed
)

// account is what one connection holds.
type account struct {
	port  *portAccounts
	phase phase
	// interrupted is the phase to go back to after phaseAnswer.
	interrupted phase
	// proven is set once a whole request has arrived.
	proven bool
	// since is when the connection began to wait for the client: for the rest of its
	// request, for its next one, or until it takes an answer. progress is when bytes last
	// arrived.
	since, progress time.Time
	// bytes is the charge of the current call without that of the connection; headers is
	// the size of its headers, and headerCharge the part of bytes for them.
	bytes, headerCharge int64
	headers             int64
	// heldSince is when the call entered its size class.
	heldSince time.Time
	// wait is the place in the lists of its port, and hold that in the lists of calls that
	// hold bytes.
	wait, hold node
	// conn carries out what is decided; nil in tests.
	conn *Conn
}

// gone reports whether the call was evicted.
func (a *account) gone() bool { return a.phase == phaseRefused || a.phase == phaseClosed }

// victim is a connection that is evicted. Unless it is to be closed, its body is
// refused.
type victim struct {
	*account
	reason Reason
	close  bool
}

// portAccounts are the connections of one port.
type portAccounts struct {
	// maxConnections bounds the connections, each of which is charged with
	// connectionBytes.
	maxConnections  int
	connectionBytes int64
	// grace is how long a client has for each request while others wait for a place.
	grace time.Duration
	// streams is set if connections carry several calls at once.
	streams bool
	count   int
	// unread is the number of connections in phaseAccepted, and proven that of connections
	// that are proven.
	unread, proven int
	// waiting holds the connections that wait for the client in the middle of a request or
	// an answer, and idle those between two requests. Each is ordered by since, the oldest
	// first.
	waiting, idle list
}

// accounts decides which calls and connections are evicted. It has no clock and no locks.
//
// Load pattern: many clients at once send bodies of legal size, in any pieces, never complete
// them, keep their connections open, and connect again when they are closed. Beside them
// ordinary clients send requests that are whole after a round trip.
type accounts struct {
	limit, held int64
	// calls is the part of held of calls without a connection of their own.
	calls int64
	ports []*portAccounts
	// holders holds the calls that hold bytes and are not whole, by size class, and late
	// those that are evicted only after their grace: calls whose answer is being taken, and
	// streams that have carried a message. Each list is ordered by heldSince.
	holders [sizeClasses]list
	late    list
}

// open adds a connection. If its port is full, the connection that is evicted for it is
// returned. If ok is false, the port has no place yet: wait is the time until a connection
// may be evicted, or zero if none waits for its client.
func (s *accounts) open(a *account, now time.Time) (victims []victim, wait time.Duration, ok bool) {
	p := a.port
	if p.count >= p.maxConnections {
		v, wait := p.candidate(now)
		if v == nil {
			return nil, wait, false
		}
		s.close(v)
		victims = append(victims, victim{account: v, reason: ReasonConnections, close: true})
	}
	p.count++
	p.unread++
	s.held += p.connectionBytes
	a.phase, a.since, a.progress = phaseAccepted, now, now
	return victims, 0, true
}

// candidate returns the connection that is evicted for a new one: the one whose request has
// been incomplete for the longest time, or the one that has been idle for the longest time if
// idle ones have more than their part of the port. Without one, wait is the time until there
// is one if nothing changes.
func (p *portAccounts) candidate(now time.Time) (v *account, wait time.Duration) {
	from := &p.waiting
	if p.idle.size > p.maxConnections/provenShare || from.first() == nil && p.unread == 0 {
		from = &p.idle
	}
	v = from.first()
	if v == nil && p.unread > 0 {
		return nil, max(p.grace, unreadWait)
	}
	if v == nil {
		return nil, 0
	}
	if rest := p.grace - now.Sub(v.since); rest > 0 {
		return nil, rest
	}
	return v, 0
}

// crowded reports whether answers should end their connections: the port is full, and proven
// connections have more than their part of it.
func (p *portAccounts) crowded() bool {
	return p.count >= p.maxConnections && p.proven > p.maxConnections/provenShare
}

func (p *portAccounts) listOf(ph phase) *list {
	switch ph {
	case phaseIdle:
		return &p.idle
	case phaseHeaders, phaseBody, phaseAnswer, phaseRefused:
		return &p.waiting
	default:
		return nil
	}
}

// begin records that the server reads from a connection, so that it waits for the client.
func (s *accounts) begin(a *account, now time.Time) {
	if a.phase == phaseAccepted {
		s.enter(a, phaseHeaders, now)
	}
}

// enter changes the phase of a connection. The time that a request is incomplete goes on from
// its headers to its body.
func (s *accounts) enter(a *account, ph phase, now time.Time) {
	if a.phase == phaseClosed || a.phase == phaseRefused && ph != phaseClosed {
		return
	}
	if a.phase == phaseAccepted {
		a.port.unread--
	}
	goesOn := a.phase == phaseHeaders && ph == phaseBody
	a.phase, a.progress = ph, now
	if !goesOn {
		a.since = now
		a.wait.leave()
		if to := a.port.listOf(ph); to != nil {
			to.push(&a.wait, a)
		}
	}
	if ph == phaseBusy && !a.proven {
		a.proven = true
		a.port.proven++
	}
	s.file(a, now)
}

// file puts a call into the list of those that hold as much as it does.
func (s *accounts) file(a *account, now time.Time) {
	to := s.holdersOf(a)
	if to != nil && a.hold.in == to && a.phase != phaseAnswer {
		return
	}
	a.hold.leave()
	if to != nil {
		a.heldSince = now
		to.push(&a.hold, a)
	}
}

func (s *accounts) holdersOf(a *account) *list {
	if a.bytes == 0 {
		return nil
	}
	switch a.phase {
	case phaseHeaders, phaseBody:
		return &s.holders[sizeClass(a.bytes)]
	case phaseAnswer, phaseIdle: // only a stream holds bytes while it is idle
		return &s.late
	default:
		return nil
	}
}

func sizeClass(bytes int64) int {
	return min(bits.Len64(uint64(max(0, bytes)/firstBytes)), sizeClasses-1)
}

// received records bytes that arrived on a connection. If ok is false, the connection
// has to be closed.
func (s *accounts) received(a *account, n int, now time.Time) (victims []victim, ok bool) {
	a.progress = now
	if a.phase == phaseIdle && !a.port.streams {
		s.enter(a, phaseHeaders, now)
	}
	if a.port.streams && a.proven {
		return s.reserve(a, int64(n), now)
	}
	if a.port.streams {
		return s.reserve(a, int64(n)*unprovenFactor, now)
	}
	if a.phase != phaseHeaders {
		return nil, true
	}
	a.headers += int64(n)
	more := max(0, min(a.headers, maxHeaderBytes)-freeHeaderBytes)*headerFactor - a.headerCharge
	if more == 0 {
		return nil, true
	}
	victims, ok = s.reserve(a, more, now)
	if ok {
		a.headerCharge += more
	}
	return victims, ok
}

// delivered records that a whole message of a stream has arrived.
func (s *accounts) delivered(a *account, now time.Time) {
	if a.gone() {
		return
	}
	if !a.proven {
		a.proven = true
		a.port.proven++
	}
	s.release(a, a.bytes, now)
	s.enter(a, phaseIdle, now)
}

// startAnswer records that an answer is written, and finishAnswer that the client has
// taken it.
func (s *accounts) startAnswer(a *account, now time.Time) {
	s.begin(a, now) // a server may write before it reads
	if !a.gone() {
		a.interrupted = a.phase
		s.enter(a, phaseAnswer, now)
	}
}

func (s *accounts) finishAnswer(a *account, now time.Time) {
	if a.phase == phaseAnswer {
		s.enter(a, a.interrupted, now)
	}
}

// reserve charges bytes to a call, which is nil for a call without a connection of its
// own. Calls that are not whole are evicted for it. If that is not enough, ok is false and
// nothing is charged.
func (s *accounts) reserve(a *account, n int64, now time.Time) (victims []victim, ok bool) {
	if a != nil && a.gone() {
		return nil, false
	}
	if a == nil && s.calls+n > s.limit*callNumerator/callDenominator {
		return nil, false
	}
	for s.held+n > s.limit {
		v := s.holder(a, n, now)
		if v == nil {
			return victims, false
		}
		victims = append(victims, s.evict(v, ReasonHeld, now))
	}
	s.charge(a, n, now)
	return victims, true
}

func (s *accounts) charge(a *account, n int64, now time.Time) {
	s.held += n
	if a == nil {
		s.calls += n
		return
	}
	a.bytes += n
	s.file(a, now)
}

// holder returns the call that is evicted for the n bytes that a needs. A whole call evicts any
// that is not whole, the largest first. One that is not whole itself evicts those that hold
// more than it will, and others only if they began before it and have had their grace: so small
// requests are served beside a crowd of large ones, and among equals the newest one completes.
func (s *accounts) holder(a *account, n int64, now time.Time) *account {
	class := -1
	if a != nil && a.phase != phaseBusy {
		class = sizeClass(a.bytes + n)
	}
	for k := sizeClasses - 1; k >= 0; k-- {
		v := s.holders[k].first()
		if v == a && v != nil {
			v = v.hold.nextOwner()
		}
		if v != nil && (k > class || v.since.Before(a.since) && now.Sub(v.heldSince) >= bodyGrace) {
			return v
		}
	}
	if v := s.late.first(); v != nil && v != a && now.Sub(v.heldSince) >= bodyGrace {
		return v
	}
	return nil
}

// evict releases what a call holds. A call whose body is read is refused; any other
// connection is closed.
func (s *accounts) evict(a *account, reason Reason, now time.Time) victim {
	if a.phase == phaseBody {
		s.release(a, a.bytes, now)
		s.enter(a, phaseRefused, now)
		return victim{account: a, reason: reason}
	}
	s.close(a)
	return victim{account: a, reason: reason, close: true}
}

// release returns bytes of a call to the budget.
func (s *accounts) release(a *account, n int64, now time.Time) {
	if a == nil {
		s.calls -= n
		s.held -= n
		return
	}
	n = min(n, a.bytes) // an evicted call holds nothing any more
	a.bytes -= n
	s.held -= n
	if n > 0 {
		s.file(a, now)
	}
}

// end ends a call: its connection waits for the next one.
func (s *accounts) end(a *account, now time.Time) {
	s.release(a, a.bytes, now)
	a.headers, a.headerCharge = 0, 0
	s.enter(a, phaseIdle, now)
}

// close removes a connection.
func (s *accounts) close(a *account) {
	if a.phase == phaseClosed {
		return
	}
	s.release(a, a.bytes, a.progress)
	s.enter(a, phaseClosed, a.progress)
	s.held -= a.port.connectionBytes
	a.port.count--
	if a.proven {
		a.port.proven--
	}
}

// stalled closes and returns the connections on which nothing has moved for
// stallTimeout. Idle connections have a limit of their own.
func (s *accounts) stalled(now time.Time) []victim {
	var out []victim
	for _, p := range s.ports {
		if p.streams {
			continue
		}
		for a := p.waiting.first(); a != nil && now.Sub(a.since) >= stallTimeout; {
			next := a.wait.nextOwner()
			if now.Sub(a.progress) >= stallTimeout {
				s.close(a)
				out = append(out, victim{account: a, reason: ReasonStalled, close: true})
			}
			a = next
		}
	}
	return out
}

// connections returns the number of open connections.
func (s *accounts) connections() int {
	n := 0
	for _, p := range s.ports {
		n += p.count
	}
	return n
}
