package peer_test

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/peer"
	"github.com/banyanrail/banyanrail/peer/peerpb"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

// maxOrderAge is the time from decision to send deadline in reduce/jobs.
const maxOrderAge = 400 * time.Millisecond

// manualTime is the real time of an owner and a dispatcher whose clocks differ.
type manualTime struct{ passed atomic.Int64 }

func (m *manualTime) advance(d time.Duration) { m.passed.Add(int64(d)) }

func (m *manualTime) clock(start int64) loop.Clock {
	return func() time.Time { return time.UnixMilli(start).Add(time.Duration(m.passed.Load())) }
}

const (
	ownerStart      = 1_000_000_000
	dispatcherStart = 1_003_600_000
)

// stallableLink passes bytes on unless it is stalled.
type stallableLink struct {
	mu      sync.Mutex
	resumed *sync.Cond
	stalled bool
}

func newStallableLink() *stallableLink {
	l := &stallableLink{}
	l.resumed = sync.NewCond(&l.mu)
	return l
}

func (l *stallableLink) setStalled(stalled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalled = stalled
	l.resumed.Broadcast()
}

func (l *stallableLink) waitUntilResumed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.stalled {
		l.resumed.Wait()
	}
}

// listen returns an address whose connections lead to the given one. What comes from there
// can be stalled.
func (l *stallableLink) listen(t *testing.T, to string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	t.Cleanup(func() { l.setStalled(false) })
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(far, near) }()
			go l.copy(near, far)
		}
	}()
	return ln.Addr().String()
}

