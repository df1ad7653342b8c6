package jobentry_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/jobentry"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/peer"
	"github.com/banyanrail/banyanrail/reduce/access"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/jobs"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/banyanrail/banyanrail/storage"
	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
)

// keyCodec decodes a configuration of one tenant, whose keys are the record's value as JSON.
type keyCodec struct{ recordCodec }

func (c keyCodec) Queues(r storage.Record) (*fleet.Queues, bool, error) {
	q, ok, _ := c.recordCodec.Queues(r) // never fails
	var keys []string
	if err := json.Unmarshal(r.Value, &keys); err != nil {
		return nil, ok, err
	}
	q.Version += int64(r.Offset)
	tenants, err := fleet.NewTenants([]*fleet.Tenant{{Name: "one", Keys: keys}})
	q.Tenants = tenants
	return q, ok, err
}

// scriptedStore answers reads of operators' records as a test says. The entry's clock can be
// put forward, as after a suspension.
type scriptedStore struct {
	*standin.Store
	boot  loop.Clock
	mu    sync.Mutex
	ahead time.Duration
	// read, if set, changes the answer to a read.
	read func(from fleet.Offset, page storage.Page, err error) (storage.Page, error)
	// waits holds the waits of reads of operators' records.
	waits []time.Duration
}

func (s *scriptedStore) clock() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boot().Add(s.ahead)
}

func newScriptedStore() *scriptedStore {
	return &scriptedStore{Store: standin.NewStore(), boot: loop.BootClock()}
}

func (s *scriptedStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *scriptedStore) Read(ctx context.Context, topic storage.Topic, from fleet.Offset, wait time.Duration) (storage.Page, error) {
	if topic != storage.TopicOperators {
		return s.Store.Read(ctx, topic, from, wait)
	}
	page, err := s.Store.Read(ctx, topic, from, min(wait, 10*time.Millisecond))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waits = append(s.waits, wait)
	if s.read != nil {
		return s.read(from, page, err)
	}
	return page, err
}

func (s *scriptedStore) setKeys(t *testing.T, keys ...string) {
	t.Helper()
	raw, err := json.Marshal(keys)
	must.NoError(t, err)
	must.NoError(t, s.Append(t.Context(), storage.TopicOperators, []storage.Record{{Key: "config", Value: raw}}))
}

// startKeyEntry starts an entry whose calls need keys.
func startKeyEntry(t *testing.T, store *scriptedStore) *jobentry.Entry {
	t.Helper()
	e := jobentry.New(jobs.Config{Entry: "e", Incarnation: 1, Bounds: jobs.Bounds{
		Access: access.Config{Required: true, RevocationLimit: 5 * time.Second, ApplyLimit: 2 * time.Second},
	}}, jobentry.Deps{
		Store: store, RecordCodec: keyCodec{}, Runners: &instantRunner{}, Peers: peer.NewJobsClient(), Dispatchers: peer.NewDispatchers(loop.BootClock()),
		Clock: store.clock, Metrics: tally.NoopScope, Logger: slog.New(slog.DiscardHandler), Traces: noop.NewTracerProvider(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { e.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return e
}

// mustBecome repeats a call with a key until it has an answer.
func mustBecome(t *testing.T, e *jobentry.Entry, key string, want effect.AnswerKind) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for {
		a, err := e.Call(ctx, event.ClientCalled{Kind: effect.CallState, Host: "host", Path: "/q/", Key: key})
		must.NoError(t, err)
		if a.Kind == want {
			return
		}
		must.NoError(t, loop.Sleep(ctx, 5*time.Millisecond))
	}
}

// TestReadsConfirmTheConfiguration guards against a confirmation that stays away after an
// empty read, the first read or expired records, so that valid keys would not be served.
func TestReadsConfirmTheConfiguration(t *testing.T) {
	store := newScriptedStore()
	store.setKeys(t, "k")
	e := startKeyEntry(t, store)
	mustBecome(t, e, "k", effect.AnswerWaiting) // by the first read
	for range 3 {
		store.set(func() { store.ahead += 10 * time.Second })
		mustBecome(t, e, "x", effect.AnswerUnauthorized) // by an empty read
	}
	store.setKeys(t, "l")
	store.Compact(storage.TopicOperators)
	store.set(func() { store.ahead += 10 * time.Second })
	mustBecome(t, e, "l", effect.AnswerWaiting)
	mustBecome(t, e, "k", effect.AnswerUnauthorized)
	store.set(func() { store.read = lostHistory() })
	store.set(func() { store.ahead += 10 * time.Second })
	mustBecome(t, e, "l", effect.AnswerWaiting)
	store.set(func() {
		must.Positive(t, len(store.waits))
		for _, wait := range store.waits {
			must.LessEq(t, 500*time.Millisecond, wait, must.Sprint("a confirmation must not get older than the limit"))
		}
	})
}

// lostHistory returns a change of answers to reads after which the topic ends before the
// offset that is read, once.
func lostHistory() func(fleet.Offset, storage.Page, error) (storage.Page, error) {
	lost := false
	return func(from fleet.Offset, page storage.Page, err error) (storage.Page, error) {
		if !lost {
			lost = true
			return storage.Page{End: from - 1, Next: from}, nil
		}
		return page, err
	}
}

// TestTruncatedAndFailedReadsConfirmNothing: a page of limited size may lack the record that
// withdraws a key, although its read was sent after it.
func TestTruncatedAndFailedReadsConfirmNothing(t *testing.T) {
	for name, read := range map[string]func(fleet.Offset, storage.Page, error) (storage.Page, error){
		"truncated": func(from fleet.Offset, page storage.Page, _ error) (storage.Page, error) {
			return storage.Page{End: max(page.End, from+1), Next: from}, nil
		},
		"failed": func(fleet.Offset, storage.Page, error) (storage.Page, error) {
			return storage.Page{}, storage.ErrUnavailable
		},
	} {
		store := newScriptedStore()
		store.setKeys(t, "k")
		e := startKeyEntry(t, store)
		mustBecome(t, e, "k", effect.AnswerWaiting)
		store.set(func() { store.read = read })
		store.set(func() { store.waits = nil })
		store.set(func() { store.ahead += 10 * time.Second })
		for seen := 0; seen < 3; store.set(func() { seen = len(store.waits) }) {
			must.NoError(t, loop.Sleep(t.Context(), 5*time.Millisecond))
		}
		for _, key := range []string{"k", "x"} {
			a, err := e.Call(t.Context(), event.ClientCalled{Kind: effect.CallState, Host: "host", Path: "/q/", Key: key})
			must.NoError(t, err)
			must.Eq(t, effect.AnswerRefused, a.Kind, must.Sprint(name, " ", key))
			must.Eq(t, "the keys may be out of date", a.Reason, must.Sprint(name, " ", key))
		}
	}
}
