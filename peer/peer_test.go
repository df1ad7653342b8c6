package peer_test

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/bytecount"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/peer"
	"github.com/banyanrail/banyanrail/peer/peerpb"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/banyanrail/banyanrail/services"
	"github.com/shoenig/test/must"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// receiver is a peer that receives messages.
type receiver struct {
	address string
	got     chan peer.Received
	server  *grpc.Server
	dropped atomic.Int64
}

func listen(t testing.TB, address string) *receiver {
	t.Helper()
	ln, err := net.Listen("tcp", address)
	must.NoError(t, err)
	r := &receiver{address: ln.Addr().String(), got: make(chan peer.Received, 10_000), server: grpc.NewServer(peer.ServerOptions()...)}
	peer.Register(r.server, func(m peer.Received) error {
		r.got <- m
		return nil
	}, func(fleet.EntryID, error) { r.dropped.Add(1) })
	go func() { _ = r.server.Serve(ln) }()
	t.Cleanup(r.server.Stop)
	return r
}

func newClient(t testing.TB, failed *atomic.Int64, options ...grpc.DialOption) *peer.Client {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := peer.NewClient(ctx, peer.Config{
		Self:        "entry-1",
		Incarnation: 7,
		Address:     "127.0.0.1:9",
		Run: func(task func()) error {
			go task()
			return nil
		},
		OnSendFailure: func(fleet.EntryID, error) { failed.Add(1) },
		Options:       options,
	})
	t.Cleanup(func() {
		c.Close()
		cancel()
	})
	return c
}

func TestMessagesArriveInOrderWithTheirSender(t *testing.T) {
	r := listen(t, "127.0.0.1:0")
	var failed atomic.Int64
	c := newClient(t, &failed)
	const n = 1000
	for i := range n {
		c.Send("entry-2", r.address, uint64(i), message.Heartbeat{Offset: fleet.Offset(i), Digest: 1 << 63, Stopping: true})
	}
	for i := range n {
		m := <-r.got
		must.EqOp(t, "entry-1", m.From)
		must.EqOp(t, 7, m.Incarnation)
		must.EqOp(t, "127.0.0.1:9", m.Address)
		must.EqOp(t, uint64(i), m.Sequence)
		must.Eq[message.Message](t, message.Heartbeat{Offset: fleet.Offset(i), Digest: 1 << 63, Stopping: true}, m.Message)
	}
	must.EqOp(t, 0, failed.Load())
}

