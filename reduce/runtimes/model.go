// Package runtimes learns how long tasks run from the runs that have ended, and what a
// client's estimate tells about that.
//
// Load pattern: clients whose estimates are off by a log-normal error of 0.5 to 0.9, so
// that waiting work is ordered and pools are sized by noise.
package runtimes

import (
	"math"
	"strings"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// Key identifies tasks that are expected to run about equally long.
type Key struct {
	Queue fleet.QueueName
	// Step is the number of the step in its job.
	Step  int
	Image string
}

// Expectation is what is expected of the run time of a task.
type Expectation struct {
	// Typical is the median, Mean the mean, by which work is added up, and Tail the run time
	// that one run in twenty exceeds. Run times spread more upwards than downwards, so the
	// mean exceeds the median.
	Typical, Mean, Tail time.Duration
	// Samples is the weight of the runs from which Typical was learned; zero if it is the
	// client's estimate.
	Samples float64
}

const (
	// keyWindow and queueWindow are the numbers of runs after which the weight of a run
	// has fallen by e. A change of a step shows within some tens of its runs; the line of
	// a queue covers many steps and needs more.
	keyWindow, queueWindow = 24, 128
	// minSamples is the weight of runs of a queue from which it is used instead of the
	// estimate.
	minSamples = 10
	// keyPrior and queuePrior are the weights of the line that a step takes over from its
	// queue, and a queue from the estimate, in runs.
	keyPrior, queuePrior = 4, 8
	// priorVariance is the variance of the logarithm of estimates at which a prior of one
	// run weighs as much as one run in the slope.
	priorVariance = 0.25
	// priorSpread is the standard deviation of the run time's logarithm around the
	// estimate if nothing is known: the middle of the error of clients' estimates.
	priorSpread = 0.7
	// tailQuantile is the 0.95 quantile of the standard normal distribution.
	tailQuantile = 1.645
	// lineReach is the distance from the mean estimate, in standard deviations, up to
	// which the line was seen. Beyond it the expectation follows the estimate.
	lineReach = 3
	// maxKeys and maxQueues bound the memory, and maxNameBytes the bytes that are kept of
	// a name. Longer names with the same beginning share their history.
	maxKeys, maxQueues = 1024, 128
	maxNameBytes       = 64
	// maxTime bounds the times that are learned and returned.
	maxTime = 30 * 24 * time.Hour
)

// Model is what was learned. The zero value is not usable.
type Model struct {
	queues *table[fleet.QueueName]
	keys   *table[Key]
}

// New returns a model that has learned nothing.
func New() *Model {
	return &Model{queues: newTable[fleet.QueueName](maxQueues), keys: newTable[Key](maxKeys)}
}

// Observe adds the run time of a task with an estimate.
func (m *Model) Observe(k Key, estimate, actual time.Duration) {
	m.ObserveOneOf(k, estimate, actual, 1)
}

// ObserveOneOf adds the run time of one of the tasks of a step of a job. They resemble one
// another, so all together weigh little more than one, and a job with many tasks does not
// replace what other jobs have shown. They weigh the same: the first ones to end are the
// shortest, and with more weight they made the expectation a fifth too short.
func (m *Model) ObserveOneOf(k Key, estimate, actual time.Duration, tasks int) {
	if estimate <= 0 || actual <= 0 || tasks <= 0 {
		return
	}
	x, y, weight := logOf(estimate), logOf(actual), (1+math.Log(float64(tasks)))/float64(tasks)
	k = k.bounded()
	m.queues.at(k.Queue, cloneQueue).add(x, y, weight, queueWindow)
	m.keys.at(k, Key.clone).add(x, y, weight, keyWindow)
}

// Expect returns what is expected of a task with an estimate. It is the estimate until
// enough runs of the queue were seen.
func (m *Model) Expect(k Key, estimate time.Duration) Expectation {
	if estimate <= 0 {
		return Expectation{}
	}
	k = k.bounded()
	queue := m.queues.find(k.Queue)
	if queue == nil || queue.weight < minSamples {
		return Expectation{Typical: estimate, Mean: estimate, Tail: timeOf(logOf(estimate) + tailQuantile*priorSpread)}
	}
	l, samples := queue.line(estimateLine, queuePrior), queue.weight
	if key := m.keys.find(k); key != nil {
		l, samples = key.line(l, keyPrior), key.weight
	}
	y := l.at(logOf(estimate))
	return Expectation{Typical: timeOf(y), Mean: timeOf(y + l.spread*l.spread/2), Tail: timeOf(y + tailQuantile*l.spread), Samples: samples}
}

// bounded returns the key with bounded names.
func (k Key) bounded() Key {
	return Key{Queue: k.Queue[:min(len(k.Queue), maxNameBytes)], Step: k.Step, Image: k.Image[:min(len(k.Image), maxNameBytes)]}
}

// clone returns a key that does not keep a longer text in memory.
func (k Key) clone() Key {
	return Key{Queue: cloneQueue(k.Queue), Step: k.Step, Image: strings.Clone(k.Image)}
}

func cloneQueue(q fleet.QueueName) fleet.QueueName { return fleet.QueueName(strings.Clone(string(q))) }

// logOf returns the logarithm of a time in seconds.
func logOf(d time.Duration) float64 { return math.Log(min(d, maxTime).Seconds()) }

func timeOf(log float64) time.Duration {
	return time.Duration(math.Exp(min(log, math.Log(maxTime.Seconds()))) * float64(time.Second))
}
