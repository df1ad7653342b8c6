package codec_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/storage"
	"github.com/shoenig/test/must"
)

// FuzzDecode checks that no input makes Decode panic, that Decode returns no body
// with an error, and that a decoded record encodes to the same bytes again.
func FuzzDecode(f *testing.F) {
	text := &fleet.Text{Pools: []fleet.Pool{{Name: "main", Slots: 8, Connections: 64, MaxSize: 1}}}
	for _, body := range []control.Body{
		control.Publish{Base: 1, Text: text}, control.Publish{Base: 2, Delta: &fleet.Delta{RemovedPools: []fleet.PoolName{"main"}}},
		control.Void{Record: "a"}, control.Snapshot{Offset: 3, Version: 1, Text: text},
		control.Drain{Instance: "runner-1", Base: 4, Purpose: control.PurposeReboot},
		control.StartWave{Scope: control.Scope{Pools: []fleet.PoolName{"main"}}}, control.StepWave{Wave: 5, Instances: []fleet.InstanceID{"runner-1"}},
	} {
		data, err := codec.Encode(control.Record{ID: "seed", Time: time.Unix(1, 0).UTC(), Author: "fuzz", Body: body})
		must.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		rec, err := codec.Decode(data)
		if err != nil {
			must.Nil(t, rec.Body)
			return
		}
		again, err := codec.Encode(rec)
		must.NoError(t, err)
		same, err := codec.Decode(again)
		must.NoError(t, err)
		third, err := codec.Encode(same)
		must.NoError(t, err)
		must.Eq(t, string(again), string(third))
	})
}

// FuzzDecodeSpec checks that no input of a peer makes DecodeSpec panic, and that it
// returns only valid specs.
func FuzzDecodeSpec(f *testing.F) {
	raw, err := codec.EncodeSpec(&fleet.JobSpec{Text: "t", Steps: []fleet.Step{{Count: 1, Label: "l"}, {Count: 2, After: []int{0}}}})
	must.NoError(f, err)
	f.Add(raw)
	f.Add([]byte(`{"s":[{"n":1,"a":[7]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := codec.DecodeSpec(data)
		if err != nil {
			must.Nil(t, s)
			return
		}
		must.NoError(t, s.Validate())
	})
}

// FuzzDecodeLedger checks that no record makes DecodeLedger panic, and that each record
// is either read or reported.
func FuzzDecodeLedger(f *testing.F) {
	f.Add("p/j", []byte(`{"q":"q","s":"queued","o":[{"d":"AQ==","t":[{"n":-1,"a":1}]}]}`))
	f.Add("d/j", []byte(`{"q":"q","t":1,"s":{"s":[{"n":1}]}}`))
	f.Add("w/1", []byte(`{"d":["m"]}`))
	f.Add("runtimes", []byte(`{"e":[{"q":"q","v":[1,2,3,4,5,6,7]}]}`))
	f.Add("instances", []byte(`{"i":["m"]}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		l := codec.DecodeLedger([]storage.Record{{Key: key, Value: value}})
		must.True(t, len(l.Unreadable)+len(l.Jobs)+len(l.Waves) <= 1)
	})
}
