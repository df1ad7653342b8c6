package standin

import (
	"container/heap"
	"maps"
	"time"
)

// Events of an endpoint.
type (
	endpointEvent interface{ isEndpointEvent() }

	runRequested struct {
		call    uint64
		key     string
		attempt string
	}
	healthRequested  struct{ call uint64 }
	endpointFaultSet struct{ fault EndpointFault }
	runsRequested    struct{ call uint64 }
	endpointTimer    struct{}
)

func (runRequested) isEndpointEvent()     {}
func (healthRequested) isEndpointEvent()  {}
func (endpointFaultSet) isEndpointEvent() {}
func (runsRequested) isEndpointEvent()    {}
func (endpointTimer) isEndpointEvent()    {}

// Effects of an endpoint.
type (
	endpointEffect interface{ isEndpointEffect() }

	replyRun struct {
		call   uint64
		result RunResult
	}
	replyRuns struct {
		call uint64
		runs Runs
	}
	endpointSetTimer struct{ at time.Time }
)

func (replyRun) isEndpointEffect()         {}
func (replyRuns) isEndpointEffect()        {}
func (endpointSetTimer) isEndpointEffect() {}

// RunResult says how an endpoint handles a request.
type RunResult uint8

// Results of a request.
const (
	RunDone RunResult = iota + 1
	RunFailed
	// RunRefused means that all slots were in use, so that the request did not run.
	RunRefused
	// RunLeaving means that the endpoint was leaving, so that the request did not
	// run.
	RunLeaving
	// RunTruncated breaks the connection off after half of the answer.
	RunTruncated
	// RunBroken breaks the connection off without an answer.
	RunBroken
	// RunSwapped answers under the id of another attempt.
	RunSwapped
)

// EndpointFault holds the faults of an endpoint.
type EndpointFault struct {
	// FailAll fails every request without delay.
	FailAll bool
	// Hang starts every request and never answers it.
	Hang bool
	// Leaving refuses new requests.
	Leaving bool
	// Down breaks off the connections of all requests, including those that run
	// when it is set, and fails health checks.
	Down bool
	// Truncate, Break and Swap are numbers of next requests that run but end with
	// RunTruncated, RunBroken or RunSwapped.
	Truncate, Break, Swap int
	// Delay is added to the work time.
	Delay time.Duration
}

// Runs counts the requests that an endpoint ran.
type Runs struct {
	Started int
	// ByKey is the number of runs of each idempotency key.
	ByKey map[string]int
	// ByAttempt is the number of runs of each attempt.
	ByAttempt map[string]int
	// KeyOf holds the idempotency key of each attempt.
	KeyOf map[string]string
	// MostAtOnce is the largest number of requests that ran concurrently.
	MostAtOnce int
	Refused    int
	// AfterLeaving is the number of requests that arrived while the endpoint was
	// leaving.
	AfterLeaving int
	// CutOff is the number of requests that ran when the endpoint went down.
	CutOff int
}

type endpointState struct {
	slots    int
	workTime time.Duration
	running  requestHeap
	fault    EndpointFault
	runs     Runs
	out      []endpointEffect
}

type runningRequest struct {
	call   uint64
	result RunResult
	done   time.Time
}

func newEndpointState(slots int, workTime time.Duration) *endpointState {
	return &endpointState{slots: slots, workTime: workTime, runs: Runs{ByKey: make(map[string]int), ByAttempt: make(map[string]int), KeyOf: make(map[string]string)}}
}

func (s *endpointState) reduce(now time.Time, ev endpointEvent) []endpointEffect {
	s.out = s.out[:0]
	switch e := ev.(type) {
	case runRequested:
		s.start(now, e)
	case healthRequested:
		s.out = append(s.out, replyRun{call: e.call, result: s.health()})
	case endpointFaultSet:
		s.fault = e.fault
		if s.fault.Down {
			s.cutOff()
		}
	case runsRequested:
		s.report(e.call)
	}
	s.finishDue(now)
	if len(s.running) > 0 {
		s.out = append(s.out, endpointSetTimer{at: s.running[0].done})
	}
	return s.out
}

func (s *endpointState) start(now time.Time, e runRequested) {
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
	heap.Push(&s.running, runningRequest{call: e.call, result: s.nextResult(), done: now.Add(s.workTime + s.fault.Delay)})
	s.runs.MostAtOnce = max(s.runs.MostAtOnce, len(s.running))
}

// health returns the result of a health check.
func (s *endpointState) health() RunResult {
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

// cutOff ends all running requests with RunBroken.
func (s *endpointState) cutOff() {
	for _, w := range s.running {
		s.runs.CutOff++
		s.out = append(s.out, replyRun{call: w.call, result: RunBroken})
	}
	s.running = nil
}

// nextResult returns the result of the next request, and counts down the fault
// that it applies.
func (s *endpointState) nextResult() RunResult {
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

func (s *endpointState) finishDue(now time.Time) {
	for len(s.running) > 0 && !s.running[0].done.After(now) {
		w := heap.Pop(&s.running).(runningRequest)
		s.out = append(s.out, replyRun{call: w.call, result: w.result})
	}
}

func (s *endpointState) report(call uint64) {
	runs := s.runs
	runs.ByKey = maps.Clone(s.runs.ByKey)
	runs.ByAttempt = maps.Clone(s.runs.ByAttempt)
	runs.KeyOf = maps.Clone(s.runs.KeyOf)
	s.out = append(s.out, replyRuns{call: call, runs: runs})
}

type requestHeap []runningRequest

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].done.Before(h[j].done) }
func (h requestHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *requestHeap) Push(x any)        { *h = append(*h, x.(runningRequest)) }
func (h *requestHeap) Pop() any {
	old := *h
	last := len(old) - 1
	w := old[last]
	*h = old[:last]
	return w
}
