package jobs

import (
	"slices"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/ledger"
)

// changeKind is what a change concerns.
type changeKind uint8

const (
	jobChange changeKind = iota
	waveChange
	// The lists of the ledger: instances with recent orders, runners that were not reached
	// and runners that have restarted.
	orderedChange
	unreachedChange
	restartedChange
	runTimesChange
	holdChange
	changeKinds
)

// change is something that differs from what the ledger holds.
type change struct {
	kind changeKind
	// job is set for a jobChange, wave for a waveChange, and hold for a holdChange.
	job  *job
	wave *wave
	hold *hold
}

// storedList is what the ledger holds of a list.
type storedList struct {
	// queued is set while a change of the list is in the outbox.
	queued bool
	// parts is the number of records that hold the list.
	parts int
}

// markChanged adds a change of a list to the outbox.
func (o *ownership) markChanged(kind changeKind) {
	if l := &o.outbox.lists[kind]; !l.queued {
		l.queued = true
		o.outbox.add(change{kind: kind})
	}
}

// markDirty adds a job to the outbox.
func (o *ownership) markDirty(j *job) {
	if !j.inOutbox {
		j.inOutbox = true
		o.outbox.add(change{kind: jobChange, job: j})
	}
}

// markWave adds a wave to the outbox.
func (o *ownership) markWave(w *wave) {
	if !w.inOutbox {
		w.inOutbox = true
		o.outbox.add(change{kind: waveChange, wave: w})
	}
}

// recordLimit is the size of the largest record that the store takes, in bytes.
func (o *ownership) recordLimit() int { return o.s.cfg.Bounds.RecordBytes }

// records returns the records that store a change, and takes it as stored by them.
func (o *ownership) records(c change) []ledger.Record {
	switch c.kind {
	case jobChange:
		c.job.inOutbox = false
		// The job may be in the outbox since before a restart, and its progress may follow from the restart.
		var out []ledger.Record
		if o.outbox.lists[restartedChange].queued {
			out = o.listRecords(restartedChange)
		}
		return append(out, o.jobRecords(c.job)...)
	case waveChange:
		c.wave.inOutbox = false
		return o.waveRecords(c.wave)
	case runTimesChange:
		return o.runTimeRecords()
	case holdChange:
		return []ledger.Record{{Hold: &c.hold.Hold, DropHold: true}}
	default:
		if !o.outbox.lists[c.kind].queued {
			return nil // stored with an earlier change
		}
		return o.listRecords(c.kind)
	}
}

// listRecords returns the records that store a list, and remove those of a longer one.
func (o *ownership) listRecords(kind changeKind) []ledger.Record {
	var out []ledger.Record
	switch kind {
	case orderedChange:
		for _, ids := range ledger.SplitIDs(o.recentlyOrdered(), o.recordLimit()) {
			out = append(out, ledger.Record{RecentlyOrdered: &ledger.RecentlyOrdered{Instances: ids}})
		}
	case unreachedChange:
		// Half of a record is left for the epochs beside the ids.
		for _, ids := range ledger.SplitIDs(o.unreached.ids(), o.recordLimit()/2) {
			out = append(out, ledger.Record{Unreached: o.unreached.record(o.epoch, ids)})
		}
	case restartedChange:
		for _, ids := range ledger.SplitIDs(o.restartedRunners(), o.recordLimit()) {
			out = append(out, ledger.Record{Restarted: &ledger.Restarted{Runners: ids}})
		}
	default:
		return nil // not a list
	}
	l := &o.outbox.lists[kind]
	l.queued = false
	for n := range out {
		out[n].Part = n
	}
	for n := len(out); n < l.parts; n++ {
		out = append(out, emptyList(kind, n))
	}
	l.parts = len(out)
	return out
}

// emptyList returns the record that empties a part of a list.
func emptyList(kind changeKind, part int) ledger.Record {
	switch kind {
	case orderedChange:
		return ledger.Record{Part: part, RecentlyOrdered: &ledger.RecentlyOrdered{}}
	case unreachedChange:
		return ledger.Record{Part: part, Unreached: &ledger.Unreached{}}
	default:
		return ledger.Record{Part: part, Restarted: &ledger.Restarted{}}
	}
}

// waveRecords returns the records that store the progress of a wave for the next owner. It
// only grows, so the parts of different times may be read together.
func (o *ownership) waveRecords(w *wave) []ledger.Record {
	done := make([]fleet.InstanceID, 0, len(w.done))
	for id := range w.done {
		done = append(done, id)
	}
	slices.Sort(done)
	var out []ledger.Record
	for n, ids := range ledger.SplitIDs(done, o.recordLimit()) {
		out = append(out, ledger.Record{Part: n, Wave: &ledger.Wave{ID: w.ID, Done: ids}})
	}
	return out
}

// jobRecords returns the records that store the changes of a job.
func (o *ownership) jobRecords(j *job) []ledger.Record {
	if j.expired {
		return append([]ledger.Record{{Job: j.id, DropProgress: true}}, j.dropParts([ledger.GenerationSlots]int{})...)
	}
	out := o.holdRecords(j)
	if !j.definitionStored {
		j.definitionStored = true
		out = append(out, o.definitionRecord(j))
	}
	if j.hasProgress {
		out = append(out, o.progressRecords(j)...)
	}
	if j.state.Final() && !j.definitionDropped {
		j.definitionDropped = true
		out = append(out, ledger.Record{Job: j.id, DropDefinition: true})
	}
	return out
}

func (o *ownership) definitionRecord(j *job) ledger.Record {
	d := &ledger.Definition{
		Queue: j.queue, Service: j.service, MaxAttempts: j.maxAttempts, Accepted: j.accepted, Spec: j.spec, Tenant: j.tenant,
	}
	if o.learnsRunTimes() {
		d.ExpectedPath = j.expectedPath
	}
	return ledger.Record{Job: j.id, Definition: d}
}

// progressRecords returns the records that store the progress of a job.
func (o *ownership) progressRecords(j *job) []ledger.Record {
	out := ledger.SplitProgress(ledger.Record{Job: j.id, Progress: j.progress()}, j.generation+1, o.recordLimit())
	parts := len(out) - 1
	if parts == 0 {
		return append(out, j.dropParts([ledger.GenerationSlots]int{})...)
	}
	j.generation++
	// The parts of the last generation stay until the new ones are stored.
	keep := j.parts
	slot := j.generation % ledger.GenerationSlots
	keep[slot] = parts
	out = append(j.dropParts(keep), out...)
	j.parts[slot] = parts
	return out
}

// dropParts returns the records that remove parts of the job's progress, except for the
// first ones of each slot.
func (j *job) dropParts(keep [ledger.GenerationSlots]int) []ledger.Record {
	var out []ledger.Record
	for slot := range j.parts {
		for n := keep[slot]; n < j.parts[slot]; n++ {
			out = append(out, ledger.Record{Job: j.id, DropPart: true, DropGeneration: int64(slot), Part: n})
		}
		j.parts[slot] = min(j.parts[slot], keep[slot])
	}
	return out
}
