package jobs

import "github.com/banyanrail/banyanrail/fleet"

// An acknowledgement names numbers of ended runs, which each incarnation of a runner begins
// anew, and a call does not name the incarnation that it is meant for. One that gets the
// acknowledgement of a former incarnation may forget ends that nobody has read, also later
// ones.

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
