package standin

import (
	"context"
	"sync"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/storage"
)

// Store implements storage.Store in memory. Tests can set it down, so that it
// refuses every call.
type Store struct {
	mu     sync.Mutex
	topics map[storage.Topic]*topic
	// changed is closed and replaced with each append.
	changed chan struct{}
	down    bool
}

type topic struct {
	records []storage.Record
	writers map[string]storage.Writer
	// oldest is the oldest offset that can be read.
	oldest fleet.Offset
}

var _ storage.Store = (*Store)(nil)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: make(map[storage.Topic]*topic), changed: make(chan struct{})}
}

// SetDown makes the store refuse every call, or serve calls again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Compact makes all records of a topic expire for Read. Newest still returns the
// newest record of each key.
func (s *Store) Compact(name storage.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.oldest = fleet.Offset(len(t.records))
}

func (s *Store) topic(name storage.Topic) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{writers: make(map[string]storage.Writer)}
		s.topics[name] = t
	}
	return t
}

func (s *Store) add(t *topic, records []storage.Record) fleet.Offset {
	for _, r := range records {
		r.Offset = fleet.Offset(len(t.records))
		t.records = append(t.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return fleet.Offset(len(t.records))
}

// AppendAt implements storage.Store.
func (s *Store) AppendAt(_ context.Context, name storage.Topic, at fleet.Offset, records []storage.Record) (fleet.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if s.down {
		return 0, storage.ErrRefused
	}
	if at != fleet.Offset(len(t.records)) {
		return 0, storage.ErrConflict
	}
	return s.add(t, records), nil
}

// AppendAs implements storage.Store.
func (s *Store) AppendAs(_ context.Context, name storage.Topic, w storage.Writer, records []storage.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	last, known := t.writers[w.Name]
	switch {
	case s.down:
		return storage.ErrRefused
	case known && w.Epoch < last.Epoch:
		return storage.ErrFenced
	case known && w.Epoch == last.Epoch && w.Sequence == last.Sequence:
		return nil // a retry of the last write
	case known && w.Epoch == last.Epoch && w.Sequence != last.Sequence+1:
		return &storage.SequenceError{Expected: last.Sequence + 1}
	}
	t.writers[w.Name] = w
	s.add(t, records)
	return nil
}

// Append implements storage.Store.
func (s *Store) Append(_ context.Context, name storage.Topic, records []storage.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return storage.ErrRefused
	}
	s.add(s.topic(name), records)
	return nil
}

// Newest implements storage.Store.
func (s *Store) Newest(_ context.Context, name storage.Topic) (storage.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return storage.Page{}, storage.ErrUnavailable
	}
	t := s.topic(name)
	newest := make(map[string]int)
	for i, r := range t.records {
		newest[r.Key] = i
	}
	end := fleet.Offset(len(t.records))
	page := storage.Page{End: end, Next: end}
	for i, r := range t.records {
		if newest[r.Key] == i && r.Value != nil {
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

// Read implements storage.Store.
func (s *Store) Read(ctx context.Context, name storage.Topic, from fleet.Offset, wait time.Duration) (storage.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		page, changed, err := s.readNow(name, from)
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return page, nil
		}
	}
}

func (s *Store) readNow(name storage.Topic, from fleet.Offset) (storage.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	end := fleet.Offset(len(t.records))
	page := storage.Page{End: end, Next: max(from, end)}
	switch {
	case s.down:
		return page, nil, storage.ErrUnavailable
	case from < t.oldest:
		return page, nil, storage.ErrExpired
	case from < end:
		page.Records = t.records[from:end:end]
	}
	return page, s.changed, nil
}
