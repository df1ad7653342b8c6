package tenure_test

import (
	"context"
	"fmt"
	"time"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/tenure"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/banyanrail/banyanrail/storage"
)

// Two entries agree on an owner by conditional appends to a log. The first entry
// claims the tenure. When it stops, the second claims it under a higher epoch.
func Example() {
	ctx, now := context.Background(), time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	store := standin.NewStore()
	first, second := tenure.New("first", 1, "10.0.0.1:7000", 0), tenure.New("second", 1, "10.0.0.2:7000", 0)

	// step reads the log and appends the record that is due, if any.
	step := func(name fleet.EntryID, s *tenure.State) {
		page, err := store.Newest(ctx, storage.TopicTenure)
		if err != nil {
			s.OnReadFailed()
			return
		}
		newest, _, err := codec.DecodeTenure(page.Records)
		if err != nil {
			fmt.Println(err)
			return
		}
		s.OnRead(now, newest, page.End)
		record, at, due := s.Next(now)
		if !due {
			return
		}
		raw, err := codec.EncodeTenure(record)
		if err != nil {
			fmt.Println(err)
			return
		}
		end, err := store.AppendAt(ctx, storage.TopicTenure, at, []storage.Record{raw})
		if err != nil {
			s.OnAppendUnconfirmed()
			return
		}
		held := s.IsOwner()
		s.OnAppended(now, record, end)
		if s.IsOwner() && !held {
			fmt.Println(name, "owns epoch", record.Epoch)
		}
		if record.Released {
			fmt.Println(name, "releases epoch", record.Epoch)
		}
	}
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		step("first", first)
		if first.IsOwner() {
			break
		}
	}
	first.Stop()
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		step("first", first)
		step("second", second)
	}
	// Output:
	// first owns epoch 1
	// first releases epoch 1
	// second owns epoch 2
}
