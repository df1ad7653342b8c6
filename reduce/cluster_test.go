package reduce_test

import (
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/drains"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
)

// cluster connects the states of several entries by a log, peer messages and
// worker control, in virtual time.
type cluster struct {
	t       must.T
	now     time.Time
	entries []*clusterEntry
	log     []control.Positioned
	// commands counts how often each command id was sent.
	commands  map[string]int
	unhealthy map[fleet.InstanceID]bool
	// commandsBy counts the commands that each entry sent.
	commandsBy map[fleet.EntryID]int
	// workersDown loses all commands. logDown fails all appends and reads.
	workersDown, logDown bool
	// loseAnswers is the number of coming appends that take effect but have an
	// unknown outcome. delayAppends is the number of coming appends that take
	// effect only at appendDelayed.
	loseAnswers, delayAppends int
	delayedAppends            []control.Record
	maxOutOfService           int
	// rewriteEvent changes an event before it is reduced, rewriteEffects
	// changes the effects of an event, and observe sees each effect before it
	// is carried out.
	rewriteEvent   func(*clusterEntry, event.Body) event.Body
	rewriteEffects func(*clusterEntry, event.Body, []effect.Effect) []effect.Effect
	observe        func(*clusterEntry, effect.Effect)
	// started is the number of entries started so far.
	started       int
	placement     reduce.Placement
	pendingEvents []pendingEvent
	gauges        map[gauge]float64
	// overdue holds, for each overdue drain that was logged, what the drain
	// waits for.
	overdue []string
}

type gauge struct {
	entry fleet.EntryID
	name  effect.GaugeName
}

// pendingEvent is an event that has not been reduced yet.
type pendingEvent struct {
	entry *clusterEntry
	body  event.Body
}

type clusterEntry struct {
	id    fleet.EntryID
	state *reduce.State
	// replica gets the same events as state and must return the same effects.
	replica  *reduce.State
	nextRead int
	// dead entries reduce no events. noLog and noPeers cut the entry off from
	// the log and from its peers.
	dead, noLog, noPeers bool
	// paused entries reduce no events until they resume; delayedEvents holds
	// the events of the pause.
	paused        bool
	delayedEvents []event.Body
	ready         bool
	running       map[fleet.AttemptID]fleet.InstanceID
	status        effect.Status
	lastResult    control.Result
	forecast      effect.Forecast
	requests      fleet.RequestID
}

func newCluster(t must.T, n int, text *fleet.Text) *cluster {
	return newClusterWith(t, n, text, reduce.PlacementLocal)
}

func newClusterWith(t must.T, n int, text *fleet.Text, placement reduce.Placement) *cluster {
	c := &cluster{t: t, placement: placement, now: epoch, gauges: make(map[gauge]float64), commands: make(map[string]int), commandsBy: make(map[fleet.EntryID]int), unhealthy: make(map[fleet.InstanceID]bool)}
	for range n {
		c.entries = append(c.entries, c.newEntry())
	}
	c.appendRecord(control.Publish{Text: text})
	for _, m := range c.entries {
		c.do(m, event.Started{})
	}
	c.sendEntryList()
	c.run(2 * time.Second)
	return c
}

func (c *cluster) newEntry() *clusterEntry {
	c.started++
	id := fleet.EntryID(fmt.Sprintf("entry-%d", c.started))
	cfg := reduce.Config{Entry: id, Seed: uint64(c.started), MaxRequests: 100, Placement: c.placement}
	return &clusterEntry{
		id:      id,
		state:   reduce.New(cfg),
		replica: reduce.New(cfg),
		running: make(map[fleet.AttemptID]fleet.InstanceID),
	}
}

// sendEntryList sends all entries the platform's list of entries.
func (c *cluster) sendEntryList() {
	var listed []event.ListedEntry
	for _, m := range c.entries {
		listed = append(listed, event.ListedEntry{ID: m.id, Address: string(m.id)})
	}
	for _, m := range c.entries {
		c.do(m, event.EntriesListed{Entries: listed})
	}
}

// replace kills an entry and starts another one in its place.
func (c *cluster) replace(i int) {
	c.entries[i].dead = true
	c.entries[i] = c.newEntry()
	c.do(c.entries[i], event.Started{})
	c.sendEntryList()
}

// resume ends the pause of an entry, which then reduces the events of the
// pause.
func (c *cluster) resume(m *clusterEntry) {
	waiting := m.delayedEvents
	m.paused, m.delayedEvents = false, nil
	for _, body := range waiting {
		c.do(m, body)
	}
}

