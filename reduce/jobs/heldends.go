package jobs

import (
	"slices"
	"time"
)

// heldEnd is an ended run of which a start may still be carried out by a later incarnation of
// its runner. The end is not acknowledged before that is over: an acknowledged success is
// final, and the task must not start again.
type heldEnd struct {
	number int64
	until  time.Time
	// startsOn is the runner that may carry the start out.
	startsOn *runner
}

const (
	// heldEndsPollDelay is the delay between polls of a busy runner while ends are held: it lists
	// them at once, so long polls do not wait. heldEndsIdleDelay is that of an idle runner, whose
	// lease has to last until its ends are acknowledged.
	heldEndsPollDelay = 100 * time.Millisecond
	heldEndsIdleDelay = time.Second
	// maxHeldEnds bounds the ends that are not acknowledged because of an earlier one that is
	// held. A runner lists endsPerPoll of them at most.
	maxHeldEnds = 300
)

// holdEnd holds back the acknowledgement of an end, and so of later ones, while a start may be
// carried out on a runner.
func (r *runner) holdEnd(number int64, until time.Time, startsOn *runner) {
	r.heldEnds = append(r.heldEnds, heldEnd{number: number, until: until, startsOn: startsOn})
}

// releaseEnds releases the ends that are held for starts on a runner whose id is retired.
func (o *ownership) releaseEnds(retired *runner) {
	for _, r := range o.sortedRunners {
		before := len(r.heldEnds)
		r.heldEnds = slices.DeleteFunc(r.heldEnds, func(held heldEnd) bool { return held.startsOn == retired })
		if len(r.heldEnds) < before {
			o.touch(r)
		}
	}
}

// acknowledgeable returns the number of the last end that may be acknowledged to the runner.
func (r *runner) acknowledgeable(now time.Time) int64 {
	number := r.storedEnd
	for _, held := range r.heldEnds {
		if now.Before(held.until) && r.storedEnd-held.number < maxHeldEnds {
			number = min(number, held.number-1)
		}
	}
	return max(number, r.acknowledgedEnd)
}

// nextAcknowledgement returns the acknowledgement of the next poll; zero for none.
func (r *runner) nextAcknowledgement(now time.Time) int64 {
	if last := r.acknowledgeable(now); last > r.acknowledgedEnd {
		return last
	}
	return 0
}

// holdsEnds reports whether stored ends are held.
func (r *runner) holdsEnds(now time.Time) bool { return r.acknowledgeable(now) < r.storedEnd }

// heldEndsDelay returns the delay between polls of the runner while ends are held.
func (r *runner) heldEndsDelay() time.Duration {
	if len(r.runs) == 0 {
		return heldEndsIdleDelay
	}
	return heldEndsPollDelay
}

// dropAcknowledged drops held ends that were acknowledged.
func (r *runner) dropAcknowledged() {
	r.heldEnds = slices.DeleteFunc(r.heldEnds, func(held heldEnd) bool { return held.number <= r.acknowledgedEnd })
}
