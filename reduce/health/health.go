// Package health judges endpoints by the outcomes of the attempts sent to them
// and by probes. An endpoint that fails everything it starts is ejected, comes
// back on probation with single requests, and is in full use again after some
// successes. One that says that it is leaving gets nothing until a probe or a
// new services text says otherwise.
package health

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

const (
	// ejectAfter is the number of consecutive failures that ejects an instance.
	ejectAfter = 5
	// recoverAfter is the number of consecutive successes that end probation.
	recoverAfter = 3
	// maxEjectedPercent bounds the part of a pool that is ejected at once.
	maxEjectedPercent = 50

	// minEjection and maxEjection bound the time until an ejected instance is
	// probed; it doubles with each ejection and failed probe.
	minEjection = time.Second
	maxEjection = time.Minute
	// minPause and maxPause bound the time for which an instance rests that
	// refuses requests while none runs there; it doubles with each refusal.
	minPause = 10 * time.Millisecond
	maxPause = 500 * time.Millisecond
	// leavingProbe is the time between probes of a leaving instance.
	leavingProbe = 2 * time.Second
	// probeTimeout is when a probe without a result counts as failed.
	probeTimeout = 5 * time.Second
)

// Phase is how far an instance is trusted.
type Phase uint8

// Phases of an instance.
const (
	// Healthy instances are in full use, but for a smaller limit while they
	// fail.
	Healthy Phase = iota
	// Probation allows one request at a time.
	Probation
	// Paused instances refused a request while none of this entry's ran there,
	// and rest for a short time.
	Paused
	// Ejected instances failed and get nothing until a probe succeeds.
	Ejected
	// Leaving instances said that they take no new work.
	Leaving
)

// String returns the phase's name.
func (p Phase) String() string {
	switch p {
	case Healthy:
		return "healthy"
	case Probation:
		return "probation"
	case Paused:
		return "paused"
	case Ejected:
		return "ejected"
	case Leaving:
		return "leaving"
	default:
		return "invalid"
	}
}

// Instance is what is known of one instance.
type Instance struct {
	ID    fleet.InstanceID
	Pool  fleet.PoolName
	Phase Phase
	// Timer is the timer of the next probe or of the end of a pause. Its owner
	// is the instance.
	Timer timer.Timer

	address   string
	slots     int
	failures  int
	successes int
	// window is the number of requests that the instance takes at once, once it
	// has refused one: other entries use the rest of its slots. It shrinks to
	// what runs at a refusal and grows by one for as many answers as it holds.
	window   int
	windowed bool
	grown    int
	// resume is the phase after a pause.
	resume  Phase
	backoff time.Duration
	pause   time.Duration
	probing bool
	// reported is the phase of the last call of Changed.
	reported Phase
}

// State holds the instances by id.
type State struct {
	byID map[fleet.InstanceID]*Instance
	size map[fleet.PoolName]int
	// slots is the number of slots of one instance of each pool.
	slots map[fleet.PoolName]int
	// ejected counts ejected and leaving instances for each pool.
	ejected map[fleet.PoolName]int
}

// New returns a state without instances.
func New() *State {
	return &State{
		byID:    make(map[fleet.InstanceID]*Instance),
		size:    make(map[fleet.PoolName]int),
		slots:   make(map[fleet.PoolName]int),
		ejected: make(map[fleet.PoolName]int),
	}
}

// ApplyDelta brings the state in line with a change of the text in force, in which
// each instance is in the pool that it belongs to, and all instances of pools
// that changed are listed. An instance that is new, or has a new address,
// starts healthy. Those that are gone are returned, for their timers to be
// cleared.
func (s *State) ApplyDelta(d *fleet.Delta) []*Instance {
	for _, pool := range d.RemovedPools {
		delete(s.slots, pool)
	}
	for _, pool := range d.Pools {
		s.slots[pool.Name] = pool.Capacity()
	}
	var gone []*Instance
	for _, id := range d.RemovedInstances {
		if it, ok := s.byID[id]; ok {
			gone = append(gone, it)
			s.remove(it)
		}
	}
	for i := range d.Instances {
		cfg := &d.Instances[i]
		it, ok := s.byID[cfg.ID]
		if ok {
			s.remove(it)
		}
		if !ok || it.address != cfg.Address {
			if ok {
				gone = append(gone, it)
			}
			it = &Instance{ID: cfg.ID, address: cfg.Address}
		}
		s.add(it, cfg.Pool)
	}
	return gone
}

func (s *State) add(it *Instance, pool fleet.PoolName) {
	it.Pool, it.slots = pool, s.slots[pool]
	s.byID[it.ID] = it
	s.size[pool]++
	if it.out() {
		s.ejected[pool]++
	}
}

func (s *State) remove(it *Instance) {
	delete(s.byID, it.ID)
	s.size[it.Pool]--
	if it.out() {
		s.ejected[it.Pool]--
	}
}

// Get returns an instance.
func (s *State) Get(id fleet.InstanceID) (*Instance, bool) {
	it, ok := s.byID[id]
	return it, ok
}