// do reduces an event at one entry, and then in order all events that follow
// from it.
func (c *cluster) do(m *clusterEntry, body event.Body) {
	c.pendingEvents = append(c.pendingEvents, pendingEvent{m, body})
	if len(c.pendingEvents) > 1 {
		return // the outer call of do reduces it
	}
	for ; len(c.pendingEvents) > 0; c.pendingEvents = c.pendingEvents[1:] {
		c.step(c.pendingEvents[0].entry, c.pendingEvents[0].body)
	}
}

// step reduces an event at one entry and carries out its effects.
func (c *cluster) step(m *clusterEntry, body event.Body) {
	if m.dead {
		return
	}
	if m.paused {
		m.delayedEvents = append(m.delayedEvents, body)
		return
	}
	if c.rewriteEvent != nil {
		body = c.rewriteEvent(m, body)
	}
	ev := event.Event{Now: c.now, Body: body}
	out := slices.Clone(reduce.Reduce(m.state, ev))
	if m.replica != nil && !reflect.DeepEqual(out, slices.Clone(reduce.Reduce(m.replica, ev))) {
		c.t.Fatalf("%s: a second state returns other effects for %T", m.id, body)
	}
	if c.rewriteEffects != nil {
		out = c.rewriteEffects(m, body, out)
	}
	for _, e := range out {
		if c.observe != nil {
			c.observe(m, e)
		}
		c.carryOut(m, e)
	}
}

// append carries out an append, or the fault that is set for it.
func (c *cluster) append(m *clusterEntry, e effect.Append) {
	outcome := event.Appended
	switch {
	case c.logDown || m.noLog || !e.Deadline.IsZero() && c.now.After(e.Deadline):
		outcome = event.AppendFailed
	case c.delayAppends > 0:
		c.delayAppends--
		outcome = event.AppendUnknown
		c.delayedAppends = append(c.delayedAppends, e.Record)
	default:
		c.log = append(c.log, control.Positioned{Offset: fleet.Offset(len(c.log) + 1), Record: e.Record})
		if c.loseAnswers > 0 {
			c.loseAnswers--
			outcome = event.AppendUnknown
		}
	}
	c.do(m, event.AppendFinished{ID: e.Record.ID, Outcome: outcome})
}

// appendDelayed lets the delayed appends take effect.
func (c *cluster) appendDelayed() {
	for _, rec := range c.delayedAppends {
		c.log = append(c.log, control.Positioned{Offset: fleet.Offset(len(c.log) + 1), Record: rec})
	}
	c.delayedAppends = nil
}

func (c *cluster) carryOut(m *clusterEntry, e effect.Effect) {
	switch e := e.(type) {
	case effect.Append:
		c.append(m, e)
	case effect.SetReady:
		m.ready = e.Ready
	case effect.SendPeer:
		i := slices.IndexFunc(c.entries, func(o *clusterEntry) bool { return string(o.id) == e.Address })
		if i >= 0 && !m.noPeers && !c.entries[i].noPeers {
			c.do(c.entries[i], event.PeerReceived{From: m.id, Incarnation: 1, Sequence: e.Sequence, Address: string(m.id), Message: e.Message})
		}
	case effect.CommandInstance:
		c.commands[e.ID]++
		c.commandsBy[m.id]++
		if !c.workersDown {
			c.do(m, event.CommandFinished{Instance: e.Instance, Epoch: e.Epoch, Outcome: event.CommandDone})
		}
	case effect.CheckInstance:
		c.do(m, event.InstanceChecked{Instance: e.Instance, Epoch: e.Epoch, Healthy: !c.unhealthy[e.Instance]})
	case effect.Probe:
		c.do(m, event.ProbeFinished{Instance: e.Instance, OK: !c.unhealthy[e.Instance]})
	case effect.LogChange:
		if e.Change == effect.ChangeDrainOverdue {
			c.overdue = append(c.overdue, string(m.id)+" "+e.Detail)
		}
	case effect.Dispatch:
		m.running[e.Attempt] = e.Instance
	case effect.ReplyStatus:
		m.status = e.Status
	case effect.Gauge:
		c.gauges[gauge{m.id, e.Name}] = e.Value
	case effect.ReplyForecast:
		m.forecast = e.Forecast
	case effect.Reply:
		m.lastResult = e.Result
	}
}

func (c *cluster) appendRecord(body control.Body) fleet.Offset {
	at := fleet.Offset(len(c.log) + 1)
	c.log = append(c.log, control.Positioned{Offset: at, Record: control.Record{ID: fleet.RecordID(fmt.Sprintf("test-%d", at)), Body: body}})
	return at
}

// run advances virtual time in steps. In each step the entries read the log and
// their timers fire.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(drains.StepInterval) {
		for _, m := range c.entries {
			c.read(m)
			c.do(m, event.TimerFired{})
		}
		out := 0
		for _, in := range c.status(0).Instances {
			if in.Phase != "in-service" {
				out++
			}
		}
		c.maxOutOfService = max(c.maxOutOfService, out)
	}
}

