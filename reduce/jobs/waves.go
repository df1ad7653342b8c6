package jobs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/ledger"
)

const (
	// waveTimeShare is the share of a wave's time limit by which the maintenance is
	// planned to be done. The rest is a reserve for takeovers and outages.
	waveTimeShare = 0.6
	// vacateTime is the usual time until no task runs on an instance that is being
	// vacated.
	vacateTime = 1500 * time.Millisecond
	// returnMargin is the time that an instance is assumed to need, beyond its
	// maintenance, until it is listed as up.
	returnMargin = time.Second
)

// wave is the owner's state of a maintenance wave.
type wave struct {
	*fleet.MaintenanceWave
	begunAt time.Time
	// members holds the instances of the wave.
	members map[fleet.InstanceID]bool
	// done holds the instances whose maintenance has begun or is not needed.
	done map[fleet.InstanceID]bool
	// down holds the instances that may be down, with the time of the order or of
	// the first list that showed their maintenance.
	down map[fleet.InstanceID]time.Time
	// vacating holds the instances that are being vacated.
	vacating map[fleet.InstanceID]bool
	// statusPublished is set once a status of the wave was published, publishing
	// while one is being published, and finished while no instance is left.
	// publishedDone is set when the last published status was that the wave is
	// done.
	statusPublished, publishing, finished bool
	publishedDone                         bool
	// lists is the number of lists of instances that the finished wave was compared with.
	lists int
	// inOutbox is set while the wave has changes that are in no batch for the ledger.
	inOutbox bool
}

// wave returns the state of a wave, which begins if it is new. It returns nil for
// an unknown wave.
func (o *ownership) wave(id int64) *wave {
	for _, w := range o.instances.waves {
		if w.ID == id {
			return w
		}
	}
	spec, ok := o.s.waves[id]
	if !ok {
		return nil
	}
	w := &wave{
		MaintenanceWave: spec, begunAt: o.s.waveSeenAt[id], done: make(map[fleet.InstanceID]bool),
		down: make(map[fleet.InstanceID]time.Time), vacating: make(map[fleet.InstanceID]bool),
		members: make(map[fleet.InstanceID]bool, len(spec.Instances)),
	}
	for _, id := range spec.Instances {
		w.members[id] = true
	}
	for _, id := range o.instances.storedWaves[id] {
		w.done[id] = true
	}
	o.instances.waves = append(o.instances.waves, w)
	slices.SortFunc(o.instances.waves, func(a, b *wave) int { return cmp.Compare(a.ID, b.ID) })
	return w
}

// restoreWaves restores the progress of waves from the ledger.
func (o *ownership) restoreWaves(stored []ledger.Wave) {
	for i := range stored {
		o.instances.storedWaves[stored[i].ID] = stored[i].Done
	}
}

// tickWaves continues the waves and publishes their status.
func (o *ownership) tickWaves() {
	for id := range o.s.waves {
		o.wave(id)
	}
	for _, w := range o.instances.waves {
		if w.finished {
			o.resumeWave(w)
		}
		if !w.finished {
			o.tickWave(w)
		}
		o.publishWave(w)
	}
}

// resumeWave continues a finished wave if a list shows an instance that counted as gone.
func (o *ownership) resumeWave(w *wave) {
	if w.lists == o.instances.lists {
		return
	}
	w.lists = o.instances.lists
	if left := o.remainingInstances(w); len(left) > 0 {
		w.finished = false
		o.s.logDecision(effect.Decision{Name: "wave resumed", Warning: true, Version: w.ID, Count: len(left), Epoch: o.epoch})
	}
}

// unproven returns the number of instances of a wave that are to be maintained and of which
// it is not known whether they have gone.
func (o *ownership) unproven(w *wave) int {
	n := 0
	for _, id := range w.Instances {
		if _, listed := o.instances.byID[id]; !listed && !w.done[id] && !o.instances.hasGone(id, w.begunAt) {
			n++
		}
	}
	return n
}

func (o *ownership) tickWave(w *wave) {
	o.updateDown(w)
	left := o.remainingInstances(w)
	if len(left) == 0 && o.unproven(w) > 0 {
		return
	}
	if len(left) == 0 {
		w.finished, w.lists = true, o.instances.lists
		o.s.logDecision(effect.Decision{
			Name: "wave done", Version: w.ID, Count: len(w.done), Epoch: o.epoch, Age: o.now().Sub(w.begunAt),
		})
		return
	}
	o.maintainIdle(w, left)
	o.vacateInstances(w, left)
}

// updateDown removes the instances that are up again from those that may be down,
// and adds those that are listed in maintenance.
func (o *ownership) updateDown(w *wave) {
	for id, since := range w.down {
		i, ok := o.instances.byID[id]
		up := ok && i.State == fleet.InstanceUp && i.pending == nil
		back := up && i.upSince.After(since) && o.now().Sub(since) > o.s.cfg.Bounds.MaintenanceTime+returnMargin/2
		// An instance that was refused as busy may be down by an order of a former owner.
		refused := up && i.refusedAt.After(since) && i.listedAt.After(i.refusedAt)
		if !ok || back || refused {
			delete(w.down, id)
		}
	}
	for id := range w.members {
		i, ok := o.instances.byID[id]
		if !ok || i.State != fleet.InstanceMaintenance {
			continue
		}
		if _, known := w.down[id]; !known {
			w.down[id] = o.now()
		}
	}
}

