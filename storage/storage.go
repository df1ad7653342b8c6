// Package storage is the seam between the product and the store that keeps what
// must last: a log with appends on a condition, fenced writers, and topics that
// keep the newest record of each key for good. Package platform implements it
// over the users' store, package standin in memory.
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
	// TopicTenure tells which entry owns the jobs.
	TopicTenure Topic = "tenure"
	// TopicLedger holds the jobs.
	TopicLedger Topic = "ledger"
	// TopicOperators holds what operators publish.
	TopicOperators Topic = "operators"
	// TopicRunners holds the runners' reports.
	TopicRunners Topic = "runners"
	// TopicStatus holds what operators read.
	TopicStatus Topic = "status"
)

// Errors of a store. Those of appends say whether anything was appended.
var (
	// ErrConflict means that the log ends elsewhere; nothing was appended.
	ErrConflict = errors.New("storage: the log has another end")
	// ErrFenced means that a writer with a higher epoch has written; nothing was
	// appended.
	ErrFenced = errors.New("storage: a higher epoch writes")
	// ErrRefused means that nothing was done; a later try may succeed.
	ErrRefused = errors.New("storage: refused")
	// ErrUnknown means that the call may have been carried out, or will be.
	ErrUnknown = errors.New("storage: outcome is unknown")
	// ErrExpired means that the records asked for are not kept any more.
	ErrExpired = errors.New("storage: records have expired")
	// ErrUnavailable means that a read had no answer.
	ErrUnavailable = errors.New("storage: unavailable")
)

// SequenceError means that the store expects another sequence number of a
// writer; nothing was appended.
type SequenceError struct{ Expected int64 }

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("storage: the store expects sequence number %d", e.Expected)
}

// Writer identifies who appends. The store refuses a writer of the same name
// with a lower epoch, and keeps its appends in the order of their sequence
// numbers; a repeat of a recent one is not appended again.
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

// Page is the answer to a read.
type Page struct {
	Records []Record
	// End is the offset that the next append gets.
	End fleet.Offset
	// Next is the offset to read from next.
	Next fleet.Offset
}

// Store keeps topics.
type Store interface {
	// AppendAt appends if the topic ends at an offset, and returns its end.
	// Its error wraps ErrConflict, ErrRefused or ErrUnknown.
	AppendAt(ctx context.Context, topic Topic, at fleet.Offset, records []Record) (fleet.Offset, error)
	// AppendAs appends under a writer's epoch. Its error wraps ErrFenced,
	// *SequenceError, ErrRefused or ErrUnknown.
	AppendAs(ctx context.Context, topic Topic, w Writer, records []Record) error
	// Append appends without a condition. Its error wraps ErrRefused or
	// ErrUnknown.
	Append(ctx context.Context, topic Topic, records []Record) error
	// Newest returns the newest record of each key; the pages it reads are no
	// snapshot. Its error wraps ErrUnavailable.
	Newest(ctx context.Context, topic Topic) (Page, error)
	// Read returns the records from an offset on, and waits for one. Its error
	// wraps ErrExpired or ErrUnavailable.
	Read(ctx context.Context, topic Topic, from fleet.Offset, wait time.Duration) (Page, error)
}
