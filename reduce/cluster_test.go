package reduce_test

import (
	"fmt"
	"slices"
	"testing"
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
	t       *testing.T
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
	mostOut              int
	gauges               map[gauge]float64
}

type gauge struct {
	entry fleet.EntryID
	name  effect.GaugeName
}

type member struct {
	id    fleet.EntryID
	state *reduce.State
	next  int
	// dead runs nothing; noLog and noPeers cut it off.
	dead, noLog, noPeers bool
	ready                bool
	running              map[fleet.AttemptID]fleet.InstanceID
	status               effect.Status
	last                 control.Result
	forecast             effect.Forecast
	requests             fleet.RequestID
}

func newCluster(t *testing.T, n int, text *fleet.Text) *cluster {
	c := &cluster{t: t, now: epoch, gauges: make(map[gauge]float64), commands: make(map[string]int), commanded: make(map[fleet.EntryID]int), broken: make(map[fleet.InstanceID]bool)}
	var listed []event.ListedEntry
	for i := range n {
		id := fleet.EntryID(fmt.Sprintf("entry-%d", i+1))
		listed = append(listed, event.ListedEntry{ID: id, Address: string(id)})
		c.entries = append(c.entries, &member{
			id:      id,
			state:   reduce.New(reduce.Config{Entry: id, Seed: uint64(i + 1), MaxRequests: 100}),
			running: make(map[fleet.AttemptID]fleet.InstanceID),
		})
	}
	c.write(control.Publish{Text: text})
	for _, m := range c.entries {
		c.do(m, event.Started{})
		c.do(m, event.EntriesListed{Entries: listed})
	}
	c.run(2 * time.Second)
	return c
}

// do reduces an event at one entry and carries out its effects.
func (c *cluster) do(m *member, body event.Body) {
	if m.dead {
		return
	}
	out := append([]effect.Effect(nil), reduce.Reduce(m.state, event.Event{Now: c.now, Body: body})...)
	for _, e := range out {
		c.act(m, e)
	}
}

func (c *cluster) act(m *member, e effect.Effect) {
	switch e := e.(type) {
	case effect.Append:
		if !c.logDown && !m.noLog {
			c.log = append(c.log, control.Positioned{Offset: fleet.Offset(len(c.log) + 1), Record: e.Record})
		}
	case effect.SendPeer:
		i := slices.IndexFunc(c.entries, func(o *member) bool { return string(o.id) == e.Address })
		if !m.noPeers && !c.entries[i].noPeers {
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
	case effect.SetReady:
		m.ready = e.Ready
	case effect.Probe:
		c.do(m, event.ProbeFinished{Instance: e.Instance, OK: !c.broken[e.Instance]})
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
	if m.dead || m.noLog || c.logDown {
		return
	}
	page := c.log[m.next:]
	m.next = len(c.log)
	c.do(m, event.RecordsRead{Records: page, Next: fleet.Offset(m.next + 1), Oldest: 1})
}

func (c *cluster) status(i int) effect.Status {
	m := c.entries[i]
	c.do(m, event.StatusAsked{ID: 1})
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