// remainingInstances returns the instances of a wave that are still to be
// maintained, ordered by load.
func (o *ownership) remainingInstances(w *wave) []*instance {
	type loaded struct {
		*instance
		load int64
	}
	var left []loaded
	for _, id := range w.Instances {
		if i, ok := o.instances.byID[id]; ok && !w.done[id] {
			left = append(left, loaded{instance: i, load: o.instanceLoad(i)})
		}
	}
	slices.SortStableFunc(left, func(a, b loaded) int { return cmp.Compare(a.load, b.load) })
	out := make([]*instance, len(left))
	for n := range left {
		out[n] = left[n].instance
	}
	return out
}

// instanceLoad returns the CPU time that is reserved on an instance, plus
// longRunningLoad for each long-running task, because a move of a long-running task
// is noticed by its users.
func (o *ownership) instanceLoad(i *instance) int64 {
	r := o.runnerOf(i)
	if r == nil {
		return 0
	}
	return r.used.CPU + int64(r.counts.longRunning)*longRunningLoad
}

// longRunningLoad is the CPU time of a whole runner, in thousandths of a core.
const longRunningLoad = 64_000

// maintainIdle orders the maintenance of instances on which nothing runs.
func (o *ownership) maintainIdle(w *wave, left []*instance) {
	reserved := o.reservedPlaces(w)
	for _, i := range left {
		if len(w.down) >= w.MaxAtOnce {
			return
		}
		if (!reserved[i.ID] && w.freePlaces(reserved) <= 0) || !o.orderable(i) || !o.confirmedIdle(i) {
			continue
		}
		if o.orderInstance(i, effect.InstanceMaintain, "", w.ID) {
			w.down[i.ID] = o.now()
			delete(w.vacating, i.ID)
			delete(reserved, i.ID)
		}
	}
}

// reservedPlaces returns the instances of a wave that are not down but may go down by an
// order of an earlier owner that is carried out late. An order of this tenure about such an
// instance settles that: its fence refuses the earlier one.
func (o *ownership) reservedPlaces(w *wave) map[fleet.InstanceID]bool {
	in := &o.instances
	if !o.lateOrdersPossible() || (len(in.formerlyOrdered) == 0 && !in.allFormerlyOrdered) {
		return nil
	}
	reserved := make(map[fleet.InstanceID]bool)
	for _, id := range w.Instances {
		i, ok := in.byID[id]
		_, down := w.down[id]
		if ok && !down && !w.done[id] && i.orderedAt.IsZero() && in.mayBeOrdered(id) {
			reserved[id] = true
		}
	}
	return reserved
}

// lateOrdersPossible reports whether an order of an earlier owner may still be carried out.
func (o *ownership) lateOrdersPossible() bool {
	return o.now().Before(o.s.tenure.FormerOwnersActiveUntil().Add(maxCallDelay))
}

// freePlaces returns how many instances of a wave may go down beside those that are down and
// those for which a place is reserved.
func (w *wave) freePlaces(reserved map[fleet.InstanceID]bool) int {
	return w.MaxAtOnce - len(w.down) - len(reserved)
}

// updateVacating removes the instances that are vacated no more from those of a wave: an
// order for another wave or for a move, or a restart, has ended that, or the pool cannot spare
// their runners any longer.
func (o *ownership) updateVacating(w *wave) {
	for _, id := range slices.Sorted(maps.Keys(w.vacating)) {
		i, ok := o.instances.byID[id]
		if !ok || o.runnerOf(i) == nil || !o.runnerOf(i).vacating {
			delete(w.vacating, id)
			continue
		}
		if i.pending == nil && o.returnRunner(o.runnerOf(i)) {
			delete(w.vacating, id)
			o.s.logDecision(effect.Decision{
				Name: "instance takes tasks again", Task: string(id), Runner: i.Runner, Version: w.ID, Epoch: o.epoch,
			})
		}
	}
}

// vacateInstances starts to vacate as many instances as the wave's time limit
// requires.
func (o *ownership) vacateInstances(w *wave, left []*instance) {
	o.updateVacating(w)
	deadline := w.begunAt.Add(fleet.ScaleDuration(w.Within, waveTimeShare))
	each := vacateTime + o.s.cfg.Bounds.MaintenanceTime + returnMargin
	room := max(deadline.Sub(o.now()), each)
	reserved := o.reservedPlaces(w)
	want := min(int((time.Duration(len(left))*each+room-1)/room), w.freePlaces(reserved))
	for _, i := range left {
		r := o.runnerOf(i)
		if r == nil || w.vacating[i.ID] || !o.orderable(i) || (len(w.vacating) >= want && !reserved[i.ID]) || !o.mayVacate(r) {
			continue
		}
		w.vacating[i.ID] = true
		r.vacating = true
		o.touch(r)
		o.s.logDecision(effect.Decision{
			Name: "instance vacated", Task: string(i.ID), Runner: r.ID, Version: w.ID, Count: len(r.runs), Epoch: o.epoch,
		})
	}
}

// onMaintained records that an instance's maintenance has begun or is not needed.
func (o *ownership) onMaintained(id fleet.InstanceID, waveID int64) {
	w := o.wave(waveID)
	if w == nil {
		return
	}
	w.done[id] = true
	delete(w.vacating, id)
	o.markWave(w)
}

// publishWave publishes the status of a wave for operators, if it has changed.
func (o *ownership) publishWave(w *wave) {
	if w.publishing || w.statusPublished && w.publishedDone == w.finished {
		return
	}
	w.publishing = true
	o.s.emit(effect.WriteWaveStatus{Epoch: o.epoch, Wave: w.ID, Done: w.finished})
}

func (o *ownership) onStatusWritten(b event.StatusWritten) {
	w := o.wave(b.Wave)
	if w == nil {
		return
	}
	w.publishing = false
	if !b.Failed {
		w.statusPublished, w.publishedDone = true, b.Done
	}
}
