package dev

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/infra"
)

var errCut = errors.New("dev: cut off from the log")

// LogSwitch is one entry's way to the log, which can be cut without harm to
// the other entries.
type LogSwitch struct {
	log infra.Log

	mu sync.Mutex
	// way is cancelled while the log is out of reach.
	way context.Context
	cut context.CancelFunc
}

var _ infra.Log = (*LogSwitch)(nil)

// NewLogSwitch returns a way to a log that is not cut.
func NewLogSwitch(log infra.Log) *LogSwitch {
	s := &LogSwitch{log: log}
	s.way, s.cut = context.WithCancel(context.Background())
	return s
}

// SetDisconnected takes the log out of reach, also for calls under way, or back.
func (s *LogSwitch) SetDisconnected(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut()
	if !cut {
		s.way, s.cut = context.WithCancel(context.Background())
	}
}

// join returns a context that also ends when the log is cut. It fails when the
// log is out of reach.
func (s *LogSwitch) join(ctx context.Context) (context.Context, context.CancelFunc, error) {
	s.mu.Lock()
	way := s.way
	s.mu.Unlock()
	if way.Err() != nil {
		return nil, nil, errCut
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(way, cancel)
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
