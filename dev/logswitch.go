package dev

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/infra"
)

var errDisconnected = errors.New("dev: disconnected from the log")

// LogSwitch is an entry's client of the log. Its connection can be interrupted
// without an effect on other entries.
type LogSwitch struct {
	log infra.Log

	mu sync.Mutex
	// connected is cancelled while the entry is disconnected; disconnect cancels
	// it.
	connected  context.Context
	disconnect context.CancelFunc
}

var _ infra.Log = (*LogSwitch)(nil)

// NewLogSwitch returns a connected LogSwitch for log.
func NewLogSwitch(log infra.Log) *LogSwitch {
	s := &LogSwitch{log: log}
	s.connected, s.disconnect = context.WithCancel(context.Background())
	return s
}

// SetDisconnected disconnects the entry from the log, which aborts calls in
// flight, or reconnects it.
func (s *LogSwitch) SetDisconnected(disconnected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disconnect()
	if !disconnected {
		s.connected, s.disconnect = context.WithCancel(context.Background())
	}
}

// join returns a context that is also cancelled when the entry is disconnected.
// It fails while the entry is disconnected.
func (s *LogSwitch) join(ctx context.Context) (context.Context, context.CancelFunc, error) {
	s.mu.Lock()
	connected := s.connected
	s.mu.Unlock()
	if connected.Err() != nil {
		return nil, nil, errDisconnected
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(connected, cancel)
	return ctx, func() {
		stop()
		cancel()
	}, nil
}

// Append implements infra.Log.
func (s *LogSwitch) Append(ctx context.Context, stream string, data []byte) (fleet.Offset, error) {
	ctx, done, err := s.join(ctx)
	if err != nil {
		return 0, errors.Join(infra.ErrNotAppended, err)
	}
	defer done()
	return s.log.Append(ctx, stream, data)
}

// Read implements infra.Log.
func (s *LogSwitch) Read(ctx context.Context, stream string, from fleet.Offset, wait time.Duration) (infra.Page, error) {
	ctx, done, err := s.join(ctx)
	if err != nil {
		return infra.Page{}, errors.Join(infra.ErrUnavailable, err)
	}
	defer done()
	return s.log.Read(ctx, stream, from, wait)
}
