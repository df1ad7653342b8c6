package peer

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/peer/peerpb"
	"github.com/banyanrail/banyanrail/reduce/message"
)

func encodeDrainAcks(m message.DrainAcks) *peerpb.DrainAcks {
	out := &peerpb.DrainAcks{}
	for _, a := range m.Acks {
		out.Acks = append(out.Acks, &peerpb.DrainAck{Instance: string(a.Instance), Epoch: int64(a.Epoch)})
	}
	return out
}

func decodeDrainAcks(m *peerpb.DrainAcks) message.DrainAcks {
	var out message.DrainAcks
	for _, a := range m.GetAcks() {
		out.Acks = append(out.Acks, message.DrainAck{
			Instance: fleet.InstanceID(a.GetInstance()),
			Epoch:    fleet.Offset(a.GetEpoch()),
		})
	}
	return out
}
