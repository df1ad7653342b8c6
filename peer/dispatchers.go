package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/peer/peerpb"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// batchDelay is how long calls and results wait to be sent together in one
	// message. It is short compared with a task's run time, and a message costs as
	// much as twenty calls in it.
	batchDelay = 8 * time.Millisecond
	// overdueMargin is how much longer than its long poll a call may take. It covers
	// the time-out of a call to a runner, the queue at the dispatcher, and the
	// network delay in both directions.
	overdueMargin = 2 * time.Second
	// overdueCheckInterval is the interval between checks for overdue calls.
	overdueCheckInterval = 250 * time.Millisecond
	// maxPending limits the calls in flight at one dispatcher, to bound memory.
	maxPending = 4096
)

// errOverdue means that a dispatcher did not answer in time.
var errOverdue = errors.New("peer: a call is overdue")

// Dispatchers is the set of entries that execute this entry's calls to runners.
// Each of them has a stream open to this entry. A message on a stream carries
// several calls or results.
type Dispatchers struct {
	clock loop.Clock

	mu     sync.Mutex
	post   func(event.Body)
	lastID uint64
	links  map[uint64]*dispatchLink
}

// NewDispatchers returns an empty set. The clock sets the times in the events.
func NewDispatchers(clock loop.Clock) *Dispatchers {
	return &Dispatchers{clock: clock, post: func(event.Body) {}, links: make(map[uint64]*dispatchLink)}
}

// Subscribe sets the function that receives the events about dispatchers and the
// results of calls.
func (d *Dispatchers) Subscribe(post func(event.Body)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.post = post
}

// Order queues an order for its dispatcher and returns nil at once; the result is
// posted later. If the order cannot be sent, Order returns its result.
func (d *Dispatchers) Order(o effect.OrderTask) event.Body {
	return d.sendCall(o.Dispatcher, encodeOrder(&o), pendingCall{order: &o, timeout: overdueMargin}, o.SendDeadline)
}

// Poll queues a poll of a runner for its dispatcher and returns nil at once; the
// result is posted later. If the poll cannot be sent, Poll returns its result.
func (d *Dispatchers) Poll(l effect.PollRunner) event.Body {
	return d.sendCall(l.Dispatcher, encodePoll(&l), pendingCall{poll: &l, timeout: l.Wait + overdueMargin}, l.SendDeadline)
}

func (d *Dispatchers) sendCall(to uint64, call *peerpb.RunnerCall, p pendingCall, sendDeadline time.Time) event.Body {
	d.mu.Lock()
	link, ok := d.links[to]
	d.mu.Unlock()
	now := d.clock()
	if !ok || now.After(sendDeadline) || !link.enqueue(now, call, p, sendDeadline) {
		return p.failureEvent(event.OrderStale, "not sent to a dispatcher")
	}
	return nil
}

// pendingCall is a call in flight, which is either an order or a poll.
type pendingCall struct {
	order   *effect.OrderTask
	poll    *effect.PollRunner
	sent    time.Time
	timeout time.Duration
}

func (p *pendingCall) failureEvent(outcome event.OrderOutcome, reason string) event.Body {
	if p.order != nil {
		return decodeOrderResult(p.order, &peerpb.RunnerResult{Outcome: uint32(outcome), Reason: reason}, event.Clock{})
	}
	return decodePollResult(p.poll, &peerpb.RunnerResult{Outcome: uint32(outcome), Reason: reason}, event.Clock{})
}

func (p *pendingCall) resultEvent(r *peerpb.RunnerResult, now time.Time) event.Body {
	clock := event.Clock{Reading: r.GetClock(), Sent: p.sent, Received: now}
	if p.order != nil {
		return decodeOrderResult(p.order, r, clock)
	}
	return decodePollResult(p.poll, r, clock)
}

// dispatchLink is the owner's end of the stream of one dispatcher.
type dispatchLink struct {
	calls *batch[*peerpb.RunnerCall]

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]pendingCall
	clock   dispatcherClock
}

