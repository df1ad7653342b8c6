package peer

import (
	"errors"
	"io"
	"strconv"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/peer/peerpb"
	"github.com/banyanrail/banyanrail/reduce/message"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// Metadata keys of a stream.
const (
	metadataFrom        = "banyanrail-from"
	metadataIncarnation = "banyanrail-incarnation"
	metadataAddress     = "banyanrail-address"
)

// Received is a message with its sender.
type Received struct {
	From        fleet.EntryID
	Incarnation uint64
	Sequence    uint64
	// Address is the address at which the sender listens; empty if it was not sent.
	Address string
	Message message.Message
}

// Server receives the messages of other entries.
type Server struct {
	peerpb.UnimplementedPeerServer
	handle       func(Received) error
	onUnreadable func(from fleet.EntryID, err error)
}

// minPingInterval is the shortest allowed interval between pings of a client.
const minPingInterval = pingInterval / 2

// ServerOptions returns the options of a gRPC server for peers. They allow
// clients to ping, which detects broken connections.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
		grpc.InitialWindowSize(streamWindow),
		grpc.InitialConnWindowSize(connectionWindow),
	}
}

// Register registers a Server, which passes messages to handle, on a gRPC server.
// If handle blocks, backpressure stops the sender. If handle fails, the stream
// ends. A message that cannot be decoded, such as one of a newer version, is
// dropped and onUnreadable is called; the reducer then sees a gap in the sequence
// numbers.
func Register(g *grpc.Server, handle func(Received) error, onUnreadable func(from fleet.EntryID, err error)) {
	peerpb.RegisterPeerServer(g, &Server{handle: handle, onUnreadable: onUnreadable})
}

// Send implements the gRPC service.
func (s *Server) Send(stream grpc.ClientStreamingServer[peerpb.Envelope, peerpb.Taken]) error {
	from, err := sender(stream)
	if err != nil {
		return err
	}
	for {
		env, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&peerpb.Taken{})
		}
		if err != nil {
			return err
		}
		m, err := decode(env)
		if err != nil {
			s.onUnreadable(from.From, err)
			continue
		}
		r := from
		r.Sequence, r.Message = env.GetSequence(), m
		if err := s.handle(r); err != nil {
			return status.Error(codes.Unavailable, err.Error())
		}
	}
}

// sender returns the sender that the metadata of a stream names.
func sender(stream grpc.ServerStream) (Received, error) {
	md, _ := metadata.FromIncomingContext(stream.Context())
	from, incarnation := md.Get(metadataFrom), md.Get(metadataIncarnation)
	if len(from) != 1 || len(incarnation) != 1 {
		return Received{}, status.Error(codes.InvalidArgument, "the stream's metadata does not name its sender")
	}
	n, err := strconv.ParseUint(incarnation[0], 10, 64)
	if err != nil {
		return Received{}, status.Error(codes.InvalidArgument, "the sender's incarnation is not a number")
	}
	r := Received{From: fleet.EntryID(from[0]), Incarnation: n}
	if address := md.Get(metadataAddress); len(address) == 1 {
		r.Address = address[0]
	}
	return r, nil
}
