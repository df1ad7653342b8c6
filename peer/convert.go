package peer

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/peer/peerpb"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/samber/oops"
)

// encode fills the envelope's message. It fails for a type it does not know.
func encode(env *peerpb.Envelope, m message.Message) error {
	switch m := m.(type) {
	case message.Heartbeat:
		env.Message = &peerpb.Envelope_Heartbeat{Heartbeat: &peerpb.Heartbeat{
			Offset:   int64(m.Offset),
			Version:  int64(m.Version),
			Stopping: m.Stopping,
		}}
	case message.DrainAcks:
		env.Message = &peerpb.Envelope_DrainAcks{DrainAcks: encodeDrainAcks(m)}
	default:
		return oops.In("peer").With("step", "encode").Errorf("unknown message type %T", m)
	}
	return nil
}

// decode returns the envelope's message. It fails for a message of a newer
// version that it does not know.
func decode(env *peerpb.Envelope) (message.Message, error) {
	switch m := env.GetMessage().(type) {
	case *peerpb.Envelope_Heartbeat:
		return message.Heartbeat{
			Offset:   fleet.Offset(m.Heartbeat.GetOffset()),
			Version:  fleet.Version(m.Heartbeat.GetVersion()),
			Stopping: m.Heartbeat.GetStopping(),
		}, nil
	case *peerpb.Envelope_DrainAcks:
		return decodeDrainAcks(m.DrainAcks), nil
	default:
		return nil, oops.In("peer").With("step", "decode", "peer", env.GetFrom()).Errorf("unknown message")
	}
}
