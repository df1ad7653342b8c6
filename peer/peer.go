// Package peer transports messages between entries over gRPC. Each entry has one
// stream to each other entry. Messages are delivered at most once and carry
// sequence numbers, so that the receiver's reducer detects lost messages.
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
	// maxQueuedMessages is the capacity of the queue for one peer. Further messages
	// are dropped while the queue is full.
	maxQueuedMessages = 4096
	// sendTimeout is the time-out for opening a stream and for each write to it.
	sendTimeout = time.Second
	// pingInterval and pingTimeout detect connections that a network fault has
	// broken without closing them. gRPC allows no shorter interval.
	pingInterval = 10 * time.Second
	pingTimeout  = 2 * time.Second
	// minReconnectDelay and maxReconnectDelay are the bounds of the back-off between
	// connection attempts. They are short, so that a restarted peer is reached
	// soon.
	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = time.Second
	// streamWindow and connectionWindow are the bytes in flight that a receiver
	// allows. Fixed windows keep gRPC from measuring the bandwidth by pings, of which
	// it sends one with nearly every message.
	streamWindow     = 1 << 20
	connectionWindow = 4 << 20
)

// Errors of Client.
var (
	errQueueFull = oops.In("peer").With("step", "queue").Errorf("the peer's message queue is full")
	errClosed    = oops.In("peer").With("step", "queue").Errorf("client is closed")
)

// Client sends messages to other entries, with one connection to each of them.
type Client struct {
	ctx           context.Context
	run           func(func()) error
	onSendFailure func(to fleet.EntryID, err error)
	options       []grpc.DialOption

	mu    sync.Mutex
	links map[string]*link
}

// Config holds the settings of a Client.
type Config struct {
	Self        fleet.EntryID
	Incarnation uint64
	// Address is the address at which this entry listens for other entries; empty
	// if it is unknown.
	Address string
	// Run runs a task in a pool of goroutines. A peer takes at most one goroutine,
	// and none while no message is queued for it.
	Run func(func()) error
	// OnSendFailure is called for each message that was not sent.
	OnSendFailure func(to fleet.EntryID, err error)
	// TLS secures the connections; nil means no TLS.
	TLS *tls.Config
	// Options holds additional options of the connections.
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
		ctx:           metadata.NewOutgoingContext(ctx, md),
		run:           cfg.Run,
		onSendFailure: cfg.OnSendFailure,
		options:       options,
		links:         make(map[string]*link),
	}
}

func dialOptions() []grpc.DialOption {
	pause := backoff.DefaultConfig
	pause.BaseDelay, pause.MaxDelay = minReconnectDelay, maxReconnectDelay
	return []grpc.DialOption{
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: pause, MinConnectTimeout: maxReconnectDelay}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.WithInitialWindowSize(streamWindow),
		grpc.WithInitialConnWindowSize(connectionWindow),
	}
}

// Send queues a message for the entry at an address and returns at once.
// Messages to one address are sent in the order of the calls.
func (c *Client) Send(to fleet.EntryID, address string, sequence uint64, m message.Message) {
	l, err := c.link(to, address)
	if err != nil {
		c.onSendFailure(to, err)
		return
	}
	start, err := l.enqueue(outgoing{sequence: sequence, message: m})
	if err == nil && start {
		err = l.start()
	}
	if err != nil {
		c.onSendFailure(to, err)
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
			_ = l.conn.Close() // an error needs no handling
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
