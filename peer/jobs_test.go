package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/peer"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
	"google.golang.org/grpc"
)

// forwardTo forwards calls to a server of its own and returns what arrives there.
func forwardTo(t *testing.T) func(effect.Forward) event.ClientCalled {
	t.Helper()
	var got event.ClientCalled
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	srv := grpc.NewServer()
	peer.RegisterJobs(srv, func(_ context.Context, c event.ClientCalled) (effect.CallAnswer, error) {
		got = c
		return effect.CallAnswer{Kind: effect.AnswerUnauthorized, Reason: "no"}, nil
	}, peer.NewDispatchers(loop.BootClock()))
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(srv.Stop)
	jobs := peer.NewJobsClient()
	t.Cleanup(jobs.Close)
	return func(f effect.Forward) event.ClientCalled {
		f.Address, f.Timeout = ln.Addr().String(), time.Minute
		a, sent, err := jobs.Forward(t.Context(), f)
		must.NoError(t, err)
		must.True(t, sent)
		must.Eq(t, effect.CallAnswer{Kind: effect.AnswerUnauthorized, Reason: "no"}, a)
		return got
	}
}

func TestForwardedCallRoundTrip(t *testing.T) {
	forward := forwardTo(t)
	want := event.ClientCalled{
		Forwarded: true, Kind: effect.CallSubmit, Queue: "q", Version: 7, Job: "j", Timeout: time.Minute,
		Spec: &fleet.JobSpec{Text: "t", FirstAt: time.UnixMilli(5), Repeats: 1, Steps: []fleet.Step{{Count: 1}}}, Key: "k", Verified: true, Tenant: "one",
	}
	must.Eq(t, want, forward(effect.Forward{
		Kind: want.Kind, Queue: want.Queue, Version: want.Version, Job: want.Job, Spec: want.Spec, Key: want.Key, Verified: true, Tenant: want.Tenant,
	}))
}

// TestCallToAnUnknownQueueIsForwarded: a path that is no text failed the call, and the owner
// was taken for unreachable.
func TestCallToAnUnknownQueueIsForwarded(t *testing.T) {
	got := forwardTo(t)(effect.Forward{Kind: effect.CallState, Host: "h", Path: "/q/\xff"})
	must.Eq(t, "h", got.Host)
	must.Eq(t, "/q/\uFFFD", got.Path)
	must.Eq(t, "", got.Queue)
}