// enqueue queues a call, or returns false if too many are in flight or the stream
// has ended.
func (l *dispatchLink) enqueue(now time.Time, call *peerpb.RunnerCall, p pendingCall, sendDeadline time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil || len(l.pending) >= maxPending {
		return false
	}
	l.lastID++
	p.sent = now
	call.Id, call.SendDeadline = l.lastID, l.clock.earliest(sendDeadline).UnixMilli()
	l.pending[l.lastID] = p
	l.calls.add(call)
	return true
}

// observeClock records a reading of the dispatcher's clock.
func (l *dispatchLink) observeClock(m *peerpb.RunnerResults, received time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clock.observe(time.UnixMilli(m.GetClock()), received)
}

// takePending removes and returns a call in flight.
func (l *dispatchLink) takePending(id uint64) (pendingCall, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.pending[id]
	delete(l.pending, id)
	return p, ok
}

// close rejects further calls and returns those in flight.
func (l *dispatchLink) close() []pendingCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]pendingCall, 0, len(l.pending))
	for _, p := range l.pending {
		out = append(out, p)
	}
	l.pending = nil
	return out
}

func (l *dispatchLink) hasOverdue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pending {
		if now.Sub(p.sent) > p.timeout {
			return true
		}
	}
	return false
}

// serve handles the stream of one dispatcher until it ends.
func (d *Dispatchers) serve(stream grpc.BidiStreamingServer[peerpb.RunnerResults, peerpb.RunnerCalls]) error {
	hello, err := stream.Recv()
	if err != nil {
		return err
	}
	if hello.GetEntry() == "" {
		return status.Error(codes.InvalidArgument, "the dispatcher sent no entry id")
	}
	if hello.GetClock() == 0 {
		// Without its clock, a dispatcher of an earlier version cannot tell how long a
		// call was on its way.
		return status.Error(codes.FailedPrecondition, "the dispatcher does not report its clock")
	}
	link := &dispatchLink{calls: newBatch[*peerpb.RunnerCall](), pending: make(map[uint64]pendingCall)}
	link.observeClock(hello, d.clock())
	id, post := d.join(link)
	post(event.DispatcherJoined{Dispatcher: id, Entry: fleet.EntryID(hello.GetEntry())})
	ended := make(chan error, 3)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() { ended <- d.receive(stream, id, link, post) }()
	go func() {
		ended <- link.calls.sendUntilDone(ctx, 0, func(calls []*peerpb.RunnerCall) error { return stream.Send(&peerpb.RunnerCalls{Calls: calls}) })
	}()
	go func() { ended <- d.watch(ctx, link) }()
	err = <-ended
	d.leave(id)
	post(event.DispatcherLeft{Dispatcher: id, Reason: err.Error()})
	for _, p := range link.close() {
		post(p.failureEvent(event.OrderUnknown, "the dispatcher has gone"))
	}
	return status.Error(codes.Unavailable, err.Error())
}

func (d *Dispatchers) join(link *dispatchLink) (uint64, func(event.Body)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	d.links[d.lastID] = link
	return d.lastID, d.post
}

func (d *Dispatchers) leave(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.links, id)
}

// receive posts results until the stream ends.
func (d *Dispatchers) receive(stream grpc.BidiStreamingServer[peerpb.RunnerResults, peerpb.RunnerCalls], id uint64, link *dispatchLink, post func(event.Body)) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		now := d.clock()
		link.observeClock(m, now)
		for _, r := range m.GetResults() {
			if p, ok := link.takePending(r.GetId()); ok {
				post(p.resultEvent(r, now))
			}
		}
		if m.GetLeaving() {
			post(event.DispatcherLeft{Dispatcher: id, Reason: "the dispatcher is leaving"})
		}
	}
}

// watch returns an error when the dispatcher has not answered a call in time.
func (d *Dispatchers) watch(ctx context.Context, link *dispatchLink) error {
	for {
		if err := loop.Sleep(ctx, overdueCheckInterval); err != nil {
			return err
		}
		if link.hasOverdue(d.clock()) {
			return errOverdue
		}
	}
}
