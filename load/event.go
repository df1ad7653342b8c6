package load

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// Event is an input of the reducer.
type Event interface{ isEvent() }

// Started begins the run.
type Started struct{}

// TimerFired reports that the timer of the last SetTimer effect expired.
type TimerFired struct{}

// StopRequested ends the run early. The run still waits for requests in flight.
type StopRequested struct{}

// Answer is the kind of answer to a call.
type Answer uint8

// Answers.
const (
	// AnswerComplete means that a complete answer arrived, with any status.
	AnswerComplete Answer = iota + 1
	// AnswerConnectionLost means that the connection broke after the request was
	// sent.
	AnswerConnectionLost
	// AnswerTimedOut means that the caller's time-out expired.
	AnswerTimedOut
	// AnswerUnreachable means that no connection could be established.
	AnswerUnreachable
)

// CallFinished reports the end of a call.
type CallFinished struct {
	ID     uint64
	Answer Answer
	Status int
	// Ran is the answer's statement whether the request ran.
	Ran fleet.Ran
	// BodyMatches is set if the answer has the body that was sent.
	BodyMatches bool
	Elapsed     time.Duration
}

// RunsCounted reports how often endpoints ran the request of each key.
type RunsCounted struct{ ByKey map[fleet.Key]int }

func (Started) isEvent()       {}
func (TimerFired) isEvent()    {}
func (StopRequested) isEvent() {}
func (CallFinished) isEvent()  {}
func (RunsCounted) isEvent()   {}

// Effect is an output of the reducer.
type Effect interface{ isEffect() }

// Call sends a request to an entry.
type Call struct {
	ID      uint64
	Entry   int
	Service fleet.ServiceName
	Member  fleet.MemberName
	Key     fleet.Key
}

// CountRuns queries the endpoints for what they ran, if Target.Runs is set.
type CountRuns struct{}

// Finished ends the run with its summary.
type Finished struct{ Summary Summary }

// SetTimer requests a TimerFired event at a time. It replaces the timer set
// before.
type SetTimer struct{ At time.Time }

func (Call) isEffect()      {}
func (CountRuns) isEffect() {}
func (Finished) isEffect()  {}
func (SetTimer) isEffect()  {}
