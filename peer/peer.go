// Package peer carries messages between entries over gRPC. Delivery is at most
// once and unordered; the reducer's messages are made for that.
package peer

import (
	"context"
	"crypto/tls"
	"sync"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/peer/peerpb"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

// Received is a message with its sender.
type Received struct {
	From        fleet.EntryID
	Incarnation uint64
	Message     message.Message
}

// Server takes in the messages of other entries.
type Server struct {
	peerpb.UnimplementedPeerServer
	take func(Received) error
}

// Register puts a server that hands messages to take on a gRPC server. An
// error of take tells the sender that its message was not taken in.
func Register(g *grpc.Server, take func(Received) error) {
	peerpb.RegisterPeerServer(g, &Server{take: take})
}

// Send implements the gRPC service.
func (s *Server) Send(_ context.Context, env *peerpb.Envelope) (*peerpb.Taken, error) {
	m, err := decode(env)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	err = s.take(Received{From: fleet.EntryID(env.GetFrom()), Incarnation: env.GetIncarnation(), Message: m})
	if err != nil {
		return nil, status.Error(codes.ResourceExhausted, err.Error())
	}
	return &peerpb.Taken{}, nil
}

// Client sends messages to other entries over one connection to each.
type Client struct {
	self        fleet.EntryID
	incarnation uint64
	creds       credentials.TransportCredentials

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewClient returns a client that sends as one incarnation of an entry. A nil
// tlsConfig means no TLS.
func NewClient(self fleet.EntryID, incarnation uint64, tlsConfig *tls.Config) *Client {
	creds := insecure.NewCredentials()
	if tlsConfig != nil {
		creds = credentials.NewTLS(tlsConfig)
	}
	return &Client{self: self, incarnation: incarnation, creds: creds, conns: make(map[string]*grpc.ClientConn)}
}

// Send hands a message to the entry at an address.
func (c *Client) Send(ctx context.Context, address string, m message.Message) error {
	fail := oops.In("peer").With("step", "send", "peer", address)
	env := &peerpb.Envelope{From: string(c.self), Incarnation: c.incarnation}
	if err := encode(env, m); err != nil {
		return err
	}
	conn, err := c.conn(address)
	if err != nil {
		return fail.Wrap(err)
	}
	if _, err := peerpb.NewPeerClient(conn).Send(ctx, env); err != nil {
		return fail.Wrap(err)
	}
	return nil
}

func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(c.creds))
	if err != nil {
		return nil, err
	}
	c.conns[address] = conn
	return conn, nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close() // nothing is left to do if this fails
		delete(c.conns, address)
	}
}
