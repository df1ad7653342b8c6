package admission_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/reduce/admission"
	"github.com/shoenig/test/must"
)

// slowOwner answers calls one after the other.
type slowOwner struct {
	perCall time.Duration
	freeAt  time.Time
}

// answerAt returns when a call that arrives at a time is answered.
func (o *slowOwner) answerAt(now time.Time) time.Time {
	if o.freeAt.Before(now) {
		o.freeAt = now
	}
	o.freeAt = o.freeAt.Add(o.perCall)
	return o.freeAt
}

// replay sends calls at an interval for some seconds to an owner that handles a
// hundred calls a second, and returns how many were sent and the longest delay in the
// last second.
func replay(interval time.Duration, class admission.Class) (sent, refused int, delay time.Duration) {
	type answer struct {
		at    time.Time
		delay time.Duration
	}
	owner, l := &slowOwner{perCall: 10 * time.Millisecond}, admission.NewLimiter()
	var pending []answer
	const length = 10 * time.Second
	for now := start; now.Before(start.Add(length)); now = now.Add(interval) {
		for len(pending) > 0 && !pending[0].at.After(now) {
			l.Answered(pending[0].at, pending[0].delay)
			pending = pending[1:]
		}
		if !l.Allows(class) {
			refused++
			continue
		}
		sent++
		l.Sent()
		at := owner.answerAt(now)
		pending = append(pending, answer{at: at, delay: at.Sub(now)})
		if now.After(start.Add(length - time.Second)) {
			delay = max(delay, at.Sub(now))
		}
	}
	return sent, refused, delay
}

// TestSlowOwnerGetsFewerCalls replays five times the calls that the owner can answer.
// Without a limit, the last of them would wait for 40 s.
func TestSlowOwnerGetsFewerCalls(t *testing.T) {
	sent, refused, delay := replay(2*time.Millisecond, admission.ClassRead)
	must.Less(t, time.Second, delay)
	must.Greater(t, 700, sent, must.Sprint("the owner stays busy"))
	must.Greater(t, sent, refused)
}

func TestFastOwnerGetsAllCalls(t *testing.T) {
	_, refused, delay := replay(20*time.Millisecond, admission.ClassRead)
	must.Eq(t, 0, refused)
	must.LessEq(t, 10*time.Millisecond, delay)
}

// TestOnlyReadsAreRefused fills the limit.
func TestOnlyReadsAreRefused(t *testing.T) {
	l := admission.NewLimiter()
	for range 300 {
		must.True(t, l.Allows(admission.ClassSubmit))
		must.True(t, l.Allows(admission.ClassCancel))
		l.Sent()
	}
	must.False(t, l.Allows(admission.ClassRead))
}

// TestLimitRecovers lets an owner answer late for a while, and then in time again.
func TestLimitRecovers(t *testing.T) {
	l := admission.NewLimiter()
	now := start
	for range 20 {
		now = now.Add(time.Second)
		l.Sent()
		l.Answered(now, 2*time.Second)
	}
	must.Eq(t, 2*time.Second, l.Delay())
	must.True(t, l.Allows(admission.ClassRead), must.Sprint("some calls still go out"))
	l.Sent()
	must.False(t, l.Allows(admission.ClassRead))
	for range 40 {
		l.Answered(now, time.Millisecond)
		l.Sent()
	}
	must.True(t, l.Allows(admission.ClassRead))
	l.Failed()
	must.True(t, l.Allows(admission.ClassRead))
}
