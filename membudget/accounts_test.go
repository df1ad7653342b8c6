package membudget

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const testGrace = 250 * time.Millisecond

// table is a budget with one port for clients, in virtual time.
type table struct {
	accounts
	now time.Time
}

func newTable(limit int64, connections int) *table {
	port := &portAccounts{maxConnections: connections, connectionBytes: 10, grace: testGrace}
	return &table{accounts: accounts{limit: limit, ports: []*portAccounts{port}}, now: time.Unix(1000, 0)}
}

func (tb *table) pass(d time.Duration) { tb.now = tb.now.Add(d) }

// connect opens a connection from which the server reads at once.
func (tb *table) connect() (a *account, victims []victim, ok bool) {
	a = &account{port: tb.ports[0]}
	victims, _, ok = tb.open(a, tb.now)
	if ok {
		tb.begin(a, tb.now)
	}
	return a, victims, ok
}

// body connects a call that reads a body and holds bytes of it.
func (tb *table) body(t *testing.T, bytes int64) *account {
	t.Helper()
	a, _, ok := tb.connect()
	must.True(t, ok)
	tb.received(a, 100, tb.now)
	tb.enter(a, phaseBody, tb.now)
	_, ok = tb.reserve(a, bytes, tb.now)
	must.True(t, ok)
	return a
}

// served connects a client whose request is answered.
func (tb *table) served(t *testing.T) *account {
	t.Helper()
	a, _, ok := tb.connect()
	must.True(t, ok)
	tb.enter(a, phaseBusy, tb.now)
	tb.end(a, tb.now)
	return a
}

func closed(a *account) []victim {
	return []victim{{account: a, reason: ReasonConnections, close: true}}
}

// TestLargestCallsAreEvictedFirst guards against a crowd of large bodies that keeps out small
// ones, whether it moves or stands still, and against a call that runs or reserves after it was
// told that it has not run.
func TestLargestCallsAreEvictedFirst(t *testing.T) {
	tb := newTable(1000<<10, 100)
	first, second := tb.body(t, 400<<10), tb.body(t, 400<<10)
	tb.pass(time.Millisecond)
	small := tb.body(t, 150<<10)
	for _, a := range []*account{first, second} {
		tb.received(a, 1<<10, tb.now) // they move, which is of no use to them
	}
	next, _, _ := tb.connect()
	victims, ok := tb.reserve(next, 100<<10, tb.now)
	must.True(t, ok)
	must.Eq(t, []victim{{account: first, reason: ReasonHeld}}, victims)
	_, ok = tb.reserve(first, 1, tb.now)
	must.False(t, ok, must.Sprint("an evicted call reserves nothing"))
	tb.enter(first, phaseBusy, tb.now)
	tb.startAnswer(first, tb.now)
	tb.finishAnswer(first, tb.now)
	tb.end(first, tb.now)
	must.Eq(t, phaseRefused, first.phase)
	victims, ok = tb.reserve(small, 400<<10, tb.now)
	must.False(t, ok, must.Sprint("a call does not evict one that holds as much"))
	must.Nil(t, victims)
	tb.pass(bodyGrace)
	victims, ok = tb.reserve(second, 400<<10, tb.now)
	must.False(t, ok, must.Sprint("nor one that began later"))
	must.Nil(t, victims)
	victims, ok = tb.reserve(small, 400<<10, tb.now)
	must.True(t, ok, must.Sprint("but one that began before it and has had its time"))
	must.Eq(t, []victim{{account: second, reason: ReasonHeld}}, victims)
	must.Eq(t, (150+100+400)<<10+4*10, tb.held)
}

// TestWholeCallsTakeTheBytesOfOthers guards against the refusal of calls that need bytes to be
// carried out, or that other entries forward, while bodies hold them that never end; and against
// forwarded calls that leave clients nothing.
func TestWholeCallsTakeTheBytesOfOthers(t *testing.T) {
	tb := newTable(1000<<10, 100)
	whole, other, third := tb.body(t, 10<<10), tb.body(t, 490<<10), tb.body(t, 490<<10)
	tb.enter(whole, phaseBusy, tb.now)
	victims, ok := tb.reserve(whole, 100<<10, tb.now)
	must.True(t, ok)
	must.Eq(t, []victim{{account: other, reason: ReasonHeld}}, victims)
	victims, ok = tb.reserve(nil, 700<<10, tb.now)
	must.True(t, ok)
	must.Eq(t, []victim{{account: third, reason: ReasonHeld}}, victims)
	_, ok = tb.reserve(nil, 100<<10, tb.now)
	must.False(t, ok, must.Sprint("forwarded calls have their part"))
	_, ok = tb.reserve(whole, 100<<10, tb.now)
	must.True(t, ok)
	_, ok = tb.reserve(whole, 200<<10, tb.now)
	must.False(t, ok, must.Sprint("whole calls keep what they hold"))
}

