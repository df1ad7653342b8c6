package peer

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/peer/peerpb"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

// JobsClient forwards clients' calls to the owner, and opens the stream on which
// this entry serves the owner as a dispatcher.
type JobsClient struct {
	mu    sync.Mutex
	conns map[string]*jobsConn
}

// jobsConn is a connection with the time of its last answer, in nanoseconds since
// the Unix epoch.
type jobsConn struct {
	*grpc.ClientConn
	lastAnswer atomic.Int64
}

// NewJobsClient returns a client without connections.
func NewJobsClient() *JobsClient { return &JobsClient{conns: make(map[string]*jobsConn)} }

// Forward sends a call to the owner. If it fails, sent reports whether the owner
// may have received the call.
func (j *JobsClient) Forward(ctx context.Context, f effect.Forward) (answer effect.CallAnswer, sent bool, err error) {
	fail := oops.In("peer").With("step", "forward", "peer", f.Address)
	req, err := encodeCall(&f)
	if err != nil {
		return effect.CallAnswer{}, false, fail.Wrap(err)
	}
	conn, err := j.conn(f.Address)
	if err != nil {
		return effect.CallAnswer{}, false, fail.Wrap(err)
	}
	began := time.Now().UnixNano()
	ctx, cancel := context.WithTimeout(announce(ctx, &f, req), f.Timeout)
	defer cancel()
	resp, err := peerpb.NewJobsClient(conn).Call(ctx, req)
	if refusedUnread(err) {
		return refusal(f.Kind), true, nil
	}
	if err != nil {
		if status.Code(err) == codes.DeadlineExceeded && conn.lastAnswer.Load() < began {
			j.drop(f.Address, conn)
		}
		return effect.CallAnswer{}, !neverSent(err), fail.Wrap(err)
	}
	conn.lastAnswer.Store(time.Now().UnixNano())
	return effect.CallAnswer{
		Kind: effect.AnswerKind(resp.GetKind()), State: fleet.JobState(resp.GetState()), Waiting: int(resp.GetWaiting()),
		RetryAfter: fleet.Milliseconds(resp.GetRetryAfterMs()), Reason: effect.Reason(resp.GetReason()),
		Delay: fleet.Milliseconds(resp.GetDelayMs()),
	}, true, nil
}

// invalidText replaces bytes that are no text.
const invalidText = "\uFFFD"

func encodeCall(f *effect.Forward) (*peerpb.JobCall, error) {
	req := &peerpb.JobCall{
		Kind: uint32(f.Kind), Queue: string(f.Queue), Version: f.Version, Job: string(f.Job), PatienceMs: f.Timeout.Milliseconds(),
		Key: f.Key, Verified: f.Verified, Tenant: string(f.Tenant),
		// A path may hold any bytes, also some that a message cannot carry as text. No queue or
		// job has a name with them.
		Host: strings.ToValidUTF8(f.Host, invalidText), Path: strings.ToValidUTF8(f.Path, invalidText),
	}
	if f.Spec == nil {
		return req, nil
	}
	var err error
	req.Spec, err = codec.EncodeSpec(f.Spec)
	return req, err
}

// neverSent reports whether gRPC failed before it had a connection. Only the
// message of gRPC's error distinguishes that case.
func neverSent(err error) bool {
	return status.Code(err) == codes.Unavailable && strings.Contains(status.Convert(err).Message(), "connection error")
}

func (j *JobsClient) conn(address string) (*jobsConn, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if c, ok := j.conns[address]; ok {
		return c, nil
	}
	cc, err := connect(address)
	if err != nil {
		return nil, err
	}
	c := &jobsConn{ClientConn: cc}
	j.conns[address] = c
	return c, nil
}

func connect(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address, append(dialOptions(), grpc.WithTransportCredentials(insecure.NewCredentials()))...)
}

// drop closes a connection on which a call timed out while no other call was
// answered, since the connection may be dead. The next call opens another one.
func (j *JobsClient) drop(address string, conn *jobsConn) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.conns[address] == conn {
		delete(j.conns, address)
		_ = conn.Close() // an error needs no handling
	}
}

// Close closes all connections.
func (j *JobsClient) Close() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for address, c := range j.conns {
		_ = c.Close() // an error needs no handling
		delete(j.conns, address)
	}
}

// jobsServer serves forwarded calls and dispatchers' streams.
type jobsServer struct {
	peerpb.UnimplementedJobsServer
	call        func(context.Context, event.ClientCalled) (effect.CallAnswer, error)
	dispatchers *Dispatchers
}

// RegisterJobs registers the service for forwarded calls and dispatchers' streams
// on a gRPC server. A forwarded call is passed to call.
func RegisterJobs(g *grpc.Server, call func(context.Context, event.ClientCalled) (effect.CallAnswer, error), d *Dispatchers) {
	peerpb.RegisterJobsServer(g, &jobsServer{call: call, dispatchers: d})
}

// Dispatch implements the gRPC service.
func (s *jobsServer) Dispatch(stream grpc.BidiStreamingServer[peerpb.RunnerResults, peerpb.RunnerCalls]) error {
	return s.dispatchers.serve(stream)
}

// Call implements the gRPC service.
func (s *jobsServer) Call(ctx context.Context, req *peerpb.JobCall) (*peerpb.JobAnswer, error) {
	c := event.ClientCalled{
		Forwarded: true, Queue: fleet.QueueName(req.GetQueue()), Version: req.GetVersion(), Kind: effect.CallKind(req.GetKind()),
		Job: fleet.JobID(req.GetJob()), Timeout: fleet.Milliseconds(req.GetPatienceMs()),
		Key: req.GetKey(), Verified: req.GetVerified(), Tenant: fleet.TenantName(req.GetTenant()),
		Host: req.GetHost(), Path: req.GetPath(),
	}
	if len(req.GetSpec()) > 0 {
		spec, err := codec.DecodeSpec(req.GetSpec())
		if err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		c.Spec = spec
	}
	a, err := s.call(ctx, c)
	if err != nil {
		return nil, status.FromContextError(err).Err()
	}
	return &peerpb.JobAnswer{
		Kind: uint32(a.Kind), State: string(a.State), Waiting: int64(a.Waiting),
		RetryAfterMs: a.RetryAfter.Milliseconds(), Reason: string(a.Reason), DelayMs: a.Delay.Milliseconds(),
	}, nil
}
