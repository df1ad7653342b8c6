package jobs

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// An acknowledgement names numbers of ended runs, which each incarnation of a runner begins
// anew, and a call does not name the incarnation that it is meant for. One that gets the
// acknowledgement of a former incarnation may forget ends that nobody has read, also later
// ones.

// strayAcknowledgement is an acknowledgement without an answer.
type strayAcknowledgement struct {
	number int64
	// until is until when it may be carried out.
	until time.Time
}

// noteUnanswered takes account of a poll in flight that gets no answer, or whose answer is not awaited.
func (p *pollState) noteUnanswered() {
	if p.acknowledged > 0 {
		p.stray.number = max(p.stray.number, p.acknowledged)
		p.stray.until = p.sentAt.Add(maxOrderAge + maxCallDelay)
		p.acknowledged = 0
	}
}

// expectForgottenEnds takes account of the acknowledgements for an earlier incarnation that this one may
// have carried out before its first answer to the current token. A new owner does not know those of former
// owners, so it expects one at each incarnation that is younger than the longest delay of a call.
func (o *ownership) expectForgottenEnds(r *runner) {
	born := o.now().Add(-time.Duration(r.clock.Reading) * time.Millisecond)
	if r.contacted {
		if r.poll.stray.until.After(born) {
			r.forgottenEnd = max(r.forgottenEnd, r.poll.stray.number)
		}
		return
	}
	r.contacted = true
	if o.epoch > 1 && (o.now().Sub(born) < maxOrderAge+maxCallDelay || o.former.restarted[r.ID]) {
		r.forgottenEnd = max(r.forgottenEnd, 1)
	}
}

// noteAcknowledged takes account of the acknowledgement in a poll, by the incarnation that
// answered it.
func (o *ownership) noteAcknowledged(r *runner, seen fleet.Incarnation) {
	p := &r.poll
	if p.incarnation == 0 || seen == 0 || p.incarnation == seen {
		r.acknowledgedEnd = max(r.acknowledgedEnd, p.acknowledged)
		r.dropAcknowledged()
		return
	}
	r.forgottenEnd = max(r.forgottenEnd, p.acknowledged)
}

// mayForgetEnds reports whether the runner may forget the next ends before it lists them. The
// outcome of a run would not be known then, so until it has listed an end it is the last
// choice for all but the tasks that are started again however they end.
func (r *runner) mayForgetEnds() bool { return r.forgottenEnd > 0 && r.lastEnd == 0 }
