package admission

import "time"

// Class is the class of a call, from the first that is refused under overload to
// the last.
type Class uint8

// Classes of calls.
const (
	// ClassRead is a read of a state or of a count. It can be repeated at any time.
	ClassRead Class = iota
	// ClassSubmit hands in a job. Only the owner may refuse it: an earlier try, whose
	// answer the client has not seen, may be stored.
	ClassSubmit
	// ClassCancel frees capacity, so it is never refused.
	ClassCancel
)

const (
	// minLimit and maxLimit bound the limit of calls in flight. With minLimit, each
	// entry still finds out when the owner is faster again.
	minLimit = 2
	maxLimit = 256
	// readShare is the share of the limit that reads may use.
	readShare = 0.5
	// targetDelay is the delay of an owner above which entries send it fewer calls.
	// It is far above the usual few milliseconds, and leaves a client with a time
	// limit of three seconds time for a second try.
	targetDelay = 250 * time.Millisecond
	// cutFactor is applied to the limit when an answer shows a delay above
	// targetDelay, at most once in cutInterval: later answers may show the same delay.
	cutFactor   = 0.5
	cutInterval = 500 * time.Millisecond
)

// Limiter limits an entry's calls in flight to the owner of the jobs by the delay
// that the owner's answers show.
//
// Load pattern: clients send more calls than the owner can answer in time, and each
// call that times out comes again. Without a limit, a slow owner gets more calls, not
// fewer.
type Limiter struct {
	limit    float64
	inFlight int
	cutAt    time.Time
	delay    time.Duration
}

// NewLimiter returns a limiter that has seen no answer.
func NewLimiter() *Limiter { return &Limiter{limit: maxLimit} }

// Allows reports whether a call of a class may be sent now.
func (l *Limiter) Allows(c Class) bool {
	switch c {
	case ClassRead:
		return float64(l.inFlight) < readShare*l.limit
	default:
		return true
	}
}

// Sent counts a call that was sent.
func (l *Limiter) Sent() { l.inFlight++ }

// Answered counts the answer to a call, which shows a delay of the owner.
func (l *Limiter) Answered(now time.Time, delay time.Duration) {
	l.inFlight--
	l.delay = delay
	switch {
	case delay <= targetDelay:
		l.limit = min(maxLimit, l.limit+1)
	case now.Sub(l.cutAt) >= cutInterval:
		l.cutAt = now
		l.limit = max(minLimit, cutFactor*min(l.limit, float64(l.inFlight+1)))
	}
}

// Failed counts a call that did not reach the owner. It says nothing of the owner's
// delay.
func (l *Limiter) Failed() { l.inFlight-- }

// Delay returns the delay that the last answer has shown.
func (l *Limiter) Delay() time.Duration { return l.delay }
