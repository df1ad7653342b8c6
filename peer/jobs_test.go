package peer_test

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/peer"
	"github.com/banyanrail/banyanrail/peer/peerpb"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
)

// serveOwner serves the calls of other entries and returns the owner's address.
func serveOwner(t *testing.T, call func(event.ClientCalled) effect.CallAnswer, options ...grpc.ServerOption) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	srv := grpc.NewServer(options...)
	peer.RegisterJobs(srv, func(_ context.Context, c event.ClientCalled) (effect.CallAnswer, error) { return call(c), nil },
		peer.NewDispatchers(loop.BootClock()))
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(srv.Stop)
	return ln.Addr().String()
}

// forward forwards a call to an owner and returns its answer, and the calls that arrived.
func forward(t *testing.T, f effect.Forward, answer effect.CallAnswer, options ...grpc.ServerOption) (_ effect.CallAnswer, got []event.ClientCalled) {
	t.Helper()
	f.Address = serveOwner(t, func(c event.ClientCalled) effect.CallAnswer {
		got = append(got, c)
		return answer
	}, options...)
	f.Timeout = time.Minute
	client := peer.NewJobsClient()
	defer client.Close()
	a, sent, err := client.Forward(t.Context(), f)
	must.NoError(t, err)
	must.True(t, sent)
	return a, got
}

// TestForwardedCallsRoundTrip guards against a lost field, and against a path that is no text: it
// failed the call, and the owner was taken for unreachable.
func TestForwardedCallsRoundTrip(t *testing.T) {
	spec := &fleet.JobSpec{Text: "t", FirstAt: time.UnixMilli(5), Repeats: 1, Steps: []fleet.Step{{Count: 1}}}
	answer := effect.CallAnswer{Kind: effect.AnswerUnauthorized, Reason: "no"}
	for _, c := range []struct {
		sent effect.Forward
		want event.ClientCalled
	}{
		{effect.Forward{Kind: effect.CallSubmit, Queue: "q", Version: 7, Job: "j", Spec: spec, Key: "k", Verified: true, Tenant: "one"},
			event.ClientCalled{Kind: effect.CallSubmit, Queue: "q", Version: 7, Job: "j", Spec: spec, Key: "k", Verified: true, Tenant: "one"}},
		{effect.Forward{Kind: effect.CallState, Host: "h", Path: "/q/\xff"}, event.ClientCalled{Kind: effect.CallState, Host: "h", Path: "/q/\uFFFD"}},
	} {
		c.want.Forwarded, c.want.Timeout = true, time.Minute
		a, got := forward(t, c.sent, answer)
		must.Eq(t, answer, a)
		must.Eq(t, []event.ClientCalled{c.want}, got)
	}
}

// TestCallsReserveTheOwnersMemory guards against a call that runs although the memory is used up,
// against the claim that its job never runs, as an earlier try may be stored, and against memory
// that stays counted after the answer.
func TestCallsReserveTheOwnersMemory(t *testing.T) {
	submit := func(limit int64, length int) (a effect.CallAnswer, ran int, released chan int64) {
		var held atomic.Int64
		released = make(chan int64, 1)
		options := append(peer.ServerOptions(), peer.BoundCalls(func(bytes int64) (func(), bool) {
			if held.Load()+bytes > limit {
				return nil, false
			}
			held.Add(bytes)
			return func() { released <- held.Add(-bytes) }, true
		})...)
		spec := &fleet.JobSpec{Text: strings.Repeat("x", length), Steps: []fleet.Step{{Count: 1}}}
		a, got := forward(t, effect.Forward{Kind: effect.CallSubmit, Spec: spec}, effect.CallAnswer{Kind: effect.AnswerAccepted}, options...)
		return a, len(got), released
	}
	a, ran, _ := submit(0, 2000)
	must.Eq(t, effect.AnswerUnknown, a.Kind)
	must.Positive(t, a.RetryAfter)
	must.Zero(t, ran)
	a, _, _ = submit(0, 10)
	must.Eq(t, effect.AnswerAccepted, a.Kind, must.Sprint("a small call needs none"))
	a, _, released := submit(1<<20, 2000)
	must.Eq(t, effect.AnswerAccepted, a.Kind)
	must.Zero(t, <-released)
}

// TestAnnouncedCallWithoutMessageEnds guards against memory that is reserved for as long as a client
// keeps a call open whose message it never sends.
func TestAnnouncedCallWithoutMessageEnds(t *testing.T) {
	released := make(chan struct{})
	address := serveOwner(t, func(event.ClientCalled) effect.CallAnswer { return effect.CallAnswer{} },
		peer.BoundCalls(func(int64) (func(), bool) { return func() { close(released) }, true })...)
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	ctx := metadata.AppendToOutgoingContext(t.Context(), "banyanrail-call-bytes", "1000000")
	stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true}, "/banyanrail.peer.Jobs/Call")
	must.NoError(t, err)
	<-released
	must.Error(t, stream.RecvMsg(&peerpb.JobAnswer{}))
}
