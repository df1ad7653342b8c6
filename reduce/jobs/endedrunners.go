package jobs

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/endings"
)

const (
	// silentListInterval replaces instanceListInterval while work waits for a runner that
	// stopped answering less than silentListTime ago. The platform lists most instances that
	// fail as down, or removes them from the list, within that time.
	silentListInterval = 400 * time.Millisecond
	silentListTime     = 3 * time.Second
	// listTimePerInstance bounds the calls and the processor time for lists: with many instances
	// they are read no more often than usual.
	listTimePerInstance = 400 * time.Microsecond
)

// silentInterval returns the time between reads of the list while work waits for a runner that
// stopped answering lately.
func (in *instances) silentInterval() time.Duration {
	return min(max(silentListInterval, time.Duration(len(in.sorted))*listTimePerInstance), instanceListInterval)
}

// noteEnd records evidence that a runner has ended.
func (o *ownership) noteEnd(r *runner, e endings.Evidence) {
	if !r.end.Note(e) || len(r.runs)+len(r.lateStarts) == 0 {
		return
	}
	o.s.logDecision(effect.Decision{
		Name: "runner ended", Runner: r.ID, Incarnation: r.Incarnation, Reason: reasonOfEnd(e.Kind), Age: o.now().Sub(e.ShownAt), Epoch: o.epoch,
		Count: len(r.runs), Ran: o.silence(r),
	})
	o.s.count("runners_ended", reasonOfEnd(e.Kind))
}

// noteAlive drops the evidence that a runner has ended when it answers. A list was wrong, or the
// runner has restarted under its id.
func (o *ownership) noteAlive(r *runner) {
	if r.end.Kind != endings.None {
		o.s.logDecision(effect.Decision{
			Name: "ended runner answers", Warning: true, Runner: r.ID, Incarnation: r.Incarnation, Reason: reasonOfEnd(r.end.Kind),
			Age: o.now().Sub(r.end.ShownAt), Epoch: o.epoch,
		})
		o.s.count("ended_runners_answered", reasonOfEnd(r.end.Kind))
	}
	r.end = endings.Record{}
}

func reasonOfEnd(k endings.Kind) effect.Reason {
	switch k {
	case endings.InstanceDown:
		return reasonInstanceDown
	case endings.InstanceMissing:
		return reasonInstanceMissing
	case endings.InstanceOrdered:
		return reasonInstanceAway
	default:
		return reasonOtherRunner
	}
}

// silence returns for how long a runner has not answered; zero if it has answered the last poll.
// One without an address cannot be asked.
func (o *ownership) silence(r *runner) time.Duration {
	switch {
	case r.poll.unreachable:
		return o.now().Sub(r.poll.silentSince)
	case r.Address == "":
		return o.now().Sub(latest(o.startedAt, r.poll.answeredAt))
	default:
		return 0
	}
}

// endSilentRunners gives up the runs on runners that do not answer and have ended according to
// the lists of instances, and ends the waits for their answers. It leaves out runners that
// stopped answering within rackLossWindow, for which a lost rack is not yet detected.
func (o *ownership) endSilentRunners() {
	unresolved := o.unresolvedRunners()
	for _, r := range slices.Clone(o.sortedRunners) {
		awaited := len(r.runs)+r.strays > 0 || len(r.lateStarts) > 0 || unresolved[r.ID]
		if !awaited || o.silence(r) < rackLossWindow {
			continue
		}
		listing := o.listingOf(r)
		if e := endings.Of(r.ID, &listing, latest(r.aliveAt, r.poll.answeredAt)); e.Kind != endings.None {
			o.noteEnd(r, e)
		}
		if r.end.Retired() || (r.end.Ended() && (len(r.runsLostBy(reasonInstanceDown))+r.strays > 0 || unresolved[r.ID])) {
			o.onRunnerEndShown(r)
		}
	}
	if o.awaitsListing() {
		in := &o.instances
		in.nextListAt = o.now().Add(in.silentInterval())
	}
}

// onRunnerEndShown handles a runner that has ended according to the lists of instances.
func (o *ownership) onRunnerEndShown(r *runner) {
	o.onRunnerGone(r, reasonOfEnd(r.end.Kind))
	if r.end.Retired() {
		r.listed, r.unlistedAt, r.Address = false, o.now(), ""
	}
	r.strays = 0
	o.pool(r.Service).dirty = true
}

// listingOf returns the part of the lists of instances that concerns the instance of a runner.
func (o *ownership) listingOf(r *runner) endings.Listing {
	in := &o.instances
	i, listed := in.byID[r.Instance]
	switch {
	case r.Instance == "":
		return endings.Listing{}
	case !listed:
		return endings.Listing{MissingSince: in.requests[0]}
	case i.missing > 0 || i.pending != nil:
		return endings.Listing{}
	}
	out := endings.Listing{RequestedAt: i.listedAt, State: i.State, Runner: i.Runner}
	if i.Runner == i.lastRunner {
		out.RunnerSince = i.runnerSince
	}
	return out
}

// downWithRack reports whether the instance of a runner was first listed as down together with
// others of its rack, which may have lost power: their runners need not stop answering within
// rackLossWindow, as polls without a broken connection end at their own times.
func (o *ownership) downWithRack(r *runner) bool {
	i, ok := o.instances.byID[r.Instance]
	if !ok || i.State != fleet.InstanceDown || r.Rack == "" {
		return false
	}
	inRack := func(other *runner) bool { return other.Rack == r.Rack }
	n := 0
	for _, other := range o.instances.sorted {
		if other.State == fleet.InstanceDown && other.stateSince.Equal(i.stateSince) && slices.ContainsFunc(o.byInstance[other.ID], inRack) {
			n++
		}
	}
	return n >= minRackLoss
}

// unresolvedRunners returns the runners of the unresolved runs.
func (o *ownership) unresolvedRunners() map[fleet.RunnerID]bool {
	out := make(map[fleet.RunnerID]bool)
	for _, j := range o.unresolved {
		for _, occ := range j.occurrences {
			for _, t := range occ.allTasks() {
				for _, u := range t.unresolved {
					out[u.runner] = true
				}
			}
		}
	}
	return out
}

// listInstancesSoon has the list of instances read rackLossWindow after a runner stopped
// answering, if work waits for it: the list may show that it has ended.
func (o *ownership) listInstancesSoon(r *runner) {
	if len(r.runs)+len(r.lateStarts) == 0 {
		return
	}
	in := &o.instances
	at := latest(r.poll.silentSince.Add(rackLossWindow), in.listRequestedAt.Add(in.silentInterval()))
	if at.Before(in.nextListAt) {
		in.nextListAt = at
	}
}

// awaitsListing reports whether work waits for a runner whose end the next list may show: it
// stopped answering lately, or the last list was the first that shows the end.
func (o *ownership) awaitsListing() bool {
	return slices.ContainsFunc(o.sortedRunners, func(r *runner) bool {
		silence := o.silence(r)
		if silence == 0 || len(r.runs)+len(r.lateStarts) == 0 || r.end.Kind != endings.None {
			return false
		}
		i, listed := o.instances.byID[r.Instance]
		return silence < silentListTime || (listed && (i.missing > 0 || (i.Runner != "" && i.Runner != r.ID)))
	})
}

// setInstance sets the instance of a runner to the one that a former owner stored, unless it is
// known from the list of runners.
func (o *ownership) setInstance(r *runner, id fleet.InstanceID) {
	if r.Instance != "" || id == "" {
		return
	}
	o.unindexRunner(r)
	r.Instance = id
	o.indexRunner(r)
}