func TestRestartedPeerIsReachedAgain(t *testing.T) {
	first := listen(t, "127.0.0.1:0")
	var failed atomic.Int64
	c := newClient(t, &failed)
	c.Send("entry-2", first.address, 1, message.Heartbeat{})
	<-first.got
	first.server.Stop()
	second := listen(t, first.address)
	deadline := time.After(20 * time.Second)
	for sequence := uint64(2); ; sequence++ {
		c.Send("entry-2", first.address, sequence, message.Heartbeat{})
		select {
		case <-second.got:
			return
		case <-deadline:
			t.Fatal("the restarted peer received no message")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func TestUnreachablePeerIsReported(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := ln.Addr().String()
	must.NoError(t, ln.Close())
	failed := make(chan error, 1)
	c := peer.NewClient(t.Context(), peer.Config{
		Self: "entry-1",
		Run: func(task func()) error {
			go task()
			return nil
		},
		OnSendFailure: func(_ fleet.EntryID, err error) { failed <- err },
	})
	defer c.Close()
	c.Send("entry-2", address, 1, message.Heartbeat{})
	must.ErrorContains(t, <-failed, address)
}

func TestRecordsKeepTheirOffsets(t *testing.T) {
	r := listen(t, "127.0.0.1:0")
	var failed atomic.Int64
	c := newClient(t, &failed)
	text, err := services.Parse("services.hcl", []byte(src))
	must.NoError(t, err)
	c.Send("entry-2", r.address, 1, message.RecordsRequest{After: 41})
	c.Send("entry-2", r.address, 2, message.Records{After: 41, Records: []control.Positioned{{
		Offset: 43,
		Record: control.Record{ID: "r", Body: control.Publish{Base: 3, Text: text}},
	}}})
	fold := control.Snapshot{Offset: 7, Version: 6, Text: text}
	c.Send("entry-2", r.address, 3, message.Snapshot{Fold: fold})
	must.Eq[message.Message](t, message.RecordsRequest{After: 41}, (<-r.got).Message)
	got := (<-r.got).Message.(message.Records)
	must.EqOp(t, 41, got.After)
	must.Len(t, 1, got.Records)
	must.EqOp(t, 43, got.Records[0].Offset)
	body := got.Records[0].Record.Body.(control.Publish)
	must.EqOp(t, 3, body.Base)
	must.EqOp(t, 4, body.Text.Pools[0].Slots)
	snapshot := (<-r.got).Message.(message.Snapshot)
	must.EqOp(t, 7, snapshot.Fold.Offset)
	must.EqOp(t, 6, snapshot.Fold.Version)
	must.Eq(t, text, snapshot.Fold.Text)
}

const src = `data_centre "dc1" {
  rack "r1" {
    instance "runner-1" {
      address = "127.0.0.1:1"
      pool    = "main"
    }
  }
}
pool "main" { slots = 4 }
service "survey" { pool = "main" }
member "lawa" { weight = 1 }
`

func TestUnknownMessageIsSkipped(t *testing.T) {
	r := listen(t, "127.0.0.1:0")
	conn, err := grpc.NewClient(r.address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	must.NoError(t, err)
	defer conn.Close()
	ctx := metadata.AppendToOutgoingContext(t.Context(), "banyanrail-from", "entry-1", "banyanrail-incarnation", "3")
	stream, err := peerpb.NewPeerClient(conn).Send(ctx)
	must.NoError(t, err)
	must.NoError(t, stream.Send(&peerpb.Envelope{Sequence: 1}))
	must.NoError(t, stream.Send(&peerpb.Envelope{Sequence: 2, Message: &peerpb.Envelope_ReportWanted{ReportWanted: &peerpb.ReportWanted{}}}))
	must.EqOp(t, 2, (<-r.got).Sequence)
	must.EqOp(t, 1, r.dropped.Load())
}

func TestStreamWithoutASenderIsRefused(t *testing.T) {
	r := listen(t, "127.0.0.1:0")
	conn, err := grpc.NewClient(r.address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	must.NoError(t, err)
	defer conn.Close()
	stream, err := peerpb.NewPeerClient(conn).Send(t.Context())
	must.NoError(t, err)
	_, err = stream.CloseAndRecv()
	must.EqOp(t, codes.InvalidArgument, status.Code(err))
}

// BenchmarkWire reports the TCP payload in bytes per message, in both directions
// and including HTTP/2 frames.
func BenchmarkWire(b *testing.B) {
	request := message.SlotRequest{ID: 1_000_000, Service: "survey", Member: "lawa", Size: 1, Remaining: 10 * time.Second}
	slot := message.Slot{Request: 1_000_000, Instance: "runner-01"}
	release := message.SlotRelease{Slot: slot, HeldFor: 100 * time.Millisecond, RunTime: 100 * time.Millisecond, Verdict: message.VerdictGood}
	for _, c := range []struct {
		name    string
		message message.Message
	}{
		{"heartbeat", message.Heartbeat{Offset: 1_000_000, Version: 999_999, Digest: 1 << 63}},
		{"ask", message.SlotRequests{Requests: []message.SlotRequest{request}}},
		{"grant", message.SlotsGranted{Grants: []message.Slot{slot}}},
		{"finished", message.SlotRequests{Releases: []message.SlotRelease{release}}},
		{"report-empty", message.SlotsReport{Pool: "main", LastReceived: 1 << 60}},
		{"report-100-waiting", message.SlotsReport{Pool: "main", LastReceived: 1 << 60, Waiting: slices.Repeat([]message.SlotRequest{request}, 100)}},
	} {
		b.Run(c.name, func(b *testing.B) { benchmarkWire(b, c.message) })
	}
}

func benchmarkWire(b *testing.B, m message.Message) {
	r := listen(b, "127.0.0.1:0")
	var failed atomic.Int64
	var wire bytecount.Counter
	c := newClient(b, &failed, grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return wire.Conn(conn), nil
	}))
	sequence := uint64(time.Now().UnixNano())
	send := func() {
		sequence++
		c.Send("entry-2", r.address, sequence, m)
		<-r.got
	}
	send()
	wire.Reset()
	for b.Loop() {
		send()
	}
	b.ReportMetric(float64(wire.Bytes())/float64(b.N), "wire-B/op")
}

// BenchmarkThroughput measures the time per message when messages are sent
// without waiting for their arrival.
func BenchmarkThroughput(b *testing.B) {
	r := listen(b, "127.0.0.1:0")
	var failed atomic.Int64
	c := newClient(b, &failed)
	m := message.SlotRequests{Requests: []message.SlotRequest{{ID: 1_000_000, Service: "survey", Member: "lawa"}}}
	const batch = 1000
	var sequence uint64
	for b.Loop() {
		for range batch {
			sequence++
			c.Send("entry-2", r.address, sequence, m)
		}
		for range batch {
			<-r.got
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/batch, "ns/message")
}
