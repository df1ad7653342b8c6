package gates

import "time"

const (
	// MaxLines is the number of log lines of one name in linesInterval.
	MaxLines      = 20
	linesInterval = time.Second
)

// Lines bounds the log lines of one name, and counts those left out. The zero value has logged
// none.
type Lines struct {
	// begunAt is when the interval began in which so many lines were logged.
	begunAt time.Time
	logged  int
	leftOut int
	// reportedAt is when the number of those left out was last reported.
	reportedAt time.Time
}

// Allow reports whether one more line may be logged now, and counts it.
func (l *Lines) Allow(now time.Time) bool {
	if now.Sub(l.begunAt) >= linesInterval {
		l.begunAt, l.logged = now, 0
	}
	if l.logged >= MaxLines {
		return false
	}
	l.logged++
	return true
}

// LeaveOut counts a line that is left out for good.
func (l *Lines) LeaveOut() { l.leftOut++ }

// AllowOrLeaveOut reports whether a line may be logged now, and counts it either way.
func (l *Lines) AllowOrLeaveOut(now time.Time) bool {
	ok := l.Allow(now)
	if !ok {
		l.LeaveOut()
	}
	return ok
}

// TellLeftOut returns how many lines were left out since it last did, at most once in an interval.
func (l *Lines) TellLeftOut(now time.Time) int {
	if l.leftOut == 0 || now.Sub(l.reportedAt) < linesInterval {
		return 0
	}
	n := l.leftOut
	l.leftOut, l.reportedAt = 0, now
	return n
}
