package membudget

import "time"

const (
	// movingBytes is how much has to arrive on a connection to count as progress.
	// Without it a client that sends a byte now and then would always count as moving.
	movingBytes = 1 << 10
	// stillAfter is the time without progress after which a call may be evicted for others.
	// It is longer than the round trips and retransmissions of a sound connection.
	stillAfter = time.Second
	// stallTimeout is the time without progress after which a connection is closed, also
	// if nothing is short. Any client that sends movingBytes in that time goes on.
	stallTimeout = 30 * time.Second
	// freeHeaderBytes of a request's headers are part of the connection's charge.
	freeHeaderBytes = 4 << 10
	// maxHeaderBytes is the most that the HTTP server keeps of headers. More bytes belong
	// to a body that it skips.
	maxHeaderBytes = 40 << 10
	// headerFactor is the memory that headers take, for each byte of them: the bytes read
	// and the decoded fields.
	headerFactor = 2
)

// Reason says why a call or connection was evicted.
type Reason string

// The reasons, which are values of the label reason of the metric client_refusals.
const (
	// ReasonBytes: the budget is spent and no other call has stood still.
	ReasonBytes Reason = "bytes"
	// ReasonStill: the call had stood still for the longest time when others needed
	// its bytes.
	ReasonStill Reason = "still"
	// ReasonConnections: the port has its most connections open.
	ReasonConnections Reason = "connections"
	// ReasonStalled: nothing moved for stallTimeout.
	ReasonStalled Reason = "stalled"
)

// phase is what a connection is waiting for.
type phase uint8

const (
	// phaseIdle: for the first byte of a request.
	phaseIdle phase = iota
	// phaseHeaders: for the rest of the headers, or what a stream sends.
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
	// progress is when the connection last moved, and unmarked the bytes since then.
	progress time.Time
	unmarked int
	// bytes is the charge of the current call without that of the connection; headers is
	// the size of its headers, and headerCharge the part of bytes for them.
	bytes, headerCharge int64
	headers             int64
	// list is the list that the account is in, if any, by progress.
	list       *list
	prev, next *account
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
	// streams is set if connections carry several calls at once: they are never idle,
	// and never whole.
	streams bool
	count   int
	// idle holds the connections in phaseIdle, and open all others that wait for the
	// client. Each is ordered by progress, the oldest first.
	idle, open list
}

// accounts decides which calls and connections are evicted. It has no clock and no locks.
//
// Load pattern: many clients at once send bodies of legal size, in any pieces, stop just short
// of the end and keep their connections open.
type accounts struct {
	limit, held int64
	ports       []*portAccounts
}

// open adds a connection. If its port is full, the connection that is evicted for it is
// returned; without one, ok is false and the new connection has to be closed.
func (s *accounts) open(a *account, now time.Time) (victims []victim, ok bool) {
	p := a.port
	if p.count >= p.maxConnections {
		v := p.oldest(now)
		if v == nil {
			return nil, false
		}
		s.close(v)
		victims = append(victims, victim{account: v, reason: ReasonConnections, close: true})
	}
	p.count++
	s.held += p.connectionBytes
	a.progress = now
	a.phase = phaseIdle
	if p.streams {
		a.phase = phaseHeaders
	}
	p.listOf(a.phase).push(a)
	return victims, true
}

// oldest returns the connection that is evicted for a new one: the one that has been idle
// for the longest time, or else one that has stood still.
func (p *portAccounts) oldest(now time.Time) *account {
	if p.idle.first != nil {
		return p.idle.first
	}
	if a := p.open.first; a != nil && now.Sub(a.progress) >= stillAfter {
		return a
	}
	return nil
}

func (p *portAccounts) listOf(ph phase) *list {
	switch ph {
	case phaseIdle:
		return &p.idle
	case phaseHeaders, phaseBody, phaseAnswer, phaseRefused:
		return &p.open
	default:
		return nil
	}
}

// enter changes the phase of a connection, which counts as progress.
func (s *accounts) enter(a *account, ph phase, now time.Time) {
	if a.phase == phaseClosed || a.phase == phaseRefused && ph != phaseClosed {
		return
	}
	if a.list != nil {
		a.list.remove(a)
	}
	a.phase, a.progress, a.unmarked = ph, now, 0
	if to := a.port.listOf(ph); to != nil {
		to.push(a)
	}
}

