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

// cluster joins the states of several entries by a log, peers and worker
// control in virtual time.
type cluster struct {
	t       must.T
	now     time.Time
	entries []*member
	log     []control.Positioned
	// commands counts the sendings of each command id.
	commands map[string]int
	broken   map[fleet.InstanceID]bool
	// commanded counts them by entry.
	commanded map[fleet.EntryID]int
	// workersDown loses all commands, and logDown all appends and reads.
	workersDown, logDown bool
	// loseAnswers is the number of appends that will take effect, but be
	// answered with an error; lateAppends will take effect at flushLate.
	loseAnswers, lateAppends int
	late                     []control.Record
	mostOut                  int
	// before rewrites an event, after its effects, and observe sees each effect
	// before it is carried out.
	before  func(*member, event.Body) event.Body
	after   func(*member, event.Body, []effect.Effect) []effect.Effect
	observe func(*member, effect.Effect)
	// started is the number of entries started so far.
	started   int
	placement reduce.Placement
	arrived   []arrival
	gauges    map[gauge]float64
	// overdue holds what each drain that was reported waits for.
	overdue []string
}

type gauge struct {
	entry fleet.EntryID
	name  effect.GaugeName
}

// arrival is an event on its way to an entry.
type arrival struct {
	at   *member
	body event.Body
}

type member struct {
	id    fleet.EntryID
	state *reduce.State
	// twin gets the same events, and has to have the same effects.
	twin *reduce.State
	next int
	// dead runs nothing; noLog and noPeers cut it off.
	dead, noLog, noPeers bool
	// paused entries take no event until they go on; waiting holds the events.
	paused   bool
	waiting  []event.Body
	ready    bool
	running  map[fleet.AttemptID]fleet.InstanceID
	status   effect.Status
	last     control.Result
	forecast effect.Forecast
	requests fleet.RequestID
}

func newCluster(t must.T, n int, text *fleet.Text) *cluster {
	return newClusterWith(t, n, text, reduce.PlacementLocal)
}

func newClusterWith(t must.T, n int, text *fleet.Text, placement reduce.Placement) *cluster {
	c := &cluster{t: t, placement: placement, now: epoch, gauges: make(map[gauge]float64), commands: make(map[string]int), commanded: make(map[fleet.EntryID]int), broken: make(map[fleet.InstanceID]bool)}
	for range n {
		c.entries = append(c.entries, c.newMember())
	}
	c.write(control.Publish{Text: text})
	for _, m := range c.entries {
		c.do(m, event.Started{})
	}
	c.list()
	c.run(2 * time.Second)
	return c
}

func (c *cluster) newMember() *member {
	c.started++
	id := fleet.EntryID(fmt.Sprintf("entry-%d", c.started))
	cfg := reduce.Config{Entry: id, Seed: uint64(c.started), MaxRequests: 100, Placement: c.placement}
	return &member{
		id:      id,
		state:   reduce.New(cfg),
		twin:    reduce.New(cfg),
		running: make(map[fleet.AttemptID]fleet.InstanceID),
	}
}

// list shows all entries what the platform lists.
func (c *cluster) list() {
	var listed []event.ListedEntry
	for _, m := range c.entries {
		listed = append(listed, event.ListedEntry{ID: m.id, Address: string(m.id)})
	}
	for _, m := range c.entries {
		c.do(m, event.EntriesListed{Entries: listed})
	}
}

// replace kills an entry and starts another in its place.
func (c *cluster) replace(i int) {
	c.entries[i].dead = true
	c.entries[i] = c.newMember()
	c.do(c.entries[i], event.Started{})
	c.list()
}

// resume lets a paused entry go on with what came in the meantime.
func (c *cluster) resume(m *member) {
	waiting := m.waiting
	m.paused, m.waiting = false, nil
	for _, body := range waiting {
		c.do(m, body)
	}
}

// do reduces an event at one entry, and all that follows from it in order.
func (c *cluster) do(m *member, body event.Body) {
	c.arrived = append(c.arrived, arrival{m, body})
	if len(c.arrived) > 1 {
		return // the call that is under way comes to it
	}
	for ; len(c.arrived) > 0; c.arrived = c.arrived[1:] {
		c.step(c.arrived[0].at, c.arrived[0].body)
	}
}

