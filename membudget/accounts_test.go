package membudget

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// table is a budget with one port for clients, in virtual time.
type table struct {
	accounts
	now time.Time
}

func newTable(limit int64, connections int) *table {
	port := &portAccounts{maxConnections: connections, connectionBytes: 10}
	return &table{accounts: accounts{limit: limit, ports: []*portAccounts{port}}, now: time.Unix(1000, 0)}
}

func (tb *table) pass(d time.Duration) { tb.now = tb.now.Add(d) }

func (tb *table) connect() (a *account, victims []victim, ok bool) {
	a = &account{port: tb.ports[0]}
	victims, ok = tb.open(a, tb.now)
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

// TestStalledCallsAreEvictedFirst guards against a crowd that stops short of its end and
// keeps out callers that go on, against giving up more than is needed, and against a call
// that runs or reserves after it was told that it has not run.
func TestStalledCallsAreEvictedFirst(t *testing.T) {
	tb := newTable(1000, 100)
	oldest, older, moving := tb.body(t, 300), tb.body(t, 300), tb.body(t, 300)
	tb.pass(stillAfter)
	tb.received(oldest, movingBytes-1, tb.now) // too little to count
	tb.received(moving, movingBytes, tb.now)
	next, _, _ := tb.connect()
	victims, ok := tb.reserve(next, 250, tb.now)
	must.True(t, ok)
	must.Eq(t, []victim{{account: oldest, reason: ReasonStill}}, victims)
	must.Eq(t, phaseBody, older.phase)
	_, ok = tb.reserve(oldest, 1, tb.now)
	must.False(t, ok, must.Sprint("an evicted call reserves nothing"))
	tb.enter(oldest, phaseBusy, tb.now)
	tb.startAnswer(oldest, tb.now)
	tb.finishAnswer(oldest, tb.now)
	tb.end(oldest, tb.now)
	must.Eq(t, phaseRefused, oldest.phase)
	victims, ok = tb.reserve(next, 600, tb.now)
	must.False(t, ok, must.Sprint("the call that moves keeps what it holds"))
	must.Eq(t, []victim{{account: older, reason: ReasonStill}}, victims)
	must.Eq(t, 300+250+4*10, tb.held)
}

// TestConnectionsThatGiveWay guards against idle connections that take all of a port, and
// against the loss of a call that moves or, however long it takes, of one that may have run.
func TestConnectionsThatGiveWay(t *testing.T) {
	tb := newTable(1000, 2)
	reading := tb.body(t, 500)
	idle, _, _ := tb.connect()
	_, victims, _ := tb.connect()
	must.Eq(t, []victim{{account: idle, reason: ReasonConnections, close: true}}, victims)
	tb.close(tb.ports[0].idle.first)
	busy := tb.body(t, 400)
	_, _, ok := tb.connect()
	must.False(t, ok, must.Sprint("both connections move"))
	tb.enter(busy, phaseBusy, tb.now)
	tb.pass(stillAfter)
	last, victims, _ := tb.connect()
	must.Eq(t, []victim{{account: reading, reason: ReasonConnections, close: true}}, victims)
	tb.enter(last, phaseBusy, tb.now)
	tb.pass(time.Hour)
	must.Nil(t, tb.stalled(tb.now))
	victims, ok = tb.reserve(nil, 600, tb.now)
	must.False(t, ok)
	must.Nil(t, victims)
	_, _, ok = tb.connect()
	must.False(t, ok)
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
		tb.received(slow, movingBytes, tb.now)
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
		tb := newTable(1000, 4)
		first, _, _ := tb.connect()
		all := []*account{first}
		steps := []func(*account, int64){
			func(*account, int64) {
				if a, _, ok := tb.connect(); ok {
					all = append(all, a)
				}
			},
			func(a *account, n int64) { tb.received(a, int(n)*8, tb.now) },
			func(a *account, n int64) { tb.reserve(a, n, tb.now) },
			func(a *account, n int64) { tb.release(a, n) },
			func(a *account, _ int64) { tb.enter(a, phaseBusy, tb.now) },
			func(a *account, _ int64) { tb.enter(a, phaseBody, tb.now) },
			func(a *account, _ int64) { tb.startAnswer(a, tb.now) },
			func(a *account, _ int64) { tb.finishAnswer(a, tb.now) },
			func(a *account, _ int64) { tb.end(a, tb.now) },
			func(a *account, _ int64) { tb.close(a) },
			func(_ *account, n int64) { tb.pass(time.Duration(n) * 30 * time.Millisecond); tb.stalled(tb.now) },
		}
		for _, step := range rapid.SliceOfN(rapid.SampledFrom(steps), 1, 100).Draw(t, "steps") {
			step(rapid.SampledFrom(all).Draw(t, "connection"), rapid.Int64Range(1, 600).Draw(t, "bytes"))
			held, open := int64(0), 0
			for _, a := range all {
				held += a.bytes
				if a.phase != phaseClosed {
					held += a.port.connectionBytes
					open++
				}
				must.Eq(t, a.port.listOf(a.phase) != nil, a.list != nil)
			}
			must.Eq(t, held, tb.held)
			must.Eq(t, open, tb.connections())
			must.LessEq(t, 4, open)
		}
	})
}
