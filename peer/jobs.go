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

// JobsClient forwards clients' calls to the entry that owns the jobs.
type JobsClient struct {
	mu    sync.Mutex
	conns map[string]*jobsConn
}

// jobsConn is a connection with the time of its last answer.
type jobsConn struct {
	*grpc.ClientConn
	answered atomic.Int64
}

// NewJobsClient returns a client without connections.
func NewJobsClient() *JobsClient { return &JobsClient{conns: make(map[string]*jobsConn)} }

// Forward sends a call to the owner. Sent says whether the owner may have
// received it when there is an error.
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
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	resp, err := peerpb.NewJobsClient(conn).Call(ctx, req)
	if err != nil {
		if status.Code(err) == codes.DeadlineExceeded && conn.answered.Load() < began {
			j.replace(f.Address, conn)
		}
		return effect.CallAnswer{}, !neverSent(err), fail.Wrap(err)
	}
	conn.answered.Store(time.Now().UnixNano())
	return effect.CallAnswer{
		Kind: effect.AnswerKind(resp.GetKind()), State: fleet.JobState(resp.GetState()), Waiting: int(resp.GetWaiting()),
		RetryAfter: time.Duration(resp.GetRetryAfterMs()) * time.Millisecond, Reason: effect.Reason(resp.GetReason()),
	}, true, nil
}

func encodeCall(f *effect.Forward) (*peerpb.JobCall, error) {
	req := &peerpb.JobCall{
		Kind: uint32(f.Kind), Queue: string(f.Queue), Version: f.Version, Job: string(f.Job), PatienceMs: f.Timeout.Milliseconds(),
	}
	if f.Spec == nil {
		return req, nil
	}
	var err error
	req.Spec, err = codec.EncodeSpec(f.Spec)
	return req, err
}

// neverSent reports whether gRPC failed before it had a connection. It tells so
// by its message alone.
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

// replace drops a connection on which a call ran out of time and no other was
// answered meanwhile: it may have gone silent.
func (j *JobsClient) replace(address string, conn *jobsConn) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.conns[address] == conn {
		delete(j.conns, address)
		_ = conn.Close() // nothing is left to do if this fails
	}
}

// Close closes all connections.
func (j *JobsClient) Close() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for address, c := range j.conns {
		_ = c.Close() // nothing is left to do if this fails
		delete(j.conns, address)
	}
}

// jobsServer serves the calls that other entries forward.
type jobsServer struct {
	peerpb.UnimplementedJobsServer
	call        func(context.Context, event.ClientCalled) (effect.CallAnswer, error)
	dispatchers *Dispatchers
}

// RegisterJobs puts a server of forwarded calls and of dispatchers' streams on a
// gRPC server.
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
		Job: fleet.JobID(req.GetJob()), Timeout: time.Duration(req.GetPatienceMs()) * time.Millisecond,
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
		RetryAfterMs: a.RetryAfter.Milliseconds(), Reason: string(a.Reason),
	}, nil
}
