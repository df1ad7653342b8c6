package fleet

import (
	"strings"
	"time"
)

// Queues is a version of the operators' configuration of job queues. It is
// immutable.
type Queues struct {
	// Version grows from one configuration to the next, in uneven steps.
	Version  int64
	ByName   map[QueueName]*Queue
	Services map[ServiceName]*JobService
	hosts    map[string][]*Queue
}

// Queue is a queue of jobs.
type Queue struct {
	Name QueueName
	// Host and Prefix select the queue for a client's request.
	Host   string
	Prefix string
	// Service is the pool whose runners run the queue's tasks.
	Service ServiceName
	// Priority 0 comes first.
	Priority int
	// MaxAttempts is the number of failed runs after which a task is given up.
	MaxAttempts int
	// Stretch times a job's longest chain of work, plus Slack, is the time in
	// which the job should end.
	Stretch float64
	Slack   time.Duration
	// RequiresAdvice queues may start a step only on runners that the advice service
	// names.
	RequiresAdvice bool
}

// JobService is a pool of runners.
type JobService struct {
	Name ServiceName
	// Spare pools run nothing; their instances are off.
	Spare bool
	// EnforcesCapacity says that runners refuse what does not fit.
	EnforcesCapacity bool
}

// NewQueues returns a configuration with its index of hosts.
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

// Find returns the queue of the longest prefix that a path begins with, and
// what follows the prefix. It returns nil when there is none.
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
