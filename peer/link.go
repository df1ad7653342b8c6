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

// link is the way to one peer: a connection, a stream while one is open, and
// the messages that wait. One goroutine at a time drains it.
type link struct {
	client  *Client
	to      fleet.EntryID
	address string
	conn    *grpc.ClientConn

	mu       sync.Mutex
	waiting  []outgoing
	draining bool

	// stream and cancel belong to the goroutine that drains.
	stream peerStream
	cancel context.CancelFunc
}

// push queues a message and says whether the caller has to start drain.
func (l *link) push(m outgoing) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) >= outboxSize {
		return false, errOutboxFull
	}
	l.waiting = append(l.waiting, m)
	start := !l.draining
	l.draining = true
	return start, nil
}

// start runs drain in the pool. The next message tries again when the pool is
// full.
func (l *link) start() error {
	err := l.client.run(l.drain)
	if err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.draining = false
	}
	return err
}

// take returns the messages that wait, or ends the draining when none do.
func (l *link) take() []outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.waiting
	l.waiting = nil
	l.draining = len(batch) > 0
	return batch
}

// drain sends until no message waits. The stream stays open.
func (l *link) drain() {
	for batch := l.take(); len(batch) > 0; batch = l.take() {
		for i, m := range batch {
			if err := l.send(m); err != nil {
				l.giveUp(len(batch)-i, err)
				break
			}
		}
	}
}

// giveUp drops the rest of a batch: a peer that cannot be reached asks for
// what it missed once it hears again.
func (l *link) giveUp(messages int, err error) {
	for range messages {
		l.client.failed(l.to, err)
	}
}

// send writes a message. A stream that has ended, as after a restart of the
// peer, is opened once more.
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
