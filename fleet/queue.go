package fleet

import (
	"strings"
	"time"
)

// Queues is a version of the operators' configuration of job queues. It is
// immutable.
type Queues struct {
	// Version increases with each configuration, not always by one.
	Version  int64
	ByName   map[QueueName]*Queue
	Services map[ServiceName]*JobService
	Tenants  Tenants
	hosts    map[string][]*Queue
}

// Queue is a queue of jobs.
type Queue struct {
	Name QueueName
	// Host and Prefix select the queue for a client's request, by its host and
	// the start of its path.
	Host   string
	Prefix string
	// Service is the pool whose runners run the queue's tasks.
	Service ServiceName
	// Priority is the rank of the queue among others; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of failed runs of a task after which its job
	// fails.
	MaxAttempts int
	// Stretch and Slack set the objective for a job's duration: the estimated run
	// time of its longest chain of steps times Stretch, plus Slack.
	Stretch float64
	Slack   time.Duration
	// RequiresAdvice is set when a step may start only on runners that the advice
	// service names.
	RequiresAdvice bool
	// Public is set when calls need no key. The queue's jobs belong to no tenant.
	Public bool
}

// JobService is a pool of runners.
type JobService struct {
	Name ServiceName
	// Spare is set for a pool that runs no tasks; its instances are off.
	Spare bool
	// EnforcesCapacity is set when the runners refuse a task that exceeds their
	// capacity.
	EnforcesCapacity bool
}

// NewQueues returns a configuration of queues and services, with its indexes.
func NewQueues(version int64, queues []*Queue, services []*JobService) *Queues {
	q := &Queues{
		Version:  version,
		ByName:   make(map[QueueName]*Queue, len(queues)),
		Services: make(map[ServiceName]*JobService, len(services)),
		hosts:    make(map[string][]*Queue),
	}
	for _, queue := range queues {
		q.ByName[queue.Name] = queue
		q.hosts[queue.Host] = append(q.hosts[queue.Host], queue)
	}
	for _, s := range services {
		q.Services[s.Name] = s
	}
	return q
}

// Find returns the host's queue with the longest prefix of a path, and the rest
// of the path. It returns nil when no queue matches.
func (q *Queues) Find(host, path string) (*Queue, string) {
	var best *Queue
	for _, queue := range q.hosts[host] {
		if strings.HasPrefix(path, queue.Prefix) && (best == nil || len(queue.Prefix) > len(best.Prefix)) {
			best = queue
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}