// TestConnectionsThatGiveWay guards against clients that take all of a port by waiting, by
// moving without end or by connecting again, against the loss of an honest connection between
// two requests, and against that of a call that may have run, however long it takes.
func TestConnectionsThatGiveWay(t *testing.T) {
	tb := newTable(1<<20, 4)
	honest := tb.served(t)
	reading, second := tb.body(t, 500), tb.body(t, 400)
	busy := tb.body(t, 400)
	tb.enter(busy, phaseBusy, tb.now)
	_, _, ok := tb.connect()
	must.False(t, ok, must.Sprint("each client has its grace"))
	_, wait, _ := tb.open(&account{port: tb.ports[0]}, tb.now)
	must.Eq(t, testGrace, wait)
	tb.pass(testGrace)
	tb.received(reading, 100_000, tb.now) // a client that moves gives way as well
	next, victims, _ := tb.connect()
	must.Eq(t, closed(reading), victims)
	_, victims, _ = tb.connect()
	must.Eq(t, closed(second), victims)
	_, _, ok = tb.connect()
	must.False(t, ok)
	tb.enter(next, phaseBusy, tb.now)
	tb.pass(time.Hour)
	must.Len(t, 1, tb.stalled(tb.now)) // the one that sent nothing
	last, _, _ := tb.connect()
	tb.enter(last, phaseBusy, tb.now)
	_, victims, _ = tb.connect()
	must.Eq(t, closed(honest), victims, must.Sprint("idle connections last"))
}

// TestUnreadConnectionsStay guards against the loss of a request that has arrived while the
// server had no time to read it.
func TestUnreadConnectionsStay(t *testing.T) {
	tb := newTable(1000, 1)
	a := &account{port: tb.ports[0]}
	_, _, ok := tb.open(a, tb.now)
	must.True(t, ok)
	tb.pass(time.Hour)
	_, wait, ok := tb.open(&account{port: tb.ports[0]}, tb.now)
	must.False(t, ok)
	must.Eq(t, testGrace, wait)
	tb.begin(a, tb.now)
	_, wait, _ = tb.open(&account{port: tb.ports[0]}, tb.now)
	must.Eq(t, testGrace, wait)
	tb.enter(a, phaseBusy, tb.now)
	_, wait, _ = tb.open(&account{port: tb.ports[0]}, tb.now)
	must.Zero(t, wait, must.Sprint("until a connection is closed"))
	tb.close(a)
	tb.ports[0].grace = 0
	_, _, ok = tb.open(&account{port: tb.ports[0]}, tb.now)
	must.True(t, ok)
	_, wait, _ = tb.open(&account{port: tb.ports[0]}, tb.now)
	must.Positive(t, wait, must.Sprint("also without a grace"))
}

// TestIdleConnectionsOutliveUnreadOnes guards against the loss of honest connections when a crowd
// fills a port before the server has read from any of it.
func TestIdleConnectionsOutliveUnreadOnes(t *testing.T) {
	tb := newTable(1000, 4)
	honest := tb.served(t)
	tb.pass(testGrace)
	for range 3 {
		_, _, ok := tb.open(&account{port: tb.ports[0]}, tb.now)
		must.True(t, ok)
	}
	_, wait, ok := tb.open(&account{port: tb.ports[0]}, tb.now)
	must.False(t, ok)
	must.Eq(t, testGrace, wait)
	must.Eq(t, phaseIdle, honest.phase)
}

// TestIdleConnectionsKeepTheirPart guards against clients that send one request each and then
// keep the places of others, and against an answer that does not tell its client to leave.
func TestIdleConnectionsKeepTheirPart(t *testing.T) {
	tb := newTable(1000, 4)
	first := tb.served(t)
	tb.served(t)
	must.False(t, tb.ports[0].crowded())
	tb.served(t)
	waiting, _, _ := tb.connect()
	must.True(t, tb.ports[0].crowded())
	tb.pass(testGrace)
	_, victims, _ := tb.connect()
	must.Eq(t, closed(first), victims)
	must.False(t, tb.ports[0].crowded())
	_, victims, _ = tb.connect()
	must.Eq(t, closed(waiting), victims)
}

