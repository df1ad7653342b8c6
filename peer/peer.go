// Package peer carries messages between entries over gRPC, on one stream from
// each entry to each other. Delivery is at most once; messages carry sequence
// numbers, by which the receiver's reducer sees what was lost.
package peer

import (
	"context"
	"crypto/tls"
	"strconv"
	"sync"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/peer/peerpb"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
)

const (
	// outboxSize is the number of messages that wait for one peer; a full
	// outbox drops new ones.
	outboxSize = 4096
	// sendTimeout bounds the opening of a stream and each write to it.
	sendTimeout = time.Second
	// pingInterval and pingTimeout find connections that a network fault has
	// cut without closing them; gRPC pings no more often.
	pingInterval = 10 * time.Second
	pingTimeout  = 2 * time.Second
	// connectBase and connectMax bound the pause before a new connection, so
	// that a peer that is back is soon heard.
	connectBase = 100 * time.Millisecond
	connectMax  = time.Second
)

// Errors of Client.
var (
	errOutboxFull = oops.In("peer").With("step", "queue").Errorf("too many messages wait")
	errClosed     = oops.In("peer").With("step", "queue").Errorf("client is closed")
)

// Client sends messages to other entries over one connection to each.
type Client struct {
	ctx     context.Context
	run     func(func()) error
	failed  func(to fleet.EntryID, err error)
	options []grpc.DialOption

	mu    sync.Mutex
	links map[string]*link
}

// Config tells a client how to send.
type Config struct {
	Self        fleet.EntryID
	Incarnation uint64
	// Address is where this entry listens for others; empty when not known.
	Address string
	// Run runs a task in a pool of goroutines. Messages to one peer take one
	// goroutine at most, and none while no message waits.
	Run func(func()) error
	// OnSendFailure is called for each message that was given up.
	OnSendFailure func(to fleet.EntryID, err error)
	// TLS secures the connections; nil means no TLS.
	TLS *tls.Config
	// Options are further options of the connections.
	Options []grpc.DialOption
}

// NewClient returns a client that sends until the context ends.
func NewClient(ctx context.Context, cfg Config) *Client {
	md := metadata.Pairs(
		metadataFrom, string(cfg.Self),
		metadataIncarnation, strconv.FormatUint(cfg.Incarnation, 10),
		metadataAddress, cfg.Address,
	)
	secure := insecure.NewCredentials()
	if cfg.TLS != nil {
		secure = credentials.NewTLS(cfg.TLS)
	}
	options := append(dialOptions(), grpc.WithTransportCredentials(secure))
	options = append(options, cfg.Options...)
	return &Client{
		ctx:     metadata.NewOutgoingContext(ctx, md),
		run:     cfg.Run,
		failed:  cfg.OnSendFailure,
		options: options,
		links:   make(map[string]*link),
	}
}

func dialOptions() []grpc.DialOption {
	pause := backoff.DefaultConfig
	pause.BaseDelay, pause.MaxDelay = connectBase, connectMax
	return []grpc.DialOption{
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: pause, MinConnectTimeout: connectMax}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
	}
}

// Send queues a message for the entry at an address and returns at once.
// Messages to one address leave in the order of the calls.
func (c *Client) Send(to fleet.EntryID, address string, sequence uint64, m message.Message) {
	l, err := c.link(to, address)
	if err != nil {
		c.failed(to, err)
		return
	}
	start, err := l.push(outgoing{sequence: sequence, message: m})
	if err == nil && start {
		err = l.start()
	}
	if err != nil {
		c.failed(to, err)
	}
}

func (c *Client) link(to fleet.EntryID, address string) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links == nil {
		return nil, errClosed
	}
	if l, ok := c.links[address]; ok {
		return l, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, c.options...)
	if err != nil {
		return nil, oops.In("peer").With("step", "connect", "peer", address).Wrap(err)
	}
	l := &link{client: c, to: to, address: address, conn: conn}
	c.links[address] = l
	return l, nil
}

// Retain closes the connections to addresses that are not in keep.
func (c *Client) Retain(keep map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.links {
		if !keep[address] {
			_ = l.conn.Close() // nothing is left to do if this fails
			delete(c.links, address)
		}
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.Retain(nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links = nil
}

type outgoing struct {
	sequence uint64
	message  message.Message
}

type peerStream = grpc.ClientStreamingClient[peerpb.Envelope, peerpb.Taken]
