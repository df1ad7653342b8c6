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
	// batchPause is how long calls and results wait for others to share their
	// message: little beside a task's run time, and a message costs as much as
	// twenty calls in it.
	batchPause = 3 * time.Millisecond
	// overdueAfter is how much longer than its wait a call may take: the time
	// limit of a runner's answer, the queue before it, and two ways.
	overdueAfter = 2 * time.Second
	// overduePause is the pause between looks for overdue calls.
	overduePause = 250 * time.Millisecond
	// maxPending bounds the calls under way at one dispatcher, for memory.
	maxPending = 4096
)

// errOverdue means that a dispatcher did not answer in time.
var errOverdue = errors.New("peer: a call is overdue")

// Dispatchers are the entries that carry out this one's calls to runners. Each
// holds a stream open; calls and results share its messages.
type Dispatchers struct {
	clock loop.Clock

	mu    sync.Mutex
	post  func(event.Body)
	next  uint64
	links map[uint64]*dispatchLink
}

// NewDispatchers returns an empty set. The clock is the one by which the events'
// times are read.
func NewDispatchers(clock loop.Clock) *Dispatchers {
	return &Dispatchers{clock: clock, post: func(event.Body) {}, links: make(map[uint64]*dispatchLink)}
}

// Subscribe sets who is told of dispatchers and results.
func (d *Dispatchers) Subscribe(post func(event.Body)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.post = post
}

// Order hands an order to a dispatcher and returns at once; the outcome is
// reported. It returns the outcome if the order cannot be handed on.
func (d *Dispatchers) Order(o effect.OrderTask) event.Body {
	return d.hand(o.Dispatcher, encodeOrder(&o), pendingCall{order: &o, limit: overdueAfter}, o.SendDeadline)
}

// Poll hands a look to a dispatcher and returns at once; what it saw is reported.
// It returns the outcome if the look cannot be handed on.
func (d *Dispatchers) Poll(l effect.PollRunner) event.Body {
	return d.hand(l.Dispatcher, encodeLook(&l), pendingCall{look: &l, limit: l.Wait + overdueAfter}, l.SendDeadline)
}

func (d *Dispatchers) hand(to uint64, call *peerpb.RunnerCall, p pendingCall, notAfter time.Time) event.Body {
	d.mu.Lock()
	link, ok := d.links[to]
	d.mu.Unlock()
	now := d.clock()
	if !ok || now.After(notAfter) || !link.push(now, call, p, notAfter) {
		return p.failed(event.OrderStale, "not sent to a dispatcher")
	}
	return nil
}

// pendingCall is a call whose result is awaited: an order or a look.
type pendingCall struct {
	order *effect.OrderTask
	look  *effect.PollRunner
	sent  time.Time
	limit time.Duration
}

func (p *pendingCall) failed(outcome event.OrderOutcome, reason string) event.Body {
	if p.order != nil {
		return decodeOrdered(p.order, &peerpb.RunnerResult{Outcome: uint32(outcome), Reason: reason}, event.Clock{})
	}
	return decodeLooked(p.look, &peerpb.RunnerResult{Outcome: uint32(outcome), Reason: reason}, event.Clock{})
}

func (p *pendingCall) result(r *peerpb.RunnerResult, now time.Time) event.Body {
	clock := event.Clock{Reading: r.GetClock(), Sent: p.sent, Received: now}
	if p.order != nil {
		return decodeOrdered(p.order, r, clock)
	}
	return decodeLooked(p.look, r, clock)
}

// dispatchLink is the stream of one dispatcher.
type dispatchLink struct {
	calls *batch[*peerpb.RunnerCall]

	mu      sync.Mutex
	next    uint64
	pending map[uint64]pendingCall
}

// push queues a call, unless too many are under way.
func (l *dispatchLink) push(now time.Time, call *peerpb.RunnerCall, p pendingCall, notAfter time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil || len(l.pending) >= maxPending {
		return false
	}
	l.next++
	p.sent = now
	call.Id, call.FreshMs = l.next, notAfter.Sub(now).Milliseconds()
	l.pending[l.next] = p
	l.calls.add(call)
	return true
}

// take removes a call whose result has come.
func (l *dispatchLink) take(id uint64) (pendingCall, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.pending[id]
	delete(l.pending, id)
	return p, ok
}

// close refuses further calls and returns those under way.
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

func (l *dispatchLink) overdue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pending {
		if now.Sub(p.sent) > p.limit {
			return true
		}
	}
	return false
}

// serve runs one dispatcher's stream to its end.
func (d *Dispatchers) serve(stream grpc.BidiStreamingServer[peerpb.RunnerResults, peerpb.RunnerCalls]) error {
	hello, err := stream.Recv()
	if err != nil {
		return err
	}
	if hello.GetEntry() == "" {
		return status.Error(codes.InvalidArgument, "the dispatcher does not name itself")
	}
	link := &dispatchLink{calls: newBatch[*peerpb.RunnerCall](), pending: make(map[uint64]pendingCall)}
	id, post := d.join(link)
	post(event.DispatcherJoined{Dispatcher: id, Entry: fleet.EntryID(hello.GetEntry())})
	ended := make(chan error, 3)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() { ended <- d.receive(stream, id, link, post) }()
	go func() {
		ended <- link.calls.drain(ctx, func(calls []*peerpb.RunnerCall) error { return stream.Send(&peerpb.RunnerCalls{Calls: calls}) })
	}()
	go func() { ended <- d.watch(ctx, link) }()
	err = <-ended
	d.leave(id)
	post(event.DispatcherLeft{Dispatcher: id, Reason: err.Error()})
	for _, p := range link.close() {
		post(p.failed(event.OrderUnknown, "the dispatcher has gone"))
	}
	return status.Error(codes.Unavailable, err.Error())
}

func (d *Dispatchers) join(link *dispatchLink) (uint64, func(event.Body)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next++
	d.links[d.next] = link
	return d.next, d.post
}

func (d *Dispatchers) leave(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.links, id)
}

// receive takes in results until the stream ends.
func (d *Dispatchers) receive(stream grpc.BidiStreamingServer[peerpb.RunnerResults, peerpb.RunnerCalls], id uint64, link *dispatchLink, post func(event.Body)) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		now := d.clock()
		for _, r := range m.GetResults() {
			if p, ok := link.take(r.GetId()); ok {
				post(p.result(r, now))
			}
		}
		if m.GetLeaving() {
			post(event.DispatcherLeft{Dispatcher: id, Reason: "it leaves"})
		}
	}
}

// watch ends a stream whose dispatcher does not answer.
func (d *Dispatchers) watch(ctx context.Context, link *dispatchLink) error {
	for {
		if err := loop.Sleep(ctx, overduePause); err != nil {
			return err
		}
		if link.overdue(d.clock()) {
			return errOverdue
		}
	}
}
