package peer

import (
	"context"
	"sync"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/peer/peerpb"
	"github.com/samber/oops"
	"google.golang.org/grpc"
)

// link is the connection to one peer, with its stream, if one is open, and its
// queue of messages. At most one goroutine at a time runs drain.
type link struct {
	client  *Client
	to      fleet.EntryID
	address string
	conn    *grpc.ClientConn

	mu       sync.Mutex
	queue    []outgoing
	draining bool

	// stream and cancel are used only by the goroutine that runs drain.
	stream peerStream
	cancel context.CancelFunc
}

// enqueue queues a message and reports whether the caller has to call start.
func (l *link) enqueue(m outgoing) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) >= maxQueuedMessages {
		return false, errQueueFull
	}
	l.queue = append(l.queue, m)
	start := !l.draining
	l.draining = true
	return start, nil
}

// start runs drain in the pool. If the pool is full, start fails, and the next
// message calls it again.
func (l *link) start() error {
	err := l.client.run(l.drain)
	if err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.draining = false
	}
	return err
}

// takeQueued removes and returns the queued messages. If there are none, it marks
// the link as not draining.
func (l *link) takeQueued() []outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.queue
	l.queue = nil
	l.draining = len(batch) > 0
	return batch
}

// drain sends messages until the queue is empty. The stream stays open.
func (l *link) drain() {
	for batch := l.takeQueued(); len(batch) > 0; batch = l.takeQueued() {
		for i, m := range batch {
			if err := l.send(m); err != nil {
				l.reportUnsent(len(batch)-i, err)
				break
			}
		}
	}
}

// reportUnsent reports that a number of messages were dropped. They are not
// retried: once the peer receives messages again, it requests what it missed.
func (l *link) reportUnsent(messages int, err error) {
	for range messages {
		l.client.onSendFailure(l.to, err)
	}
}

// send writes a message. If the stream has broken, as after a restart of the
// peer, send opens a new one and retries once.
func (l *link) send(m outgoing) error {
	env := &peerpb.Envelope{Sequence: m.sequence}
	if err := encode(env, m.message); err != nil {
		return err
	}
	fail := oops.In("peer").With("step", "send", "peer", l.address)
	if l.stream != nil && l.write(env) == nil {
		return nil
	}
	if err := l.open(); err != nil {
		return fail.Wrap(err)
	}
	return fail.Wrap(l.write(env))
}

func (l *link) write(env *peerpb.Envelope) error {
	stop := time.AfterFunc(sendTimeout, l.cancel)
	defer stop.Stop()
	err := l.stream.Send(env)
	if err != nil {
		l.cancel()
		l.stream = nil
	}
	return err
}

func (l *link) open() error {
	ctx, cancel := context.WithCancel(l.client.ctx)
	stop := time.AfterFunc(sendTimeout, cancel)
	defer stop.Stop()
	stream, err := peerpb.NewPeerClient(l.conn).Send(ctx)
	if err != nil {
		cancel()
		return err
	}
	l.stream, l.cancel = stream, cancel
	return nil
}
