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
	return &table{
		accounts: accounts{limit: limit, ports: []*portAccounts{{maxConnections: connections, connectionBytes: 10}}},
		now:      time.Unix(1000, 0),
	}
}

func (tb *table) pass(d time.Duration) { tb.now = tb.now.Add(d) }

func (tb *table) connect(t *testing.T) *account {
	t.Helper()
	a := &account{port: tb.ports[0]}
	_, ok := tb.open(a, tb.now)
	must.True(t, ok)
	return a
}

// body connects a call that reads a body and holds bytes of it.
func (tb *table) body(t *testing.T, bytes int64) *account {
	t.Helper()
	a := tb.connect(t)
	tb.received(a, 100, tb.now)
	tb.enter(a, phaseBusy, tb.now)
	tb.enter(a, phaseBody, tb.now)
	_, ok := tb.reserve(a, bytes, tb.now)
	must.True(t, ok)
	return a
}

// TestStalledCallsAreEvictedFirst guards against a crowd that stops short of its end
// and keeps out callers that go on, and against giving up more than is needed.
func TestStalledCallsAreEvictedFirst(t *testing.T) {
	tb := newTable(1000, 100)
	oldest, older, moving := tb.body(t, 300), tb.body(t, 300), tb.body(t, 300)
	tb.pass(stillAfter)
	tb.received(oldest, movingBytes-1, tb.now) // too little to count
	tb.received(moving, movingBytes, tb.now)
	next := tb.connect(t)
	victims, ok := tb.reserve(next, 250, tb.now)
	must.True(t, ok)
	must.Eq(t, []victim{{account: oldest, reason: ReasonStill}}, victims)
	must.Eq(t, phaseRefused, oldest.phase)
	must.Eq(t, phaseBody, older.phase)
	victims, ok = tb.reserve(next, 600, tb.now)
	must.False(t, ok, must.Sprint("the call that moves keeps what it holds"))
	must.Eq(t, []victim{{account: older, reason: ReasonStill}}, victims)
	must.Eq(t, 300+250+4*10, tb.held)
}

// TestRefusedCallGetsNothing guards against a call that runs after it was told that it
// has not run: once it was evicted, its body is never whole and nothing is reserved.
func TestRefusedCallGetsNothing(t *testing.T) {
	tb := newTable(1000, 100)
	still := tb.body(t, 900)
	tb.pass(stillAfter)
	_, ok := tb.reserve(tb.connect(t), 500, tb.now)
	must.True(t, ok)
	tb.enter(still, phaseBusy, tb.now)
	must.True(t, still.gone())
	_, ok = tb.reserve(still, 1, tb.now)
	must.False(t, ok)
	tb.startAnswer(still, tb.now)
	tb.finishAnswer(still, tb.now)
	tb.end(still, tb.now)
	must.True(t, still.gone())
}

// TestCallsThatMayHaveRunStay guards against the loss of answers: a whole call is evicted
// neither for bodies nor for connections, however long it takes.
func TestCallsThatMayHaveRunStay(t *testing.T) {
	tb := newTable(1000, 2)
	a, b := tb.body(t, 500), tb.body(t, 400)
	tb.enter(a, phaseBusy, tb.now)
	tb.enter(b, phaseBusy, tb.now)
	tb.pass(time.Hour)
	must.Nil(t, tb.stalled(tb.now))
	victims, ok := tb.reserve(nil, 200, tb.now)
	must.False(t, ok)
	must.Nil(t, victims)
	_, ok = tb.open(&account{port: tb.ports[0]}, tb.now)
	must.False(t, ok)
}

// TestNewConnectionsReplaceIdleOnes guards against idle connections that take all of a
// port, and against the loss of a call that moves.
func TestNewConnectionsReplaceIdleOnes(t *testing.T) {
	tb := newTable(1000, 2)
	reading, idle := tb.body(t, 100), tb.connect(t)
	victims, ok := tb.open(&account{port: tb.ports[0]}, tb.now)
	must.True(t, ok)
	must.Eq(t, []victim{{account: idle, reason: ReasonConnections, close: true}}, victims)
	tb.close(tb.ports[0].idle.first)
	tb.body(t, 100)
	_, ok = tb.open(&account{port: tb.ports[0]}, tb.now)
	must.False(t, ok, must.Sprint("both connections move"))
	tb.pass(stillAfter)
	victims, ok = tb.open(&account{port: tb.ports[0]}, tb.now)
	must.True(t, ok)
	must.Eq(t, reading, victims[0].account)
}

