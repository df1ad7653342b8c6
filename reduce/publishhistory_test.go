package reduce_test

import (
	"fmt"
	"math"
	"strings"

	"github.com/anishathalye/porcupine"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
)

// publishOperation is one publish as its operator saw it, or one read of the
// version by an entry.
type publishOperation struct {
	base, version fleet.Version
	outcome       control.Outcome
	reader        fleet.EntryID
}

// publishHistory records publishes and reads of the version in force.
type publishHistory struct {
	clock   int64
	started map[fleet.RecordID]*porcupine.Operation
	// order lists the publishes in the order of their start.
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

// begin records the start of an operator's record and returns its id.
func (h *publishHistory) begin(body control.Body) fleet.RecordID {
	h.proposed++
	id := fleet.RecordID(fmt.Sprintf("op-%d", h.proposed))
	if p, ok := body.(control.Publish); ok {
		if h.started == nil {
			h.started, h.accepted = make(map[fleet.RecordID]*porcupine.Operation), make(map[fleet.RecordID]fleet.Version)
		}
		h.started[id] = &porcupine.Operation{Input: publishOperation{base: p.Base}, Call: h.tick(), Return: math.MaxInt64}
		h.order = append(h.order, id)
	}
	return id
}

func (h *publishHistory) end(res control.Result) {
	if op, ok := h.started[res.Record]; ok {
		in := op.Input.(publishOperation)
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
	h.reads = append(h.reads, porcupine.Operation{Input: publishOperation{reader: by, version: v}, Call: at, Return: h.tick()})
}

// operations returns the whole history. For a publish without a certain answer,
// the log shows whether it took effect.
func (h *publishHistory) operations() []porcupine.Operation {
	all := h.reads
	for _, id := range h.order {
		op := *h.started[id]
		in := op.Input.(publishOperation)
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

// register is the model's state: all versions that were in force, and the
// newest one.
type register struct {
	newest fleet.Version
	all    string
}

// publishModel is a register that changes by compare-and-set on its version.
// Entries may read older versions, but only versions that were in force.
var publishModel = porcupine.Model{
	Init: func() any { return register{newest: 1, all: " 0 1 "} },
	Step: func(state, input, _ any) (bool, any) {
		s, in := state.(register), input.(publishOperation)
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
