// Package health tracks the health of endpoints by the outcomes of attempts and
// by probes. An endpoint is ejected after several consecutive failures. After a
// successful probe, the endpoint is on probation with one request at a time,
// and after several successes it is in full use again. An endpoint that reports
// that it is leaving gets no requests until a probe finds it in service or the
// services text changes its address.
package health

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

const (
	// ejectAfter is the number of consecutive failures after which an instance
	// is ejected.
	ejectAfter = 5
	// recoverAfter is the number of consecutive successes that end probation.
	recoverAfter = 3
	// maxEjectedPercent caps the share of a pool's instances that are ejected
	// or leaving after an ejection.
	maxEjectedPercent = 50

	// minEjection and maxEjection bound the delay before an ejected instance is
	// probed. The delay doubles with each ejection and each failed probe.
	minEjection = time.Second
	maxEjection = time.Minute
	// minPause and maxPause bound the pause of an instance that refuses a
	// request while none of this entry's requests runs there. The pause doubles
	// with each refusal.
	minPause = 10 * time.Millisecond
	maxPause = 500 * time.Millisecond
	// leavingProbeInterval is the time between probes of a leaving instance.
	leavingProbeInterval = 2 * time.Second
	// probeTimeout is the time after which a probe without a result counts as
	// failed.
	probeTimeout = 5 * time.Second
)

// Phase is the health state of an instance.
type Phase uint8

// Phases of an instance.
const (
	// Healthy instances are in full use, with a lower limit while they fail.
	Healthy Phase = iota
	// Probation instances get one request at a time.
	Probation
	// Paused instances refused a request while none of this entry's requests
	// ran there, and get no requests for a short time.
	Paused
	// Ejected instances failed and get no requests until a probe succeeds.
	Ejected
	// Leaving instances reported that they take no new work.
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

// Instance is the health record of an instance.
type Instance struct {
	ID    fleet.InstanceID
	Pool  fleet.PoolName
	Phase Phase
	// Timer fires when the next probe is due or a pause ends. Its owner is the
	// instance.
	Timer timer.Timer

	address   string
	slots     int
	failures  int
	successes int
	// window is the number of requests that the instance accepts at once. It is
	// known once the instance has refused a request because other entries use
	// the rest of its slots. It shrinks to the number of requests that run at a
	// refusal, and grows by one after as many successes as its size.
	window          int
	hasWindow       bool
	windowSuccesses int
	// resumePhase is the phase after a pause.
	resumePhase Phase
	backoff     time.Duration
	pauseTime   time.Duration
	probing     bool
	// reportedPhase is the phase at the last call of TakePhaseChange.
	reportedPhase Phase
}

// State holds the instances by id.
type State struct {
	byID     map[fleet.InstanceID]*Instance
	poolSize map[fleet.PoolName]int
	// poolSlots is the number of slots of one instance of each pool.
	poolSlots map[fleet.PoolName]int
	// outOfService is the number of ejected and leaving instances of each pool.
	outOfService map[fleet.PoolName]int
}

// New returns a state without instances.
func New() *State {
	return &State{
		byID:         make(map[fleet.InstanceID]*Instance),
		poolSize:     make(map[fleet.PoolName]int),
		poolSlots:    make(map[fleet.PoolName]int),
		outOfService: make(map[fleet.PoolName]int),
	}
}

// ApplyDelta updates the state after a change of the services text in force.
// The delta lists each instance with the pool that it currently belongs to, and
// all instances of pools that changed. An instance that is new, or has a new
// address, starts healthy. ApplyDelta returns the records that were removed or
// replaced, so that the caller can clear their timers.
func (s *State) ApplyDelta(d *fleet.Delta) []*Instance {
	for _, pool := range d.RemovedPools {
		delete(s.poolSlots, pool)
	}
	for _, pool := range d.Pools {
		s.poolSlots[pool.Name] = pool.Capacity()
	}
	var removed []*Instance
	for _, id := range d.RemovedInstances {
		if it, ok := s.byID[id]; ok {
			removed = append(removed, it)
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
				removed = append(removed, it)
			}
			it = &Instance{ID: cfg.ID, address: cfg.Address}
		}
		s.add(it, cfg.Pool)
	}
	return removed
}

func (s *State) add(it *Instance, pool fleet.PoolName) {
	it.Pool, it.slots = pool, s.poolSlots[pool]
	s.byID[it.ID] = it
	s.poolSize[pool]++
	if it.isOutOfService() {
		s.outOfService[pool]++
	}
}

func (s *State) remove(it *Instance) {
	delete(s.byID, it.ID)
	s.poolSize[it.Pool]--
	if it.isOutOfService() {
		s.outOfService[it.Pool]--
	}
}

// Get returns the health record of an instance.
func (s *State) Get(id fleet.InstanceID) (*Instance, bool) {
	it, ok := s.byID[id]
	return it, ok
}

func (it *Instance) isOutOfService() bool { return it.Phase == Ejected || it.Phase == Leaving }

