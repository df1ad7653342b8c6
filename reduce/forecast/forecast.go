// Package forecast learns from arrivals whether the demand for a pool repeats, and says what
// to expect of the next repetition. It is pure: times and work come in, rates go out.
//
// Load pattern: queues take turns. For some seconds one of them asks for several times its
// mean load, and for nearly nothing in between, with a fixed period.
//
// See docs/design/pool-forecast.md.
package forecast

import (
	"math"
	"time"
)

const (
	// window is the time constant of the average by which bursts are told from gaps. With
	// 0.5 s, chance split a burst of seven jobs a second.
	window = time.Second
	// beginShare and endShare are the shares of a burst's rate at which it has begun and
	// ended.
	beginShare, endShare = 0.5, 0.25
	// beginDelay and endDelay are how long after the beginning and the end of a burst the
	// average reaches these shares.
	beginDelay, endDelay = 693 * time.Millisecond, 1386 * time.Millisecond
	// referenceDecay is the time constant with which the rate that counts as that of a burst
	// declines.
	referenceDecay = time.Minute
	// minJobs and minLength are the least number of jobs and the least length of a burst.
	minJobs   = 8
	minLength = time.Second
	// maxGapShare is the largest rate between two bursts, as a share of theirs.
	maxGapShare = 1. / 3
	// minPeriod is the shortest period. With a shorter one, instances would be moved back
	// and forth for less than the time that two moves take.
	minPeriod = 5 * time.Second
	// periodTolerance and lengthTolerance are how far the intervals between bursts and their
	// lengths may differ, and heightTolerance is the largest ratio of two heights. With
	// seven jobs a second, chance moves the beginning of a burst by 0.35 s (one standard
	// deviation), and the difference of two intervals by 0.9 s.
	periodTolerance = 1200 * time.Millisecond
	lengthTolerance = 1500 * time.Millisecond
	heightTolerance = 1.6
	// maxEarly is how long before the expected time a burst may begin, and maxDelay how long
	// after it one may be noticed. By then instances wait without work.
	maxEarly = 1500 * time.Millisecond
	maxDelay = beginDelay + 900*time.Millisecond
	// maxIntervals is the largest number of equal intervals that a forecast requires.
	maxIntervals = 3
)

// burst is a time of high demand.
type burst struct {
	start  time.Time
	length time.Duration
	// work is what arrived, as a rate times seconds, and jobs the number of arrivals.
	work float64
	jobs int
	// gapRate is the mean rate between the burst before and this one.
	gapRate float64
}

func (b *burst) height() float64 { return b.work / max(minLength, b.length).Seconds() }

// mark is a point of the rise of a burst.
type mark struct {
	at   time.Time
	rate float64
	// work is what had arrived in the burst, and jobs the number of arrivals.
	work float64
	jobs int
}

const (
	// markStep is the ratio of the rates of two marks, of which a burst has at most maxMarks.
	markStep = 1.5
	maxMarks = 16
	// riseShare is the share of the highest rate from which a mark belongs to the burst
	// rather than to what came before, and peakNoise what chance adds to the highest rate.
	riseShare = 0.4
	peakNoise = 1.25
)

// rise is a burst under way. Its rate is known only at its end, so the rise is kept as marks,
// by which the beginning is found then.
type rise struct {
	marks []mark
	work  float64
	jobs  int
	top   float64
}

// add adds arrived work, after which the average rate is as given.
func (r *rise) add(at time.Time, work, rate float64) {
	r.work += work
	r.jobs++
	r.top = max(r.top, rate)
	if n := len(r.marks); n == 0 || (n < maxMarks && rate >= markStep*r.marks[n-1].rate) {
		r.marks = append(r.marks, mark{at: at, rate: rate, work: r.work, jobs: r.jobs})
	}
}

