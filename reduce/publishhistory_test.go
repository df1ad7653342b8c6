package reduce_test

import (
	"fmt"
	"math"
	"strings"

	"github.com/anishathalye/porcupine"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
)

// publishing is one publish as its operator saw it, or one read by an entry.
type publishing struct {
	base, version fleet.Version
	outcome       control.Outcome
	reader        fleet.EntryID
}

// publishHistory records publishes and reads of the version in force.
type publishHistory struct {
	clock   int64
	started map[fleet.RecordID]*porcupine.Operation
	// order keeps the publishes in the order of their start.
	order []fleet.RecordID
	reads []porcupine.Operation
	// accepted holds the versions of records that the log accepted.
	accepted map[fleet.RecordID]fleet.Version
	proposed int
}

func (h *publishHistory) tick() int64 {
	h.clock++
	return h.clock
}

// begin returns the id of a record that an operator sends.
func (h *publishHistory) begin(body control.Body) fleet.RecordID {
	h.proposed++
	id := fleet.RecordID(fmt.Sprintf("op-%d", h.proposed))
	if p, ok := body.(control.Publish); ok {
		if h.started == nil {
			h.started, h.accepted = make(map[fleet.RecordID]*porcupine.Operation), make(map[fleet.RecordID]fleet.Version)
		}
		h.started[id] = &porcupine.Operation{Input: publishing{base: p.Base}, Call: h.tick(), Return: math.MaxInt64}
		h.order = append(h.order, id)
	}
	return id
}

func (h *publishHistory) end(res control.Result) {
	if op, ok := h.started[res.Record]; ok {
		in := op.Input.(publishing)
		in.outcome, in.version = res.Outcome, res.Version
		op.Input, op.Return = in, h.tick()
	}
}

func (h *publishHistory) folded(res control.Result) {
	if _, ok := h.started[res.Record]; ok && res.Outcome == control.Accepted {
		h.accepted[res.Record] = res.Version
	}
}

func (h *publishHistory) read(by fleet.EntryID, v fleet.Version) {
	at := h.tick()
	h.reads = append(h.reads, porcupine.Operation{Input: publishing{reader: by, version: v}, Call: at, Return: h.tick()})
}

// operations returns the whole history. Of a publish without a certain answer
// the log tells at the end whether it took effect.
func (h *publishHistory) operations() []porcupine.Operation {
	all := h.reads
	for _, id := range h.order {
		op := *h.started[id]
		in := op.Input.(publishing)
		if version, ok := h.accepted[id]; ok && (in.outcome == control.Undecided || in.outcome == 0) {
			in.outcome, in.version, op.Return = control.Accepted, version, math.MaxInt64
		}
		op.Input = in
		all = append(all, op)
	}
	for i := range all {
		all[i].ClientId = i
	}
	return all
}

// register is the state of the register: the versions that were in force, one
// bit each, and the newest.
type register struct {
	newest fleet.Version
	all    string
}

// publishModel is a register that changes by compare-and-set on its version.
// Entries follow it late, and read only what was in force.
var publishModel = porcupine.Model{
	Init: func() any { return register{newest: 1, all: " 0 1 "} },
	Step: func(state, input, _ any) (bool, any) {
		s, in := state.(register), input.(publishing)
		known := fmt.Sprintf(" %d ", in.version)
		switch {
		case in.reader != "":
			return strings.Contains(s.all, known), s
		case in.outcome == control.Accepted:
			ok := in.base == s.newest && in.version > s.newest
			return ok, register{newest: in.version, all: s.all + known[1:]}
		case in.outcome == control.Conflict:
			return in.base != s.newest, s
		default:
			return true, s
		}
	},
}