// TestSlowClientsGoOn guards against time-outs of bodies, headers and answers that move
// slowly, and against those that never move.
func TestSlowClientsGoOn(t *testing.T) {
	tb := newTable(1<<20, 100)
	slow, headers, dead, answer := tb.body(t, 100), tb.connect(t), tb.body(t, 100), tb.connect(t)
	tb.received(headers, 1, tb.now)
	tb.enter(answer, phaseBusy, tb.now)
	for range 20 {
		tb.startAnswer(answer, tb.now)
		tb.pass(stallTimeout / 2)
		tb.finishAnswer(answer, tb.now)
		tb.received(slow, movingBytes, tb.now)
		tb.received(headers, movingBytes, tb.now)
		tb.stalled(tb.now)
	}
	must.Eq(t, phaseBody, slow.phase)
	must.Eq(t, phaseHeaders, headers.phase)
	must.Eq(t, phaseBusy, answer.phase)
	must.Eq(t, phaseClosed, dead.phase)
}

// TestHeadersAreCharged guards against headers without end that are not counted.
func TestHeadersAreCharged(t *testing.T) {
	tb := newTable(60_000, 100)
	a := tb.connect(t)
	for range 8 {
		_, ok := tb.received(a, 4<<10, tb.now)
		must.True(t, ok)
	}
	must.Eq(t, 7*(4<<10)*headerFactor, a.bytes)
	_, ok := tb.received(a, 4<<10, tb.now)
	must.False(t, ok)
	tb.end(a, tb.now)
	must.Eq(t, 10, tb.held)
}

// TestAccountsBalance guards against bytes and connections that are counted and never
// released, under any order of what can happen to connections.
func TestAccountsBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb := newTable(1000, 4)
		var all []*account
		pick := func() *account {
			if len(all) == 0 {
				t.Skip("no connection")
			}
			return rapid.SampledFrom(all).Draw(t, "connection")
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) {
				a := &account{port: tb.ports[0]}
				if _, ok := tb.open(a, tb.now); ok {
					all = append(all, a)
				}
			},
			"receive": func(t *rapid.T) { tb.received(pick(), rapid.IntRange(1, 5000).Draw(t, "bytes"), tb.now) },
			"whole":   func(*rapid.T) { tb.enter(pick(), phaseBusy, tb.now) },
			"body":    func(*rapid.T) { tb.enter(pick(), phaseBody, tb.now) },
			"reserve": func(t *rapid.T) { tb.reserve(pick(), rapid.Int64Range(1, 600).Draw(t, "bytes"), tb.now) },
			"release": func(t *rapid.T) { tb.release(pick(), rapid.Int64Range(1, 600).Draw(t, "bytes")) },
			"answer":  func(*rapid.T) { tb.startAnswer(pick(), tb.now) },
			"taken":   func(*rapid.T) { tb.finishAnswer(pick(), tb.now) },
			"end":     func(*rapid.T) { tb.end(pick(), tb.now) },
			"close":   func(*rapid.T) { tb.close(pick()) },
			"pass": func(t *rapid.T) {
				tb.pass(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
				tb.stalled(tb.now)
			},
			"": func(t *rapid.T) {
				held, open := int64(0), 0
				for _, a := range all {
					held += a.bytes
					if a.phase != phaseClosed {
						held += a.port.connectionBytes
						open++
					}
					if (a.list != nil) != (a.port.listOf(a.phase) != nil) {
						t.Fatalf("phase %d and list disagree", a.phase)
					}
				}
				if held != tb.held || open != tb.connections() || open > 4 {
					t.Fatalf("held %d, counted %d; open %d, counted %d", held, tb.held, open, tb.connections())
				}
			},
		})
	})
}
