package fleet

import "time"

// Limits of a runner in the absence of a setting in the services text.
const (
	// DefaultSlots is the number of requests that one instance runs at once.
	DefaultSlots = 8
	// DefaultConnections is the number of connections to one instance, over
	// all entries together.
	DefaultConnections = 64
	// DefaultTimeLimit bounds a request that names no time limit.
	DefaultTimeLimit = 10 * time.Second
	// DefaultMaxQueue is the number of requests that wait for one service.
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

// Service is a kind of work that callers ask for.
type Service struct {
	Name      ServiceName
	Pool      PoolName
	DependsOn []ServiceName
	// Availability is the share of requests that must be answered, in (0, 1).
	Availability float64
	// Idempotent services may be retried after a request was sent.
	Idempotent bool
	// Urgent requests go before others and start within UrgentStart.
	Urgent    bool
	TimeLimit time.Duration
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	// MaxQueue is the number of requests that wait at once.
	MaxQueue int
	// MaxAttempts bounds dispatches of one request, the first included.
	MaxAttempts int
	// Demand is the mean number of slots in use that the operator expects.
	Demand float64
}

// Pool is a set of instances that serve the same services.
type Pool struct {
	Name PoolName
	// Spare pools serve nothing and lend instances to the others.
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
// entry keeps where the pool's limit leaves room for those of all entries. With
// the default slots and connections that is so for up to 11 entries: the nine of
// a user, and two that replace others.
const IdleConnections = 5

// Capacity returns the number of requests that one instance runs at once: its
// slots, or its connections where they are fewer. Zero Connections is no limit.
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
	// Pool is where the services text puts the instance at first; moves
	// recorded in the control stream come after it.
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

// Prices let users weigh the planner's two costs.
type Prices struct {
	// Buffer is the price of one idle instance for one hour.
	Buffer float64
	// Move is the price of moving one instance between pools.
	Move float64
}

// Maintenance bounds drains and waves.
type Maintenance struct {
	// DrainLimit is how long a drain may wait for requests in flight before it
	// is reported. It cuts off none.
	DrainLimit time.Duration
	// MaxStep is the largest number of instances that a wave drains at once.
	MaxStep int
	// Probation is how long an instance is watched after it came back.
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
