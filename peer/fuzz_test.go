package peer

import (
	"testing"

	"github.com/banyanrail/banyanrail/peer/peerpb"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
)

// FuzzDecode checks that no envelope makes decode panic, and that every decoded
// message is equal after another round trip.
func FuzzDecode(f *testing.F) {
	for _, m := range []message.Message{
		message.Heartbeat{Offset: 1, Version: 2, Digest: 3}, message.RecordsRequest{After: 4}, message.Records{After: 5},
		message.DrainAcks{Acks: []message.DrainAck{{Instance: "runner-1", Epoch: 6}}},
		message.SlotRequests{Requests: []message.SlotRequest{{ID: 7, Service: "survey"}}}, message.ReportAck{Pool: "main"},
	} {
		env := &peerpb.Envelope{Sequence: 1}
		must.NoError(f, encode(env, m))
		data, err := proto.Marshal(env)
		must.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		env := &peerpb.Envelope{}
		if proto.Unmarshal(data, env) != nil {
			return
		}
		m, err := decode(env)
		if records, ok := m.(message.Records); err != nil || ok && unreadable(records) {
			return
		}
		again := &peerpb.Envelope{}
		must.NoError(t, encode(again, m))
		same, err := decode(again)
		must.NoError(t, err)
		must.Eq(t, m, same)
	})
}

// unreadable reports whether any of the records could not be decoded.
func unreadable(m message.Records) bool {
	for _, p := range m.Records {
		if _, ok := p.Record.Body.(control.Unreadable); ok {
			return true
		}
	}
	return false
}
