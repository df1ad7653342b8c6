package load

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// Event is one input of the reducer.
type Event interface{ isEvent() }

// Started begins the run.
type Started struct{}

// TimerFired reports that the time of the last SetTimer effect has come.
type TimerFired struct{}

// StopRequested ends the run early; requests in flight are awaited.
type StopRequested struct{}

// Answer says how a call ended.
type Answer uint8

// Answers.
const (
	// AnswerComplete is a whole answer, whatever its status.
	AnswerComplete Answer = iota + 1
	// AnswerConnectionLost is a connection that broke after the request was sent.
	AnswerConnectionLost
	// AnswerTimedOut means that the caller's time ran out.
	AnswerTimedOut
	// AnswerUnreachable means that no connection could be made.
	AnswerUnreachable
)

// CallFinished reports the end of a call.
type CallFinished struct {
	ID     uint64
	Answer Answer
	Status int
	// Ran is what the answer says about the request.
	Ran fleet.Ran
	// BodyMatches is set when the body of the answer belongs to the request.
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

// Effect is one output of the reducer.
type Effect interface{ isEffect() }

// Call sends a request to an entry.
type Call struct {
	ID      uint64
	Entry   int
	Service fleet.ServiceName
	Member  fleet.MemberName
	Key     fleet.Key
}

// CountRuns asks the endpoints what they ran, where they can be asked.
type CountRuns struct{}

// Finished ends the run.
type Finished struct{ Summary Summary }

// SetTimer asks for a TimerFired event. A later one replaces it.
type SetTimer struct{ At time.Time }

func (Call) isEffect()      {}
func (CountRuns) isEffect() {}
func (Finished) isEffect()  {}
func (SetTimer) isEffect()  {}
