package jobentry_test

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
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

// keyCodec decodes a configuration of one tenant, whose keys are the words of the record's value.
type keyCodec struct{ recordCodec }

func (c keyCodec) Queues(r storage.Record) (*fleet.Queues, bool, error) {
	q, ok, _ := c.recordCodec.Queues(r) // never fails
	tenants, err := fleet.NewTenants([]*fleet.Tenant{{Name: "one", Keys: strings.Fields(string(r.Value))}})
	q.Version, q.Tenants = q.Version+int64(r.Offset), tenants
	return q, ok, err
}

// readChange changes the answer to a read.
type readChange func(from fleet.Offset, page storage.Page, err error) (storage.Page, error)

// keyEntry is an entry whose calls need keys, with its store.
type keyEntry struct {
	*standin.Store
	runningEntry
	// ahead is the time by which the entry's clock was put forward, as after a suspension.
	ahead atomic.Int64
	// read changes the answers to reads of operators' records. reads is their number, and
	// longest the longest of their waits.
	read           atomic.Pointer[readChange]
	reads, longest atomic.Int64
}

func (k *keyEntry) Read(ctx context.Context, topic storage.Topic, from fleet.Offset, wait time.Duration) (storage.Page, error) {
	if topic != storage.TopicOperators {
		return k.Store.Read(ctx, topic, from, wait)
	}
	page, err := k.Store.Read(ctx, topic, from, min(wait, 10*time.Millisecond))
	k.longest.Store(max(k.longest.Load(), int64(wait)))
	k.reads.Add(1)
	return (*k.read.Load())(from, page, err)
}

// suspend puts the clock forward and changes the answers to later reads.
func (k *keyEntry) suspend(read readChange) {
	k.read.Store(&read)
	k.ahead.Add(int64(10 * time.Second))
}

func unchanged(_ fleet.Offset, page storage.Page, err error) (storage.Page, error) { return page, err }

func (k *keyEntry) setKeys(t *testing.T, keys string) {
	must.NoError(t, k.Append(t.Context(), storage.TopicOperators, []storage.Record{{Key: "config", Value: []byte(keys)}}))
}

func startKeyEntry(t *testing.T, keys string) *keyEntry {
	k, boot := &keyEntry{Store: standin.NewStore()}, loop.BootClock()
	k.setKeys(t, keys)
	k.suspend(unchanged)
	k.Entry = jobentry.New(jobs.Config{Entry: "e", Incarnation: 1, Bounds: jobs.Bounds{
		Access: access.Config{Required: true, RevocationLimit: 5 * time.Second, ApplyLimit: 2 * time.Second},
	}}, jobentry.Deps{
		Store: k, RecordCodec: keyCodec{}, Runners: &instantRunner{}, Peers: peer.NewJobsClient(), Dispatchers: peer.NewDispatchers(boot),
		Clock: func() time.Time { return boot().Add(time.Duration(k.ahead.Load())) }, Metrics: tally.NoopScope, Logger: slog.New(slog.DiscardHandler), Traces: noop.NewTracerProvider(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { k.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return k
}

func callWith(key string) event.ClientCalled {
	return event.ClientCalled{Kind: effect.CallState, Host: "host", Path: "/q/", Key: key}
}

// mustBecome repeats a call with a key until it has an answer.
func (k *keyEntry) mustBecome(t *testing.T, key string, want effect.AnswerKind) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	k.callUntil(ctx, t, callWith(key), func(a effect.CallAnswer) bool { return a.Kind == want })
}

// TestReadsConfirmTheConfiguration guards against a confirmation that stays away after an
// empty read, the first read, expired records or a lost history, so that valid keys would not be
// served, and against one that gets older than the limit.
func TestReadsConfirmTheConfiguration(t *testing.T) {
	k := startKeyEntry(t, "k")
	k.mustBecome(t, "k", effect.AnswerWaiting) // by the first read
	for range 3 {
		k.suspend(unchanged)
		k.mustBecome(t, "x", effect.AnswerUnauthorized) // by an empty read
	}
	k.setKeys(t, "l")
	k.Compact(storage.TopicOperators)
	k.suspend(unchanged)
	k.mustBecome(t, "l", effect.AnswerWaiting)
	k.mustBecome(t, "k", effect.AnswerUnauthorized)
	lost := false
	k.suspend(func(from fleet.Offset, page storage.Page, err error) (storage.Page, error) {
		if !lost {
			lost = true // the topic ends before the offset that is read, once
			return storage.Page{End: from - 1, Next: from}, nil
		}
		return page, err
	})
	k.mustBecome(t, "l", effect.AnswerWaiting)
	must.Between(t, 1, k.longest.Load(), int64(500*time.Millisecond))
}

// TestTruncatedAndFailedReadsConfirmNothing: a page of limited size may lack the record that
// withdraws a key, although its read was sent after it.
func TestTruncatedAndFailedReadsConfirmNothing(t *testing.T) {
	for name, read := range map[string]readChange{
		"truncated": func(from fleet.Offset, page storage.Page, _ error) (storage.Page, error) {
			return storage.Page{End: max(page.End, from+1), Next: from}, nil
		},
		"failed": func(fleet.Offset, storage.Page, error) (storage.Page, error) {
			return storage.Page{}, storage.ErrUnavailable
		},
	} {
		k := startKeyEntry(t, "k")
		k.mustBecome(t, "k", effect.AnswerWaiting)
		k.suspend(read)
		for end := k.reads.Load() + 3; k.reads.Load() < end; {
			must.NoError(t, loop.Sleep(t.Context(), 5*time.Millisecond))
		}
		for _, key := range []string{"k", "x"} {
			a, err := k.Call(t.Context(), callWith(key))
			must.NoError(t, err)
			must.Eq(t, effect.AnswerRefused, a.Kind, must.Sprint(name, " ", key))
			must.Eq(t, "the keys may be out of date", a.Reason, must.Sprint(name, " ", key))
		}
	}
}
