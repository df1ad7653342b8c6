package jobs

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/crashes"
)

const (
	// rackLossWindow is the time within which the runners of a rack that loses power fall
	// silent: a poll of each is in flight, and its connection breaks.
	rackLossWindow = 300 * time.Millisecond
	// minRackLoss is the number of runners of a rack that fall silent together from which
	// the rack is the likely cause. Two may crash together by chance.
	minRackLoss = 3
	// silenceMemory is how long it is kept which runners fell silent. Runners that have
	// crashed are back within some seconds.
	silenceMemory = 20 * time.Second
)

// silence is the time at which a runner stopped answering.
type silence struct {
	runner fleet.RunnerID
	rack   fleet.Rack
	at     time.Time
}

// noteSilence remembers that a runner has stopped answering.
func (o *ownership) noteSilence(r *runner) {
	o.silences = slices.DeleteFunc(o.silences, func(s silence) bool { return o.now().Sub(s.at) > silenceMemory })
	if r.Rack != "" {
		o.silences = append(o.silences, silence{runner: r.ID, rack: r.Rack, at: r.poll.silentSince})
	}
}

// lostWithRack reports whether a runner that has ended fell silent together with others of
// its rack.
func (o *ownership) lostWithRack(r *runner) bool {
	if r.Rack == "" || !r.poll.unreachable {
		return false
	}
	together := make(map[fleet.RunnerID]bool)
	for _, s := range o.silences {
		if s.rack == r.Rack && s.at.Sub(r.poll.silentSince).Abs() <= rackLossWindow {
			together[s.runner] = true
		}
	}
	return len(together) >= minRackLoss
}

// unlikelyCause reports whether a run is unlikely to have ended its runner, which was lost with
// its rack: it had lasted for some time, or is a run of a former owner without a sign that it had
// just begun. One that had just begun may be the cause all the same.
func (o *ownership) unlikelyCause(run *run, end *crashes.Run) bool {
	adopted := run.startEpoch != o.epoch && !end.Began
	return crashes.Settled(end.Proven) || adopted
}
