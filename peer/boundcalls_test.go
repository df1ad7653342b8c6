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
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
	"google.golang.org/grpc"
)

// memory is what calls have reserved, and its limit.
type memory struct {
	held, ran atomic.Int64
	limit     int64
	released  chan struct{}
}

func (m *memory) reserve(bytes int64) (func(), bool) {
	if m.held.Load()+bytes > m.limit {
		return nil, false
	}
	m.held.Add(bytes)
	return func() { m.held.Add(-bytes); m.released <- struct{}{} }, true
}

// forward forwards a job with a text of a length to an owner with a limit of memory.
func forward(t *testing.T, m *memory, length int) effect.CallAnswer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	srv := grpc.NewServer(append(peer.ServerOptions(), peer.BoundCalls(m.reserve)...)...)
	peer.RegisterJobs(srv, func(_ context.Context, c event.ClientCalled) (effect.CallAnswer, error) {
		m.ran.Add(1)
		return effect.CallAnswer{Kind: effect.AnswerAccepted}, nil
	}, peer.NewDispatchers(loop.BootClock()))
	go func() { _ = srv.Serve(ln) }()
	defer srv.Stop()
	client := peer.NewJobsClient()
	defer client.Close()
	a, sent, err := client.Forward(t.Context(), effect.Forward{
		Address: ln.Addr().String(), Kind: effect.CallSubmit, Queue: "q", Job: "a1", Timeout: 10 * time.Second,
		Spec: &fleet.JobSpec{Text: strings.Repeat("x", length), Steps: []fleet.Step{{Count: 1}}},
	})
	must.NoError(t, err)
	must.True(t, sent)
	return a
}

// TestCallsBeyondTheMemoryDoNotRun guards against a call that runs although the owner's memory is
// used up, and against the claim that its job never runs: an earlier try may be stored.
func TestCallsBeyondTheMemoryDoNotRun(t *testing.T) {
	m := &memory{}
	a := forward(t, m, 2000)
	must.Eq(t, effect.AnswerUnknown, a.Kind)
	must.Positive(t, a.RetryAfter)
	must.Eq(t, 0, m.ran.Load())
	must.Eq(t, effect.AnswerAccepted, forward(t, m, 10).Kind, must.Sprint("a small call needs none"))
}

// TestCallsReleaseTheirMemory guards against memory that stays counted after the answer.
func TestCallsReleaseTheirMemory(t *testing.T) {
	m := &memory{limit: 1 << 20, released: make(chan struct{}, 1)}
	must.Eq(t, effect.AnswerAccepted, forward(t, m, 2000).Kind)
	<-m.released
	must.Eq(t, 0, m.held.Load())
}