// TestStreamsAreCountedUntilTheirMessagesAreWhole guards against messages between entries that
// never end, and against the loss of a connection that carries messages.
func TestStreamsAreCountedUntilTheirMessagesAreWhole(t *testing.T) {
	tb := newTable(1000<<10, 2)
	tb.ports[0].streams, tb.ports[0].connectionBytes = true, 0
	open, _, _ := tb.connect()
	sound, _, _ := tb.connect()
	tb.received(sound, 100<<10, tb.now)
	tb.delivered(sound, tb.now)
	must.Zero(t, tb.held)
	tb.received(sound, 10<<10, tb.now)
	for range 90 {
		_, ok := tb.received(open, 1<<10, tb.now)
		must.True(t, ok)
	}
	must.Eq(t, 10<<10+90*unprovenFactor<<10, tb.held)
	victims, ok := tb.reserve(nil, 500<<10, tb.now)
	must.True(t, ok)
	must.Eq(t, []victim{{account: open, reason: ReasonHeld, close: true}}, victims)
	must.Eq(t, phaseIdle, sound.phase)
	idle, _, _ := tb.connect()
	tb.pass(testGrace)
	_, victims, _ = tb.connect()
	must.Eq(t, closed(idle), victims)
}

// TestSlowClientsGoOn guards against time-outs of bodies, headers and answers that move
// slowly, against those that never move, and against headers without end that are not counted.
func TestSlowClientsGoOn(t *testing.T) {
	tb := newTable(60_000, 100)
	slow, dead := tb.body(t, 100), tb.body(t, 100)
	headers, _, _ := tb.connect()
	answer, _, _ := tb.connect()
	tb.enter(answer, phaseBusy, tb.now)
	for range 8 {
		tb.startAnswer(answer, tb.now)
		tb.pass(stallTimeout / 2)
		tb.finishAnswer(answer, tb.now)
		tb.received(slow, 1, tb.now)
		_, ok := tb.received(headers, 4<<10, tb.now)
		must.True(t, ok)
		tb.stalled(tb.now)
	}
	must.Eq(t, []phase{phaseBody, phaseClosed, phaseHeaders, phaseBusy}, []phase{slow.phase, dead.phase, headers.phase, answer.phase})
	must.Eq(t, 7*(4<<10)*headerFactor, headers.bytes)
	_, ok := tb.received(headers, 4<<10, tb.now)
	must.False(t, ok)
	tb.end(headers, tb.now)
	must.Eq(t, 100+3*10, tb.held)
}

// TestAccountsBalance guards against bytes and connections that are counted and never
// released, under any order of what can happen to connections.
func TestAccountsBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb := newTable(100<<10, 4)
		tb.ports[0].streams = rapid.Bool().Draw(t, "streams")
		first, _, _ := tb.connect()
		all := []*account{first}
		steps := []func(*account, int64){
			func(*account, int64) {
				a := &account{port: tb.ports[0]}
				if _, _, ok := tb.open(a, tb.now); ok {
					all = append(all, a)
				}
			},
			func(a *account, _ int64) { tb.begin(a, tb.now) },
			func(a *account, n int64) { tb.received(a, int(n)*8, tb.now) },
			func(a *account, n int64) { tb.reserve(a, n*100, tb.now) },
			func(a *account, n int64) { tb.release(a, n, tb.now) },
			func(a *account, _ int64) { tb.enter(a, phaseBusy, tb.now) },
			func(a *account, _ int64) { tb.enter(a, phaseBody, tb.now) },
			func(a *account, _ int64) { tb.startAnswer(a, tb.now) },
			func(a *account, _ int64) { tb.finishAnswer(a, tb.now) },
			func(a *account, _ int64) { tb.end(a, tb.now) },
			func(a *account, _ int64) { tb.delivered(a, tb.now) },
			func(a *account, _ int64) { tb.close(a) },
			func(_ *account, n int64) { tb.pass(time.Duration(n) * 30 * time.Millisecond); tb.stalled(tb.now) },
		}
		for _, step := range rapid.SliceOfN(rapid.SampledFrom(steps), 1, 100).Draw(t, "steps") {
			step(rapid.SampledFrom(all).Draw(t, "connection"), rapid.Int64Range(1, 600).Draw(t, "bytes"))
			held, open, proven, unread := int64(0), 0, 0, 0
			for _, a := range all {
				held += a.bytes
				if a.phase != phaseClosed {
					held += a.port.connectionBytes
					open++
					if a.proven {
						proven++
					}
					if a.phase == phaseAccepted {
						unread++
					}
				}
				must.Eq(t, a.port.listOf(a.phase), a.wait.in)
				must.Eq(t, tb.holdersOf(a), a.hold.in)
			}
			must.Eq(t, held, tb.held)
			must.Eq(t, open, tb.connections())
			must.Eq(t, proven, tb.ports[0].proven)
			must.Eq(t, unread, tb.ports[0].unread)
			must.LessEq(t, 4, open)
		}
	})
}