// Limit returns how many of the instance's slots may be used. For a paused
// instance, it returns the limit after the pause. Each consecutive failure
// halves the limit.
func (it *Instance) Limit() int {
	phase := it.Phase
	if phase == Paused {
		phase = it.resumePhase
	}
	switch phase {
	case Ejected, Leaving:
		return 0
	case Probation:
		return 1
	default:
	}
	limit := max(1, it.slots>>min(it.failures, ejectAfter))
	if it.hasWindow {
		return min(limit, it.window)
	}
	return limit
}

// RecordSuccess records a complete answer. It returns true when the instance's
// state changed.
func (s *State) RecordSuccess(it *Instance) bool {
	if it.isOutOfService() {
		return false
	}
	clean := it.Phase == Healthy && it.failures == 0 && !it.hasWindow
	it.failures, it.pauseTime = 0, 0
	if clean {
		return false
	}
	it.growWindow()
	it.successes++
	if it.Phase == Probation && it.successes >= recoverAfter {
		it.Phase, it.backoff = Healthy, 0
	}
	return true
}

// growWindow widens the window by one after as many successes as its size.
func (it *Instance) growWindow() {
	if !it.hasWindow {
		return
	}
	it.windowSuccesses++
	if it.windowSuccesses < it.window {
		return
	}
	it.window++
	it.windowSuccesses = 0
	it.hasWindow = it.window < it.slots
}

// RecordFailure records a failure of the instance. It returns true when the
// failure ejects the instance.
func (s *State) RecordFailure(it *Instance) bool {
	if it.isOutOfService() {
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
	return (s.outOfService[pool]+1)*100 <= s.poolSize[pool]*maxEjectedPercent
}

func (s *State) eject(it *Instance) {
	it.Phase = Ejected
	it.backoff = min(maxEjection, max(minEjection, 2*it.backoff))
	s.outOfService[it.Pool]++
}

// RevertFailure undoes a failure that turned out to be caused by the request.
func (s *State) RevertFailure(it *Instance) {
	if it.failures > 0 {
		it.failures--
	}
	if it.Phase == Ejected && it.failures < ejectAfter {
		s.startProbation(it)
	}
}

// RecordRefusal records that the instance had no free slot while a number of
// this entry's requests ran there. When none runs, no end of a request can show
// that a slot is free again, so the instance is paused.
func (s *State) RecordRefusal(it *Instance, running int) {
	if it.isOutOfService() || it.Phase == Paused {
		return
	}
	it.hasWindow, it.window, it.windowSuccesses = true, max(1, running), 0
	if running > 0 {
		return
	}
	it.resumePhase, it.Phase = it.Phase, Paused
	it.pauseTime = min(maxPause, max(minPause, 2*it.pauseTime))
}

// MarkLeaving records that the instance takes no new work. It returns true when
// the instance was not leaving before.
func (s *State) MarkLeaving(it *Instance) bool {
	if it.Phase == Leaving {
		return false
	}
	if !it.isOutOfService() {
		s.outOfService[it.Pool]++
	}
	it.Phase = Leaving
	return true
}

// TimerDelay returns the time until the instance's timer has to fire.
func (it *Instance) TimerDelay() time.Duration {
	switch it.Phase {
	case Paused:
		return it.pauseTime
	case Leaving:
		return leavingProbeInterval
	default:
		return it.backoff
	}
}

// HandleTimer handles the instance's timer: it ends a pause, counts a probe
// without a result as failed, or starts a probe. It returns the time-out of the
// probe, and true when the instance has to be probed now.
func (s *State) HandleTimer(it *Instance) (time.Duration, bool) {
	switch {
	case it.Phase == Paused:
		it.Phase = it.resumePhase
		return 0, false
	case !it.isOutOfService():
		return 0, false
	case it.probing:
		s.RecordProbe(it, false, false)
		return 0, false
	}
	it.probing = true
	return probeTimeout, true
}

// RecordProbe records the result of a probe: whether the endpoint answered, and
// whether it is leaving. An instance that answered and is not leaving goes on
// probation.
func (s *State) RecordProbe(it *Instance, ok, leaving bool) {
	it.probing = false
	switch {
	case !it.isOutOfService():
	case leaving:
		it.Phase = Leaving
	case ok:
		s.startProbation(it)
	default:
		it.backoff = min(maxEjection, max(minEjection, 2*it.backoff))
		it.Phase = Ejected
	}
}

func (s *State) startProbation(it *Instance) {
	it.Phase = Probation
	it.failures, it.successes = 0, 0
	it.probing = false
	s.outOfService[it.Pool]--
}

// Probing reports whether a probe is in flight.
func (it *Instance) Probing() bool { return it.probing }

// TakePhaseChange reports whether the phase has changed since the last call,
// and whether the change is worth a log line. The start and the end of a pause
// are not.
func (it *Instance) TakePhaseChange() (changed, notable bool) {
	before := it.reportedPhase
	it.reportedPhase = it.Phase
	if it.Phase == before {
		return false, false
	}
	return true, it.Phase != Paused && before != Paused
}

// Address returns the address at which the instance listens.
func (it *Instance) Address() string { return it.address }