// burst returns the burst, which has ended, and what arrived before its beginning.
func (r *rise) burst(end time.Time) (burst, float64) {
	height := r.top / peakNoise
	m := r.marks[len(r.marks)-1]
	for i := range r.marks {
		if r.marks[i].rate >= riseShare*height {
			m = r.marks[i]
			break
		}
	}
	// The average of a burst that began at a time rises as one less an exponential.
	rising := -math.Log(1-min(maxRise, m.rate/height)) * float64(window)
	before := max(0, m.work-m.rate*window.Seconds())
	b := burst{start: m.at.Add(-time.Duration(rising)), work: r.work - before, jobs: r.jobs - m.jobs}
	b.length = end.Sub(b.start)
	return b, before
}

// maxRise is the largest share of the height of a burst that its rise is taken to have reached.
const maxRise = 0.8

// Demand learns the repetition of the demand for one pool. The zero value has seen nothing.
type Demand struct {
	// rate is the moving average of arrivals at a time, and reference the rate of a burst.
	rate, reference float64
	at              time.Time
	// current is the burst under way, if inBurst is set. gapSince and gapWork are the
	// beginning of the gap before and what arrived in it.
	current  rise
	inBurst  bool
	gapSince time.Time
	gapWork  float64
	// past holds the last bursts, newest first, and known is their number.
	past  [maxIntervals + 1]burst
	known int
	// next is the expected burst, if expecting is set. It stays while that burst lasts.
	next      burst
	period    time.Duration
	expecting bool
	// caution is the number of intervals that a forecast requires beyond one.
	caution int
	// Met and Dropped are the numbers of forecasts that came true and that did not.
	Met, Dropped int
}

// Observe adds an arrival of work, which is a rate times seconds.
func (d *Demand) Observe(now time.Time, work float64) {
	d.Advance(now)
	if d.gapSince.IsZero() {
		d.gapSince = now
	}
	d.rate += work / window.Seconds()
	d.reference = max(d.reference, d.rate/peakNoise)
	if !d.inBurst && d.rate < beginShare*d.expectedRate() {
		d.gapWork += work
		return
	}
	if !d.inBurst {
		d.begin()
	}
	d.current.add(now, work, d.rate)
}

// expectedRate is the rate by which bursts are told from gaps.
func (d *Demand) expectedRate() float64 {
	if d.expecting {
		return d.next.height()
	}
	return d.reference
}

// begin begins a burst with the work that the average holds. One that begins too early shows
// that the forecast is wrong.
func (d *Demand) begin() {
	held := min(d.gapWork, d.rate*window.Seconds())
	d.gapWork -= held
	d.current, d.inBurst = rise{work: held}, true
	if d.expecting && d.at.Add(-beginDelay).Before(d.next.start.Add(-maxEarly)) {
		d.drop()
	}
}

// Advance takes account of the time without arrivals.
func (d *Demand) Advance(now time.Time) {
	elapsed := now.Sub(d.at)
	if d.at.IsZero() {
		d.at = now
	}
	if !now.After(d.at) {
		return
	}
	before, last := d.rate, d.at
	decay := math.Exp(-elapsed.Seconds() / window.Seconds())
	d.rate, d.at = d.rate*decay, now
	d.reference *= math.Exp(-elapsed.Seconds() / referenceDecay.Seconds())
	if threshold := endShare * d.expectedRate(); d.inBurst && d.rate < threshold {
		crossed := last
		if before > threshold {
			crossed = last.Add(time.Duration(math.Log(before/threshold) * float64(window)))
		}
		d.end(crossed.Add(-endDelay))
	}
	if d.expecting && !d.inBurst && now.Sub(d.next.start) > maxDelay {
		d.drop()
	}
}

// end ends the burst under way, and forecasts the next one if it is one of a repetition.
func (d *Demand) end(at time.Time) {
	b, before := d.current.burst(at)
	b.gapRate = (d.gapWork + before) / max(minLength, b.start.Sub(d.gapSince)).Seconds()
	d.inBurst, d.gapSince, d.gapWork = false, at, 0
	if b.length < minLength || b.jobs < minJobs {
		return
	}
	if d.expecting && !alike(&b, &d.next) {
		d.drop()
	}
	met := d.expecting
	copy(d.past[1:], d.past[:])
	d.past[0], d.known = b, min(d.known+1, len(d.past))
	d.reference = b.height()
	n := d.alikeInARow()
	if met {
		d.Met++
		d.caution = max(0, d.caution-1)
	}
	if d.expecting = n > 1+d.caution; !d.expecting {
		return
	}
	d.expect(n)
}