func (it *Instance) out() bool { return it.Phase == Ejected || it.Phase == Leaving }

// Limit returns how many of the instance's slots may be used, after its pause
// if it is paused. Each consecutive failure halves it.
func (it *Instance) Limit() int {
	phase := it.Phase
	if phase == Paused {
		phase = it.resume
	}
	switch phase {
	case Ejected, Leaving:
		return 0
	case Probation:
		return 1
	default:
	}
	limit := max(1, it.slots>>min(it.failures, ejectAfter))
	if it.windowed {
		return min(limit, it.window)
	}
	return limit
}

// RecordSuccess notes a whole answer. It returns true when the instance changed.
func (s *State) RecordSuccess(it *Instance) bool {
	if it.out() {
		return false
	}
	clean := it.Phase == Healthy && it.failures == 0 && !it.windowed
	it.failures, it.pause = 0, 0
	if clean {
		return false
	}
	it.grow()
	it.successes++
	if it.Phase == Probation && it.successes >= recoverAfter {
		it.Phase, it.backoff = Healthy, 0
	}
	return true
}

// grow widens the window after a whole window of answers.
func (it *Instance) grow() {
	if !it.windowed {
		return
	}
	it.grown++
	if it.grown < it.window {
		return
	}
	it.window++
	it.grown = 0
	it.windowed = it.window < it.slots
}

// RecordFailure notes a failure of the instance. It returns true when the instance is
// ejected by it.
func (s *State) RecordFailure(it *Instance) bool {
	if it.out() {
		return false
	}
	it.failures++
	it.successes = 0
	if it.Phase != Probation && it.failures < ejectAfter {
		return false
	}
	if !s.mayEject(it.Pool) {
		it.Phase = Probation
		return false
	}
	s.eject(it)
	return true
}

func (s *State) mayEject(pool fleet.PoolName) bool {
	return (s.ejected[pool]+1)*100 <= s.size[pool]*maxEjectedPercent
}

func (s *State) eject(it *Instance) {
	it.Phase = Ejected
	it.backoff = min(maxEjection, max(minEjection, 2*it.backoff))
	s.ejected[it.Pool]++
}

// RevertFailure takes back a failure that turned out to be the request's own fault.
func (s *State) RevertFailure(it *Instance) {
	if it.failures > 0 {
		it.failures--
	}
	if it.Phase == Ejected && it.failures < ejectAfter {
		s.readmit(it)
	}
}

// RecordRefusal notes that the instance had no slot beside a number of requests that
// run there. When there are none, nothing would tell that a slot is free again,
// so the instance is paused.
func (s *State) RecordRefusal(it *Instance, running int) {
	if it.out() || it.Phase == Paused {
		return
	}
	it.windowed, it.window, it.grown = true, max(1, running), 0
	if running > 0 {
		return
	}
	it.resume, it.Phase = it.Phase, Paused
	it.pause = min(maxPause, max(minPause, 2*it.pause))
}

// MarkLeaving notes that the instance takes no new work. It returns true when that
// is news.
func (s *State) MarkLeaving(it *Instance) bool {
	if it.Phase == Leaving {
		return false
	}
	if !it.out() {
		s.ejected[it.Pool]++
	}
	it.Phase = Leaving
	return true
}

// TimerDelay returns the time until the instance is due again.
func (it *Instance) TimerDelay() time.Duration {
	switch it.Phase {
	case Paused:
		return it.pause
	case Leaving:
		return leavingProbe
	default:
		return it.backoff
	}
}

// HandleTimer handles the end of Wait. It returns the wait for a probe's result and
// true when the instance has to be probed, now.
func (s *State) HandleTimer(it *Instance) (time.Duration, bool) {
	switch {
	case it.Phase == Paused:
		it.Phase = it.resume
		return 0, false
	case !it.out():
		return 0, false
	case it.probing:
		s.RecordProbe(it, false, false)
		return 0, false
	}
	it.probing = true
	return probeTimeout, true
}

// RecordProbe notes the result of a probe: whether the endpoint answered, and
// whether it is leaving. An instance that is well goes on probation.
func (s *State) RecordProbe(it *Instance, ok, leaving bool) {
	it.probing = false
	switch {
	case !it.out():
	case leaving:
		it.Phase = Leaving
	case ok:
		s.readmit(it)
	default:
		it.backoff = min(maxEjection, max(minEjection, 2*it.backoff))
		it.Phase = Ejected
	}
}

func (s *State) readmit(it *Instance) {
	it.Phase = Probation
	it.failures, it.successes = 0, 0
	it.probing = false
	s.ejected[it.Pool]--
}

// Probing reports whether a probe is under way.
func (it *Instance) Probing() bool { return it.probing }

// TakePhaseChange reports whether the phase is another than at the last call, and
// whether that is worth a log line: a pause is not.
func (it *Instance) TakePhaseChange() (changed, notable bool) {
	before := it.reported
	it.reported = it.Phase
	if it.Phase == before {
		return false, false
	}
	return true, it.Phase != Paused && before != Paused
}

// Address returns where the instance listens.
func (it *Instance) Address() string { return it.address }
