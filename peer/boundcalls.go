package peer

import (
	"context"
	"strconv"
	"time"

	"github.com/banyanrail/banyanrail/peer/peerpb"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
)

const (
	// A call takes stepBytes for each step of its job, encoded as JSON and decoded, and
	// textFactor for each byte of the encoding. The shortest encoded step has minStepBytes.
	// Specs of at most smallSpecBytes are not counted.
	stepBytes      = 400
	textFactor     = 4
	minStepBytes   = 8
	smallSpecBytes = 1 << 10
	// refusedRetryAfter is when a call that is refused for memory may be tried again.
	refusedRetryAfter = time.Second
	// receiveTimeout is the time in which the message of an announced call has to arrive. The
	// entry that forwards a call waits no longer for its answer.
	receiveTimeout = 2 * time.Second
	// metadataCallBytes announces the memory that a call with a large spec takes, so that
	// it can be refused before it is received.
	metadataCallBytes = "banyanrail-call-bytes"
	// reasonMemory is the reason of a refusal, and the message of its status.
	reasonMemory = "the owner's memory for open calls is used up"
)

// reserveFunc reserves memory until release is called. ok is false if there is none.
type reserveFunc = func(bytes int64) (release func(), ok bool)

// BoundCalls returns options by which forwarded calls reserve the memory of their spec
// until they are answered. A call for which reserve fails is refused and does not run.
func BoundCalls(reserve func(bytes int64) (release func(), ok bool)) []grpc.ServerOption {
	return []grpc.ServerOption{grpc.InTapHandle(reserveAnnounced(reserve)), grpc.ChainUnaryInterceptor(reserveUnannounced(reserve))}
}

// reserveAnnounced refuses a call before its message is received.
func reserveAnnounced(reserve reserveFunc) tap.ServerInHandle {
	return func(ctx context.Context, info *tap.Info) (context.Context, error) {
		bytes := announcedBytes(info.Header)
		if bytes == 0 {
			return ctx, nil
		}
		release, ok := reserve(bytes)
		if !ok {
			return nil, status.Error(codes.ResourceExhausted, reasonMemory)
		}
		ctx, cancel := context.WithCancel(ctx)
		receiving := time.AfterFunc(receiveTimeout, cancel)
		context.AfterFunc(ctx, func() { // the context ends with the call
			receiving.Stop()
			release()
		})
		return context.WithValue(ctx, receivingKey{}, receiving), nil
	}
}

// receivingKey is the key of the timer that ends an announced call whose message does not come.
type receivingKey struct{}

// reserveUnannounced counts large specs of entries that do not announce them.
func reserveUnannounced(reserve reserveFunc) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
		if receiving, ok := ctx.Value(receivingKey{}).(*time.Timer); ok {
			receiving.Stop()
		}
		call, ok := req.(*peerpb.JobCall)
		if !ok || len(call.GetSpec()) <= smallSpecBytes {
			return next(ctx, req)
		}
		md, _ := metadata.FromIncomingContext(ctx)
		if announcedBytes(md) > 0 {
			return next(ctx, req)
		}
		size := len(call.GetSpec())
		release, ok := reserve(callBytes(size/minStepBytes, size))
		if !ok {
			return nil, status.Error(codes.ResourceExhausted, reasonMemory)
		}
		defer release()
		return next(ctx, req)
	}
}

// callBytes returns the memory that a call takes at the owner.
func callBytes(steps, size int) int64 { return int64(steps)*stepBytes + int64(size)*textFactor }

// announcedBytes returns the announced memory of a call; 0 without one.
func announcedBytes(md metadata.MD) int64 {
	v := md.Get(metadataCallBytes)
	if len(v) != 1 {
		return 0
	}
	n, err := strconv.ParseInt(v[0], 10, 32)
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// announce announces the memory that a call with a large spec takes.
func announce(ctx context.Context, f *effect.Forward, req *peerpb.JobCall) context.Context {
	size := len(req.GetSpec())
	if size <= smallSpecBytes {
		return ctx
	}
	return metadata.AppendToOutgoingContext(ctx, metadataCallBytes, strconv.FormatInt(callBytes(len(f.Spec.Steps), size), 10))
}

// refusedUnread reports whether the owner refused a call without running it. gRPC uses
// the same code for other errors, also after a call has run.
func refusedUnread(err error) bool {
	return status.Code(err) == codes.ResourceExhausted && status.Convert(err).Message() == reasonMemory
}

// refusal is the answer to a call that the owner did not receive. Only an owner that has looked
// up a job can say that it never runs: an earlier try may be stored.
func refusal(kind effect.CallKind) effect.CallAnswer {
	a := effect.CallAnswer{Kind: effect.AnswerRefused, Reason: reasonMemory, RetryAfter: refusedRetryAfter}
	if kind == effect.CallSubmit {
		a.Kind = effect.AnswerUnknown
	}
	return a
}
