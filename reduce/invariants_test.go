package reduce_test

import (
	"strings"
	"testing"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestFleetHoldsUnderAnyOrder(t *testing.T) {
	setRapid(t, "rapid.steps", "30", "60")
	rapid.Check(t, func(t *rapid.T) {
		w := newFleetWorld(t, nil)
		w.drawActions()
		must.SliceEmpty(t, w.violations, must.Sprint(strings.Join(w.violations, "\n")))
	})
}

// TestFleetHoldsForEntriesWithoutNews applies the strict limit to all entries,
// also to those that receive records neither from the log nor from a peer that
// reads it; see KNOWN-RED.txt.
func TestFleetHoldsForEntriesWithoutNews(t *testing.T) {
	setRapid(t, "rapid.steps", "30", "60")
	rapid.Check(t, func(t *rapid.T) {
		w := newFleetWorld(t, nil)
		w.allEntriesStrict = true
		w.drawActions()
		must.SliceEmpty(t, w.violations, must.Sprint(strings.Join(w.violations, "\n")))
	})
}

// TestFleetChecksFindSeededFaults injects a fault against each invariant, and
// expects the checks to find it.
func TestFleetChecksFindSeededFaults(t *testing.T) {
	setRapid(t, "rapid.steps", "30", "60")
	for name, seed := range map[string]func(*cluster){
		"I1 drain that the pool cannot spare":  forceDrains,
		"I2 move that one entry reads wrongly": misreadMoves,
		"I6 drain that no entry acts on":       hideDrains,
		"I7 acknowledgement without waiting":   acknowledgeAll,
		"I8 stale text that one entry takes":   takeStaleTexts,
		"I8 conflict reported as accepted":     acceptConflicts,
		"leak of requests":                     loseOutcomes,
	} {
		t.Run(name, func(t *testing.T) {
			invariant, _, _ := strings.Cut(name, " ")
			found := 0
			rapid.Check(t, func(t *rapid.T) {
				if found > 0 {
					return
				}
				w := newFleetWorld(t, seed)
				w.drawActions()
				for _, b := range w.violations {
					if strings.HasPrefix(b, invariant+":") {
						found++
					}
				}
			})
			must.Positive(t, found)
		})
	}
}

func forceDrains(c *cluster) {
	c.rewriteEffects = func(_ *clusterEntry, _ event.Body, out []effect.Effect) []effect.Effect {
		for i, e := range out {
			a, _ := e.(effect.Append)
			if d, ok := a.Record.Body.(control.Drain); ok {
				d.Force = true
				a.Record.Body = d
				out[i] = a
			}
		}
		return out
	}
}

// misread changes the records that the selected entries read from the log.
func misread(c *cluster, reads func(*clusterEntry) bool, change func(control.Body) control.Body) {
	c.rewriteEvent = func(m *clusterEntry, body event.Body) event.Body {
		ev, ok := body.(event.RecordsRead)
		if !ok || !reads(m) {
			return body
		}
		records := ev.Records
		ev.Records = nil
		for _, p := range records {
			p.Record.Body = change(p.Record.Body)
			ev.Records = append(ev.Records, p)
		}
		return ev
	}
}

func everyone(*clusterEntry) bool { return true }

func firstEntry(m *clusterEntry) bool { return m.id == "entry-1" }

func misreadMoves(c *cluster) {
	misread(c, firstEntry, func(b control.Body) control.Body {
		if _, ok := b.(control.Move); ok {
			return control.Void{}
		}
		return b
	})
}

func hideDrains(c *cluster) {
	misread(c, everyone, func(b control.Body) control.Body {
		if _, ok := b.(control.Drain); ok {
			return control.Void{}
		}
		return b
	})
}

func takeStaleTexts(c *cluster) {
	newest := fleet.Version(1)
	misread(c, firstEntry, func(b control.Body) control.Body {
		if p, ok := b.(control.Publish); ok && p.Text != nil {
			p.Base = newest
			return p
		}
		return b
	})
}

func acknowledgeAll(c *cluster) {
	c.rewriteEffects = func(m *clusterEntry, _ event.Body, out []effect.Effect) []effect.Effect {
		for i, e := range out {
			send, _ := e.(effect.SendPeer)
			if _, ok := send.Message.(message.Heartbeat); !ok {
				continue
			}
			var acks message.DrainAcks
			for _, in := range c.entries[0].status.Instances {
				acks.Acks = append(acks.Acks, message.DrainAck{Instance: in.ID, Epoch: in.Epoch})
			}
			send.Message = acks
			out[i] = send
		}
		return out
	}
}

func acceptConflicts(c *cluster) {
	c.rewriteEffects = func(_ *clusterEntry, _ event.Body, out []effect.Effect) []effect.Effect {
		for i, e := range out {
			if r, ok := e.(effect.Reply); ok && r.Result.Outcome == control.Conflict {
				r.Result.Outcome = control.Accepted
				out[i] = r
			}
		}
		return out
	}
}

func loseOutcomes(c *cluster) {
	c.rewriteEvent = func(_ *clusterEntry, body event.Body) event.Body {
		if _, ok := body.(event.AttemptFinished); ok {
			return event.TimerFired{}
		}
		return body
	}
}
