// Package storage is the interface to the durable store: logs with conditional
// appends, fenced writers, and topics that keep the newest record of each key
// indefinitely. Package platform implements it over the platform's store, package
// standin in memory.
package storage

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// Topic names a log. All topics keep the newest record of each key.
type Topic string

// Topics.
const (
	// TopicTenure holds the records of which entry owns the jobs.
	TopicTenure Topic = "tenure"
	// TopicLedger holds the jobs.
	TopicLedger Topic = "ledger"
	// TopicOperators holds the records that operators publish.
	TopicOperators Topic = "operators"
	// TopicRunners holds the runners' reports.
	TopicRunners Topic = "runners"
	// TopicStatus holds the status of maintenance waves, for operators.
	TopicStatus Topic = "status"
)

// Errors of a store. Those of appends say whether anything was appended.
var (
	// ErrConflict means that the log does not end at the expected offset; nothing
	// was appended.
	ErrConflict = errors.New("storage: log does not end at the expected offset")
	// ErrFenced means that a writer with a higher epoch has written; nothing was
	// appended.
	ErrFenced = errors.New("storage: fenced by a writer with a higher epoch")
	// ErrRefused means that nothing was done; a retry may succeed.
	ErrRefused = errors.New("storage: refused")
	// ErrRejected means that nothing was done and that the store takes the same records
	// under no circumstances, for instance because they are too large.
	ErrRejected = errors.New("storage: rejected")
	// ErrUnknown means that the call may have been carried out, or may still be.
	ErrUnknown = errors.New("storage: outcome is unknown")
	// ErrExpired means that the requested records are no longer kept.
	ErrExpired = errors.New("storage: records have expired")
	// ErrUnavailable means that a read was not answered.
	ErrUnavailable = errors.New("storage: unavailable")
)

// SequenceError means that the store expects another sequence number from the
// writer; nothing was appended.
type SequenceError struct{ Expected int64 }

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("storage: the store expects sequence number %d", e.Expected)
}

// Writer identifies the source of an append. The store refuses a writer with a
// lower epoch than another of the same name, and keeps the appends of a writer in
// the order of their sequence numbers. It does not append a recent sequence
// number again.
type Writer struct {
	Name     string
	Epoch    int64
	Sequence int64
}

// Record is a keyed record. A nil value removes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset fleet.Offset
}

// Page is the result of a read.
type Page struct {
	Records []Record
	// End is the offset that the next append gets.
	End fleet.Offset
	// Next is the offset to read from next.
	Next fleet.Offset
}

// Store keeps topics.
type Store interface {
	// AppendAt appends if the topic ends at an offset, and returns the new end.
	// Its error wraps ErrConflict, ErrRefused, ErrRejected or
	// ErrUnknown.
	AppendAt(ctx context.Context, topic Topic, at fleet.Offset, records []Record) (fleet.Offset, error)
	// AppendAs appends under a writer's epoch. Its error wraps ErrFenced,
	// *SequenceError, ErrRefused, ErrRejected or ErrUnknown.
	AppendAs(ctx context.Context, topic Topic, w Writer, records []Record) error
	// Append appends without a condition. Its error wraps ErrRefused,
	// ErrRejected or ErrUnknown.
	Append(ctx context.Context, topic Topic, records []Record) error
	// Newest returns the newest record of each key. It reads page by page, so the
	// result is not a consistent snapshot. Its error wraps ErrUnavailable.
	Newest(ctx context.Context, topic Topic) (Page, error)
	// Read returns the records from an offset on. When there are none yet, it waits
	// for up to wait. Its error wraps ErrExpired or ErrUnavailable.
	Read(ctx context.Context, topic Topic, from fleet.Offset, wait time.Duration) (Page, error)
}