func (c *cluster) read(m *clusterEntry) {
	if m.dead || m.paused {
		return
	}
	if m.noLog || c.logDown {
		c.do(m, event.ReadFailed{})
		return
	}
	page := c.log[m.nextRead:]
	m.nextRead = len(c.log)
	c.do(m, event.RecordsRead{Records: page, Next: fleet.Offset(m.nextRead + 1), Oldest: 1})
}

func (c *cluster) status(i int) effect.Status {
	m := c.entries[i]
	c.do(m, event.StatusRequested{ID: 1})
	return m.status
}

func (c *cluster) phase(i int, id fleet.InstanceID) string {
	for _, in := range c.status(i).Instances {
		if in.ID == id {
			return in.Phase
		}
	}
	return "unknown"
}

// request sends a request to an entry, and returns its first attempt and the
// instance that it was dispatched to, if any.
func (c *cluster) request(i int) (fleet.AttemptID, fleet.InstanceID) {
	m := c.entries[i]
	m.requests++
	c.do(m, event.RequestArrived{ID: m.requests, Service: "survey", Member: "lawa"})
	a := fleet.AttemptID{Request: m.requests, Number: 1}
	return a, m.running[a]
}

func (c *cluster) finish(i int, a fleet.AttemptID, status int) {
	m := c.entries[i]
	c.do(m, event.AttemptFinished{Attempt: a, Instance: m.running[a], Outcome: event.AttemptAnswered, Status: status})
	delete(m.running, a)
}

// occupy sends requests to an entry until one runs on the given instance, and
// finishes the others.
func (c *cluster) occupy(i int, id fleet.InstanceID) fleet.AttemptID {
	var others []fleet.AttemptID
	for range 100 {
		a, on := c.request(i)
		if on == id {
			for _, o := range others {
				c.finish(i, o, 200)
			}
			return a
		}
		others = append(others, a)
	}
	c.t.Fatalf("no request reached %s", id)
	return fleet.AttemptID{}
}

// command sends an operator's record to an entry and returns the result.
func (c *cluster) command(i int, body control.Body) control.Result {
	m := c.entries[i]
	at := len(c.log) + 1
	c.do(m, event.OperatorCommanded{
		ID:     1,
		Record: control.Record{ID: fleet.RecordID(fmt.Sprintf("op-%s-%d", m.id, at)), Time: c.now, Body: body}, Deadline: c.now.Add(time.Minute),
	})
	c.read(m)
	return m.lastResult
}

// runUntilPhase advances time until an entry sees an instance in a phase.
func (c *cluster) runUntilPhase(i int, id fleet.InstanceID, phase string) {
	c.t.Helper()
	for range 400 {
		if c.phase(i, id) == phase {
			return
		}
		c.run(drains.StepInterval)
	}
	must.EqOp(c.t, phase, c.phase(i, id))
}

// fleetText has a pool of n instances, two in each rack and four in each data
// centre, and a spare pool of two instances.
func fleetText(n, maxStep int, demand float64) *fleet.Text {
	text := &fleet.Text{
		DataCentres: []fleet.DataCentre{"dc1", "dc2"},
		Pools:       []fleet.Pool{{Name: "main", Slots: 2, MaxSize: 10}, {Name: "spare", Spare: true, Slots: 2, MaxSize: 10}},
		Members:     []fleet.Member{{Name: "lawa", Weight: 1}},
		Services: []fleet.Service{{
			Name: "survey", Pool: "main", Idempotent: true, TimeLimit: 10 * time.Second, Availability: 0.9,
			MaxBody: 100, MaxQueue: 100, MaxAttempts: 3, Demand: demand,
		}},
		Maintenance: fleet.Maintenance{MaxStep: maxStep, Probation: 2 * time.Second},
	}
	add := func(id string, i int, pool fleet.PoolName) {
		text.Instances = append(text.Instances, fleet.Instance{
			ID: fleet.InstanceID(id), Address: id, Pool: pool,
			DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", i/4+1)), Rack: fleet.Rack(fmt.Sprintf("r%d", i/2+1)),
		})
	}
	for i := range n {
		add(fmt.Sprintf("runner-%d", i+1), i, "main")
	}
	for i := range 2 {
		add(fmt.Sprintf("spare-%d", i+1), i, "spare")
	}
	return text
}

func drainOf(id fleet.InstanceID, p control.Purpose) control.Drain {
	return control.Drain{Instance: id, Base: control.CurrentEpoch, Reason: control.ReasonOperator, Purpose: p}
}