// received records bytes that arrived on a connection. If ok is false, the connection
// has to be closed.
func (s *accounts) received(a *account, n int, now time.Time) (victims []victim, ok bool) {
	switch a.phase {
	case phaseIdle:
		s.enter(a, phaseHeaders, now)
	case phaseHeaders, phaseBody:
		s.moved(a, n, now)
	default:
		return nil, true
	}
	if a.phase != phaseHeaders || a.port.streams {
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

// moved records progress of a connection.
func (s *accounts) moved(a *account, n int, now time.Time) {
	a.unmarked += n
	if in := a.list; in != nil && a.unmarked >= movingBytes {
		a.unmarked, a.progress = 0, now
		in.remove(a)
		in.push(a)
	}
}

// startAnswer records that an answer is written, and finishAnswer that the client has
// taken it.
func (s *accounts) startAnswer(a *account, now time.Time) {
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
// own. The calls that have stalled for the longest time are evicted. If that is not
// enough, ok is false and nothing is charged.
func (s *accounts) reserve(a *account, n int64, now time.Time) (victims []victim, ok bool) {
	if a != nil && a.gone() {
		return nil, false
	}
	for s.held+n > s.limit {
		v := s.stillest(a, now)
		if v == nil {
			return victims, false
		}
		victims = append(victims, s.evict(v, ReasonStill, now))
	}
	s.charge(a, n)
	return victims, true
}

func (s *accounts) charge(a *account, n int64) {
	s.held += n
	if a != nil {
		a.bytes += n
	}
}

// stillest returns the call, other than a, that has stood still for the longest time of
// all ports. Connections of streams are not charged for what they carry.
func (s *accounts) stillest(a *account, now time.Time) *account {
	var out *account
	for _, p := range s.ports {
		v := p.open.first
		if v == a && v != nil {
			v = v.next
		}
		if p.streams || v == nil || now.Sub(v.progress) < stillAfter {
			continue
		}
		if out == nil || v.progress.Before(out.progress) {
			out = v
		}
	}
	return out
}

// evict releases what a call holds. A call whose body is read is refused; any other
// connection is closed.
func (s *accounts) evict(a *account, reason Reason, now time.Time) victim {
	if a.phase == phaseBody {
		s.release(a, a.bytes)
		s.enter(a, phaseRefused, now)
		return victim{account: a, reason: reason}
	}
	s.close(a)
	return victim{account: a, reason: reason, close: true}
}

// release returns bytes of a call to the budget.
func (s *accounts) release(a *account, n int64) {
	if a != nil {
		n = min(n, a.bytes) // an evicted call holds nothing any more
		a.bytes -= n
	}
	s.held -= n
}

// end ends a call: its connection waits for the next one.
func (s *accounts) end(a *account, now time.Time) {
	s.release(a, a.bytes)
	a.headers, a.headerCharge = 0, 0
	s.enter(a, phaseIdle, now)
}

// close removes a connection.
func (s *accounts) close(a *account) {
	if a.phase == phaseClosed {
		return
	}
	s.release(a, a.bytes)
	s.enter(a, phaseClosed, a.progress)
	s.held -= a.port.connectionBytes
	a.port.count--
}

// stalled closes and returns the connections on which nothing has moved for
// stallTimeout. Idle connections have a limit of their own.
func (s *accounts) stalled(now time.Time) []victim {
	var out []victim
	for _, p := range s.ports {
		if p.streams {
			continue
		}
		for a := p.open.first; a != nil && now.Sub(a.progress) >= stallTimeout; a = p.open.first {
			s.close(a)
			out = append(out, victim{account: a, reason: ReasonStalled, close: true})
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

// list is a list of accounts that takes no memory of its own.
type list struct{ first, last *account }

func (l *list) push(a *account) {
	a.list, a.prev, a.next = l, l.last, nil
	if l.last != nil {
		l.last.next = a
	} else {
		l.first = a
	}
	l.last = a
}

func (l *list) remove(a *account) {
	if a.prev != nil {
		a.prev.next = a.next
	} else {
		l.first = a.next
	}
	if a.next != nil {
		a.next.prev = a.prev
	} else {
		l.last = a.prev
	}
	a.list, a.prev, a.next = nil, nil, nil
}