func (l *stallableLink) copy(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		l.waitUntilResumed()
		if _, writeErr := to.Write(buf[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

// sendDeadline returns the send deadline of a call.
func sendDeadline(call effect.Effect) time.Time {
	if o, ok := call.(effect.OrderTask); ok {
		return o.SendDeadline
	}
	return call.(effect.PollRunner).SendDeadline
}

// executeFresh returns a handler that executes calls as an entry does, and tells for each of
// them whether it was sent.
func executeFresh(clock loop.Clock, sent chan<- bool) peer.CallHandler {
	return func(call effect.Effect, reply func(event.Body)) {
		outcome := event.OrderDone
		if clock().After(sendDeadline(call)) {
			outcome = event.OrderStale
		}
		sent <- outcome == event.OrderDone
		reply(event.TaskOrdered{Outcome: outcome})
	}
}

// TestCallDelayedOnItsWayToADispatcherIsNotSent stalls the connection for as long as an
// order is on its way.
func TestCallDelayedOnItsWayToADispatcherIsNotSent(t *testing.T) {
	for _, stall := range []time.Duration{maxOrderAge + 20*time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, 12 * time.Second} {
		t.Run(stall.String(), func(t *testing.T) {
			t.Parallel()
			var now manualTime
			clock, link, sent := now.clock(ownerStart), newStallableLink(), make(chan bool, 1)
			dispatcherClock := now.clock(dispatcherStart)
			via := func(address string) string { return link.listen(t, address) }
			o := startOwnerThrough(t, clock, dispatcherClock, via, executeFresh(dispatcherClock, sent))
			order := o.order(1)
			order.SendDeadline = clock().Add(maxOrderAge)
			link.setStalled(true)
			o.Order(order)
			now.advance(stall)
			link.setStalled(false)
			select {
			case wasSent := <-sent:
				must.False(t, wasSent)
			case <-o.ended: // the owner ended the stream first
			}
			o.stopDispatcher()
			<-o.ended
		})
	}
}

// TestSuspendedDispatcherSendsNoCallThatCameMeanwhile has a dispatcher that does not read from
// its stream for longer than an order may be sent.
func TestSuspendedDispatcherSendsNoCallThatCameMeanwhile(t *testing.T) {
	var now manualTime
	clock, dispatcherClock := now.clock(ownerStart), now.clock(dispatcherStart)
	suspended, resume, sent := make(chan struct{}), make(chan struct{}), make(chan bool, 1)
	execute := executeFresh(dispatcherClock, sent)
	o := startOwnerThrough(t, clock, dispatcherClock, func(address string) string { return address }, func(call effect.Effect, reply func(event.Body)) {
		if _, ok := call.(effect.PollRunner); ok {
			close(suspended)
			<-resume
			return
		}
		execute(call, reply)
	})
	poll, order := o.poll(), o.order(1)
	poll.SendDeadline = clock().Add(maxOrderAge)
	o.Poll(poll)
	<-suspended
	order.SendDeadline = clock().Add(maxOrderAge)
	o.Order(order)
	now.advance(1500 * time.Millisecond)
	close(resume)
	must.False(t, <-sent)
	must.Eq(t, event.OrderStale, (<-o.events).(event.TaskOrdered).Outcome)

	// The next one is fresh.
	order.SendDeadline = clock().Add(maxOrderAge)
	o.Order(order)
	must.True(t, <-sent)
	must.Eq(t, event.OrderDone, (<-o.events).(event.TaskOrdered).Outcome)
	o.stopDispatcher()
	<-o.ended
}

// TestBusyDispatcherSendsFreshCalls has orders every second that take 1 to 20 ms.
func TestBusyDispatcherSendsFreshCalls(t *testing.T) {
	var now manualTime
	clock, dispatcherClock := now.clock(ownerStart), now.clock(dispatcherStart)
	draw, sent := rand.New(rand.NewPCG(1, 1)), make(chan bool, 1)
	execute := executeFresh(dispatcherClock, sent)
	o := startOwnerThrough(t, clock, dispatcherClock, func(address string) string { return address }, func(call effect.Effect, reply func(event.Body)) {
		now.advance(time.Millisecond + time.Duration(draw.Int64N(int64(20*time.Millisecond))))
		execute(call, reply)
	})
	for i := range 60 {
		order := o.order(i)
		order.SendDeadline = clock().Add(maxOrderAge)
		o.Order(order)
		must.True(t, <-sent, must.Sprint("order ", i))
		must.Eq(t, event.OrderDone, (<-o.events).(event.TaskOrdered).Outcome)
		now.advance(time.Second)
	}
	o.stopDispatcher()
	<-o.ended
}

// readingsServer receives what a dispatcher reports, and sends no calls.
type readingsServer struct {
	peerpb.UnimplementedJobsServer
	readings chan *peerpb.RunnerResults
}

func (s *readingsServer) Dispatch(stream grpc.BidiStreamingServer[peerpb.RunnerResults, peerpb.RunnerCalls]) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		s.readings <- m
	}
}

func TestIdleDispatcherReportsItsClock(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &readingsServer{readings: make(chan *peerpb.RunnerResults, 8)}
	srv := grpc.NewServer()
	peerpb.RegisterJobsServer(srv, s)
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(srv.Stop)
	var now manualTime
	go func() {
		jobs := peer.NewJobsClient()
		_ = jobs.Dispatch(t.Context(), ln.Addr().String(), "second", now.clock(dispatcherStart), nil) // ends with the test
	}()
	must.Eq(t, dispatcherStart, (<-s.readings).GetClock())
	now.advance(time.Minute)
	m := <-s.readings
	for m.GetClock() == dispatcherStart { // sent before the time advanced
		m = <-s.readings
	}
	must.Eq(t, dispatcherStart+60_000, m.GetClock())
	must.SliceEmpty(t, m.GetResults())
}

// TestDispatcherWithoutAClockIsRefused has a dispatcher of an earlier version.
func TestDispatcherWithoutAClockIsRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	d := peer.NewDispatchers(loop.BootClock())
	d.Subscribe(func(b event.Body) { t.Errorf("posted %T", b) })
	srv := grpc.NewServer()
	peer.RegisterJobs(srv, nil, d)
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(srv.Stop)
	conn, err := grpc.NewClient(ln.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	stream, err := peerpb.NewJobsClient(conn).Dispatch(t.Context())
	must.NoError(t, err)
	must.NoError(t, stream.Send(&peerpb.RunnerResults{Entry: "second"}))
	_, err = stream.Recv()
	must.Eq(t, codes.FailedPrecondition, status.Code(err))
}

// earlierOwner is an owner of an earlier version, which sends no deadline on the dispatcher's
// clock.
type earlierOwner struct{ peerpb.UnimplementedJobsServer }

func (earlierOwner) Dispatch(stream grpc.BidiStreamingServer[peerpb.RunnerResults, peerpb.RunnerCalls]) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	call := &peerpb.RunnerCall{Id: 1, FreshMs: 300, Call: &peerpb.RunnerCall_Look{Look: &peerpb.RunnerLook{}}}
	if err := stream.Send(&peerpb.RunnerCalls{Calls: []*peerpb.RunnerCall{call}}); err != nil {
		return err
	}
	<-stream.Context().Done()
	return nil
}

func TestCallOfAnEarlierOwnerIsFreshFromItsReceipt(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	srv := grpc.NewServer()
	peerpb.RegisterJobsServer(srv, earlierOwner{})
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(srv.Stop)
	var now manualTime
	clock, deadlines := now.clock(dispatcherStart), make(chan time.Time, 1)
	go func() {
		jobs := peer.NewJobsClient()
		_ = jobs.Dispatch(t.Context(), ln.Addr().String(), "second", clock, func(call effect.Effect, _ func(event.Body)) { // ends with the test
			deadlines <- sendDeadline(call)
		})
	}()
	must.Eq(t, clock().Add(300*time.Millisecond), <-deadlines)
}