// alikeInARow returns how many of the last bursts are alike and follow one another at equal
// intervals.
func (d *Demand) alikeInARow() int {
	first := d.past[0].start.Sub(d.past[1].start)
	for n := 1; n < d.known; n++ {
		newer, older := &d.past[n-1], &d.past[n]
		interval := newer.start.Sub(older.start)
		if !alike(newer, older) || newer.gapRate > maxGapShare*newer.height() ||
			interval < minPeriod || (interval-first).Abs() > periodTolerance {
			return n
		}
	}
	return d.known
}

// expect forecasts the next burst by the last n. Its beginning and the period are those of the
// line of least squares through their beginnings: chance moves each of them. Its length and
// height are means.
func (d *Demand) expect(n int) {
	count := float64(n)
	var sum, weighted, length, work float64
	for i := range n {
		b := &d.past[i]
		age := d.past[0].start.Sub(b.start).Seconds()
		sum += age
		weighted += age * (float64(i) - (count-1)/2)
		length += b.length.Seconds()
		work += b.work
	}
	period := weighted * 12 / (count * (count*count - 1))
	ahead := period - sum/count + period*(count-1)/2
	d.period = seconds(period)
	d.next = burst{start: d.past[0].start.Add(seconds(ahead)), length: seconds(length / count), work: work / count}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// alike reports whether two bursts may be repetitions of one another.
func alike(a, b *burst) bool {
	ratio := a.height() / b.height()
	return ratio <= heightTolerance && ratio >= 1/heightTolerance && (a.length-b.length).Abs() <= lengthTolerance
}

// drop drops the forecast. The bursts before count no longer, and the next forecast requires
// one interval more.
func (d *Demand) drop() {
	d.expecting, d.known = false, 0
	d.caution = min(d.caution+1, maxIntervals-1)
	d.Dropped++
}

// Repeats reports whether a repetition is seen, with its period.
func (d *Demand) Repeats() (time.Duration, bool) { return d.period, d.expecting }

// Height returns the rate of the expected burst; zero without a forecast.
func (d *Demand) Height() float64 {
	if !d.expecting {
		return 0
	}
	return d.next.height()
}

// Until returns the time until the expected burst begins, which is zero while it is under way
// as expected. It returns false without a forecast, and after the burst.
func (d *Demand) Until() (time.Duration, bool) {
	if !d.expecting || !d.at.Before(d.next.start.Add(d.next.length)) {
		return 0, false
	}
	return max(0, d.next.start.Sub(d.at)), true
}

// Assume forecasts the next burst after a single one by the period of another pool, if no
// forecast of this one was wrong. Load pattern: several queues take turns, and the first of
// them has come back.
func (d *Demand) Assume(period time.Duration) {
	b := &d.past[0]
	if d.expecting || d.inBurst || d.known != 1 || d.caution > 0 || b.gapRate > maxGapShare*b.height() || d.at.Sub(b.start) > period {
		return
	}
	d.next, d.period, d.expecting = *b, period, true
	d.next.start = b.start.Add(period)
}

// Suspend takes the forecast back until the next burst has ended, because that of another
// pool with the same period has not come true. A burst under way stays as expected.
func (d *Demand) Suspend() {
	if !d.inBurst {
		d.expecting = false
	}
}

// QuietFor returns how long no burst is expected; zero without a forecast and in a burst.
func (d *Demand) QuietFor() time.Duration {
	switch {
	case !d.expecting:
		return 0
	case !d.inBurst:
		return max(0, d.next.start.Sub(d.at))
	}
	// The end of a burst is noticed only after endDelay, but is expected.
	if since := d.at.Sub(d.next.start.Add(d.next.length)); since > 0 && since < endDelay+maxEarly {
		return max(0, d.next.start.Add(d.period).Sub(d.at))
	}
	return 0
}
