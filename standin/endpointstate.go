package standin

import (
	"container/heap"
	"maps"
	"time"
)

// Events of an endpoint.
type (
	runnerEvent interface{ isRunnerEvent() }

	runAsked struct {
		call    uint64
		key     string
		attempt string
	}
	healthAsked    struct{ call uint64 }
	runnerFaultSet struct{ fault EndpointFault }
	runsAsked      struct{ call uint64 }
	runnerTimer    struct{}
)

func (runAsked) isRunnerEvent()       {}
func (healthAsked) isRunnerEvent()    {}
func (runnerFaultSet) isRunnerEvent() {}
func (runsAsked) isRunnerEvent()      {}
func (runnerTimer) isRunnerEvent()    {}

// Effects of an endpoint.
type (
	runnerEffect interface{ isRunnerEffect() }

	replyRun struct {
		call   uint64
		result RunResult
	}
	replyRuns struct {
		call uint64
		runs Runs
	}
	runnerSetTimer struct{ at time.Time }
)

func (replyRun) isRunnerEffect()       {}
func (replyRuns) isRunnerEffect()      {}
func (runnerSetTimer) isRunnerEffect() {}

// RunResult is what an endpoint did with a request.
type RunResult uint8

// Results of a request.
const (
	RunDone RunResult = iota + 1
	RunFailed
	RunRefused
	RunLeaving
	RunTruncated
	RunBroken
	RunSwapped
)

// EndpointFault is what goes wrong at an endpoint.
type EndpointFault struct {
	// FailAll fails every request at once.
	FailAll bool
	// Hang starts every request and never answers.
	Hang bool
	// Leaving refuses new requests.
	Leaving bool
	// Down answers nothing; what runs when it is set is cut off.
	Down bool
	// Truncate, Break and Swap spoil this many of the next answers after the
	// request ran.
	Truncate, Break, Swap int
	// Delay is added to the work time.
	Delay time.Duration
}

// Runs counts what an endpoint ran.
type Runs struct {
	Started int
	// ByKey counts runs for each idempotency key.
	ByKey map[string]int
	// ByAttempt counts runs for each attempt.
	ByAttempt map[string]int
	// KeyOf holds the idempotency key of each attempt.
	KeyOf map[string]string
	// MostAtOnce is the largest number of requests that ran together.
	MostAtOnce int
	Refused    int
	// AfterLeaving counts requests that came while the endpoint was leaving.
	AfterLeaving int
	// CutOff counts requests that ran when the endpoint went down.
	CutOff int
}

type runnerState struct {
	slots   int
	work    time.Duration
	running workHeap
	fault   EndpointFault
	runs    Runs
	out     []runnerEffect
}

type work struct {
	call   uint64
	result RunResult
	done   time.Time
}

func newRunnerState(slots int, d time.Duration) *runnerState {
	return &runnerState{slots: slots, work: d, runs: Runs{ByKey: make(map[string]int), ByAttempt: make(map[string]int), KeyOf: make(map[string]string)}}
}

func (s *runnerState) reduce(now time.Time, ev runnerEvent) []runnerEffect {
	s.out = s.out[:0]
	switch e := ev.(type) {
	case runAsked:
		s.start(now, e)
	case healthAsked:
		s.out = append(s.out, replyRun{call: e.call, result: s.health()})
	case runnerFaultSet:
		s.fault = e.fault
		if s.fault.Down {
			s.cutOff()
		}
	case runsAsked:
		s.report(e.call)
	}
	s.finish(now)
	if len(s.running) > 0 {
		s.out = append(s.out, runnerSetTimer{at: s.running[0].done})
	}
	return s.out
}

func (s *runnerState) start(now time.Time, e runAsked) {
	switch {
	case s.fault.Down:
		s.out = append(s.out, replyRun{call: e.call, result: RunBroken})
		return
	case s.fault.Leaving:
		s.runs.AfterLeaving++
		s.out = append(s.out, replyRun{call: e.call, result: RunLeaving})
		return
	case len(s.running) >= s.slots:
		s.runs.Refused++
		s.out = append(s.out, replyRun{call: e.call, result: RunRefused})
		return
	}
	s.runs.Started++
	s.runs.ByAttempt[e.attempt]++
	s.runs.KeyOf[e.attempt] = e.key
	if e.key != "" {
		s.runs.ByKey[e.key]++
	}
	if s.fault.Hang {
		return
	}
	if s.fault.FailAll {
		s.out = append(s.out, replyRun{call: e.call, result: RunFailed})
		return
	}
	heap.Push(&s.running, work{call: e.call, result: s.outcome(), done: now.Add(s.work + s.fault.Delay)})
	s.runs.MostAtOnce = max(s.runs.MostAtOnce, len(s.running))
}

// health is the answer to a probe.
func (s *runnerState) health() RunResult {
	switch {
	case s.fault.Down:
		return RunFailed
	case s.fault.Leaving:
		return RunLeaving
	case s.fault.FailAll, s.fault.Hang:
		return RunFailed
	default:
		return RunDone
	}
}

// cutOff breaks everything that runs.
func (s *runnerState) cutOff() {
	for _, w := range s.running {
		s.runs.CutOff++
		s.out = append(s.out, replyRun{call: w.call, result: RunBroken})
	}
	s.running = nil
}

// outcome takes the next fault of an answer.
func (s *runnerState) outcome() RunResult {
	switch {
	case s.fault.Truncate > 0:
		s.fault.Truncate--
		return RunTruncated
	case s.fault.Break > 0:
		s.fault.Break--
		return RunBroken
	case s.fault.Swap > 0:
		s.fault.Swap--
		return RunSwapped
	default:
		return RunDone
	}
}

func (s *runnerState) finish(now time.Time) {
	for len(s.running) > 0 && !s.running[0].done.After(now) {
		w := heap.Pop(&s.running).(work)
		s.out = append(s.out, replyRun{call: w.call, result: w.result})
	}
}

func (s *runnerState) report(call uint64) {
	runs := s.runs
	runs.ByKey = maps.Clone(s.runs.ByKey)
	runs.ByAttempt = maps.Clone(s.runs.ByAttempt)
	runs.KeyOf = maps.Clone(s.runs.KeyOf)
	s.out = append(s.out, replyRuns{call: call, runs: runs})
}

type workHeap []work

func (h workHeap) Len() int           { return len(h) }
func (h workHeap) Less(i, j int) bool { return h[i].done.Before(h[j].done) }
func (h workHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *workHeap) Push(x any)        { *h = append(*h, x.(work)) }
func (h *workHeap) Pop() any {
	old := *h
	last := len(old) - 1
	w := old[last]
	*h = old[:last]
	return w
}
