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

// Metadata of a stream.
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
	// Address is where the sender listens; empty when it does not say.
	Address string
	Message message.Message
}

// Server takes in the messages of other entries.
type Server struct {
	peerpb.UnimplementedPeerServer
	take    func(Received) error
	dropped func(from fleet.EntryID, err error)
}

// minPing is the least time between pings of a client.
const minPing = pingInterval / 2

// ServerOptions returns the options that a server of peers needs: clients ping
// it to find connections that are cut.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPing, PermitWithoutStream: true}),
	}
}

// Register puts a server that hands messages to take on a gRPC server. Take may
// wait, which holds back the sender. Its error ends the stream. Messages that
// cannot be read, as those of a newer version, go to dropped; the receiver sees
// a gap in the sequence.
func Register(g *grpc.Server, take func(Received) error, dropped func(from fleet.EntryID, err error)) {
	peerpb.RegisterPeerServer(g, &Server{take: take, dropped: dropped})
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
			s.dropped(from.From, err)
			continue
		}
		r := from
		r.Sequence, r.Message = env.GetSequence(), m
		if err := s.take(r); err != nil {
			return status.Error(codes.Unavailable, err.Error())
		}
	}
}

// sender reads who sends from the metadata of a stream.
func sender(stream grpc.ServerStream) (Received, error) {
	md, _ := metadata.FromIncomingContext(stream.Context())
	from, incarnation := md.Get(metadataFrom), md.Get(metadataIncarnation)
	if len(from) != 1 || len(incarnation) != 1 {
		return Received{}, status.Error(codes.InvalidArgument, "the stream does not name its sender")
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
