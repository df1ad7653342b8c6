package fleet

import "time"

// Values of settings that the services text leaves out.
const (
	// DefaultSlots is the number of requests that one instance runs at once.
	DefaultSlots = 8
	// DefaultConnections is the number of connections to one instance, over
	// all entries together.
	DefaultConnections = 64
	// DefaultTimeLimit bounds a request that names no time limit.
	DefaultTimeLimit = 10 * time.Second
	// DefaultMaxQueue is the largest number of requests that wait for one service.
	DefaultMaxQueue = 1024
	// DefaultMaxBody is the largest request body, in bytes.
	DefaultMaxBody = 1 << 20
)

// Text is a parsed and checked services text. It is immutable once published.
type Text struct {
	DataCentres []DataCentre
	Services    []Service
	Pools       []Pool
	Instances   []Instance
	Members     []Member
	Prices      Prices
	Maintenance Maintenance
}

// Service is a kind of work that callers request.
type Service struct {
	Name      ServiceName
	Pool      PoolName
	DependsOn []ServiceName
	// Availability is the share of requests that must be answered, in (0, 1).
	Availability float64
	// Idempotent is set when a request may be retried after it was sent to an
	// endpoint.
	Idempotent bool
	// Urgent is set when the service's requests are granted slots before others.
	Urgent    bool
	TimeLimit time.Duration
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	// MaxQueue is the largest number of requests that wait at once.
	MaxQueue int
	// MaxAttempts is the largest number of dispatches of one request, including
	// the first.
	MaxAttempts int
	// Demand is the mean number of slots in use that the operator expects.
	Demand float64
}

// Pool is a set of instances that serve the same services.
type Pool struct {
	Name PoolName
	// Spare is set for a pool that serves no requests and lends its instances to
	// other pools.
	Spare bool
	// Slots is the number of requests that one instance runs at once, over all
	// entries together.
	Slots int
	// Connections bounds connections to one instance, over all entries.
	Connections int
	// MaxSize is the largest declared size that an instance can run.
	MaxSize int64
}

// IdleConnections is the number of idle connections to one instance that an
// entry keeps, provided that the pool's limit leaves room for those of all
// entries. With the default slots and connections it does for up to 11 entries:
// nine in use and two that are starting to replace others.
const IdleConnections = 5

// Capacity returns the number of requests that one instance runs at once: its
// slots, or its connections if they are fewer. Zero Connections means no limit.
func (p *Pool) Capacity() int {
	if p.Connections == 0 {
		return p.Slots
	}
	return min(p.Slots, p.Connections)
}

// MayReuse reports whether a number of entries may keep idle connections to an
// instance without exceeding its limit.
func (p *Pool) MayReuse(entries int) bool {
	return p.Connections == 0 || p.Capacity()+entries*IdleConnections <= p.Connections
}

// Instance is a machine that runs an endpoint.
type Instance struct {
	ID InstanceID
	// Address is the IP address and port of its endpoint.
	Address    string
	DataCentre DataCentre
	Rack       Rack
	// Pool is the instance's pool according to the services text. Moves recorded
	// in the control stream override it.
	Pool PoolName
}

// Member is a customer with a share of the fleet.
type Member struct {
	Name MemberName
	// Weight is the member's share relative to the other members'.
	Weight int
	// Quota is the number of slots the member may hold at once; zero means no
	// limit beyond its weight.
	Quota int
}

// Prices weigh the two costs that the planner trades off.
type Prices struct {
	// Buffer is the price of one idle instance for one hour.
	Buffer float64
	// Move is the price of moving one instance between pools.
	Move float64
}

// Maintenance bounds drains and waves.
type Maintenance struct {
	// DrainLimit is how long a drain may wait for requests in flight before it is
	// reported as overdue. No request is cut off.
	DrainLimit time.Duration
	// MaxStep is the largest number of instances that a wave drains at once.
	MaxStep int
	// Probation is how long an instance is watched after it returned to service.
	Probation time.Duration
}

// Service returns the service with this name.
func (t *Text) Service(name ServiceName) (*Service, bool) {
	for i := range t.Services {
		if t.Services[i].Name == name {
			return &t.Services[i], true
		}
	}
	return nil, false
}

// Pool returns the pool with this name.
func (t *Text) Pool(name PoolName) (*Pool, bool) {
	for i := range t.Pools {
		if t.Pools[i].Name == name {
			return &t.Pools[i], true
		}
	}
	return nil, false
}

// Member returns the member with this name.
func (t *Text) Member(name MemberName) (*Member, bool) {
	for i := range t.Members {
		if t.Members[i].Name == name {
			return &t.Members[i], true
		}
	}
	return nil, false
}
