package jobs

import "slices"

// minCompaction is the number of removed jobs from which the list of active jobs is
// compacted, once they are half of it.
const minCompaction = 64

// addActive adds a job to the active ones.
func (o *ownership) addActive(j *job) {
	j.activeIndex = len(o.active)
	o.active = append(o.active, j)
	o.activeCount++
	o.activeBytes += memoryOf(j.spec)
	o.waitingJobs[j.queue]++
	if o.phase == phaseActive {
		o.markShare(j)
		o.countAccepted(j)
	}
}

// markBegun records that a run of a task of a job has begun.
func (o *ownership) markBegun(j *job) {
	if !j.begun && o.isActive(j) {
		o.waitingJobs[j.queue]--
	}
	j.begun = true
}

func (o *ownership) isActive(j *job) bool {
	return j.activeIndex < len(o.active) && o.active[j.activeIndex] == j
}

// removeActive removes a job from the active ones. Its place in the list stays
// empty until many places are.
func (o *ownership) removeActive(j *job) {
	if !o.isActive(j) {
		return
	}
	if !j.begun {
		o.waitingJobs[j.queue]--
	}
	o.active[j.activeIndex] = nil
	o.activeCount--
	o.activeBytes -= memoryOf(j.spec)
	o.releaseKept(j)
	if len(o.active) > 2*o.activeCount+minCompaction {
		o.active = slices.DeleteFunc(o.active, func(j *job) bool { return j == nil })
		o.renumberActive()
	}
}

func (o *ownership) renumberActive() {
	for i, j := range o.active {
		j.activeIndex = i
	}
}

// eachActive calls do for each job that has not ended, in order of acceptance.
func (o *ownership) eachActive(do func(*job)) {
	for _, j := range o.active {
		if j != nil {
			do(j)
		}
	}
}