// step reduces an event at one entry and carries out its effects.
func (c *cluster) step(m *member, body event.Body) {
	if m.dead {
		return
	}
	if m.paused {
		m.waiting = append(m.waiting, body)
		return
	}
	if c.before != nil {
		body = c.before(m, body)
	}
	ev := event.Event{Now: c.now, Body: body}
	out := slices.Clone(reduce.Reduce(m.state, ev))
	if m.twin != nil && !reflect.DeepEqual(out, slices.Clone(reduce.Reduce(m.twin, ev))) {
		c.t.Fatalf("%s: the effects of %T are not the same again", m.id, body)
	}
	if c.after != nil {
		out = c.after(m, body, out)
	}
	for _, e := range out {
		if c.observe != nil {
			c.observe(m, e)
		}
		c.act(m, e)
	}
}

// append carries out an append, or what goes wrong with it.
func (c *cluster) append(m *member, e effect.Append) {
	outcome := event.Appended
	switch {
	case c.logDown || m.noLog || !e.Deadline.IsZero() && c.now.After(e.Deadline):
		outcome = event.AppendFailed
	case c.lateAppends > 0:
		c.lateAppends--
		outcome = event.AppendUnknown
		c.late = append(c.late, e.Record)
	default:
		c.log = append(c.log, control.Positioned{Offset: fleet.Offset(len(c.log) + 1), Record: e.Record})
		if c.loseAnswers > 0 {
			c.loseAnswers--
			outcome = event.AppendUnknown
		}
	}
	c.do(m, event.AppendFinished{ID: e.Record.ID, Outcome: outcome})
}

// flushLate lets late appends take effect.
func (c *cluster) flushLate() {
	for _, rec := range c.late {
		c.log = append(c.log, control.Positioned{Offset: fleet.Offset(len(c.log) + 1), Record: rec})
	}
	c.late = nil
}

func (c *cluster) act(m *member, e effect.Effect) {
	switch e := e.(type) {
	case effect.Append:
		c.append(m, e)
	case effect.SetReady:
		m.ready = e.Ready
	case effect.SendPeer:
		i := slices.IndexFunc(c.entries, func(o *member) bool { return string(o.id) == e.Address })
		if i >= 0 && !m.noPeers && !c.entries[i].noPeers {
			c.do(c.entries[i], event.PeerReceived{From: m.id, Incarnation: 1, Sequence: e.Sequence, Address: string(m.id), Message: e.Message})
		}
	case effect.CommandInstance:
		c.commands[e.ID]++
		c.commanded[m.id]++
		if !c.workersDown {
			c.do(m, event.CommandFinished{Instance: e.Instance, Epoch: e.Epoch, Outcome: event.CommandDone})
		}
	case effect.CheckInstance:
		c.do(m, event.InstanceChecked{Instance: e.Instance, Epoch: e.Epoch, Healthy: !c.broken[e.Instance]})
	case effect.Probe:
		c.do(m, event.ProbeFinished{Instance: e.Instance, OK: !c.broken[e.Instance]})
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
		m.last = e.Result
	}
}

func (c *cluster) write(body control.Body) fleet.Offset {
	at := fleet.Offset(len(c.log) + 1)
	c.log = append(c.log, control.Positioned{Offset: at, Record: control.Record{ID: fleet.RecordID(fmt.Sprintf("test-%d", at)), Body: body}})
	return at
}

// run lets virtual time pass.
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
		c.mostOut = max(c.mostOut, out)
	}
}

func (c *cluster) read(m *member) {
	if m.dead || m.paused {
		return
	}
	if m.noLog || c.logDown {
		c.do(m, event.ReadFailed{})
		return
	}
	page := c.log[m.next:]
	m.next = len(c.log)
	c.do(m, event.RecordsRead{Records: page, Next: fleet.Offset(m.next + 1), Oldest: 1})
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

// request places a request at an entry and returns the attempt it got.
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

// occupy places requests at an entry until one runs on an instance, and
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

// command proposes a record at an entry for an operator.
func (c *cluster) command(i int, body control.Body) control.Result {
	m := c.entries[i]
	at := len(c.log) + 1
	c.do(m, event.OperatorCommanded{
		ID:     1,
		Record: control.Record{ID: fleet.RecordID(fmt.Sprintf("op-%s-%d", m.id, at)), Time: c.now, Body: body}, Deadline: c.now.Add(time.Minute),
	})
	c.read(m)
	return m.last
}

// until runs until an entry sees an instance in a phase.
func (c *cluster) until(i int, id fleet.InstanceID, phase string) {
	c.t.Helper()
	for range 400 {
		if c.phase(i, id) == phase {
			return
		}
		c.run(drains.StepInterval)
	}
	must.EqOp(c.t, phase, c.phase(i, id))
}

// fleetText has a pool of n runners, two to a rack and four to a data centre,
// and a spare pool of two.
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
