package peer

import (
	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/peer/peerpb"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/samber/oops"
)

// encode puts a message into the envelope. It fails for an unknown message type.
func encode(env *peerpb.Envelope, m message.Message) error {
	switch m := m.(type) {
	case message.Heartbeat:
		env.Message = &peerpb.Envelope_Heartbeat{Heartbeat: &peerpb.Heartbeat{
			Offset:   int64(m.Offset),
			Version:  int64(m.Version),
			Digest:   m.Digest,
			Stopping: m.Stopping,
		}}
	case message.RecordsRequest:
		env.Message = &peerpb.Envelope_RecordsAsked{RecordsAsked: &peerpb.RecordsAsked{After: int64(m.After)}}
	case message.Records:
		records, err := encodeRecords(m.Records)
		if err != nil {
			return err
		}
		env.Message = &peerpb.Envelope_Records{Records: &peerpb.Records{After: int64(m.After), Records: records}}
	case message.DrainAcks:
		env.Message = &peerpb.Envelope_DrainAcks{DrainAcks: encodeDrainAcks(m)}
	case message.Snapshot:
		data, err := codec.Encode(control.Record{Body: m.Fold})
		if err != nil {
			return oops.In("peer").With("step", "encode").Wrap(err)
		}
		env.Message = &peerpb.Envelope_Snapshot{Snapshot: &peerpb.Snapshot{Data: data}}
	case message.Totals:
		env.Message = &peerpb.Envelope_Totals{Totals: encodeTotals(m)}
	default:
		return encodeHolderMessage(env, m)
	}
	return nil
}

func encodeRecords(records []control.Positioned) ([]*peerpb.Record, error) {
	out := make([]*peerpb.Record, 0, len(records))
	for _, p := range records {
		data, err := codec.Encode(p.Record)
		if err != nil {
			return nil, oops.In("peer").With("step", "encode", "offset", p.Offset).Wrap(err)
		}
		out = append(out, &peerpb.Record{Offset: int64(p.Offset), Data: data})
	}
	return out, nil
}

// decode returns the envelope's message. It fails for an unknown message type,
// such as one of a newer version.
func decode(env *peerpb.Envelope) (message.Message, error) {
	switch m := env.GetMessage().(type) {
	case *peerpb.Envelope_Heartbeat:
		return message.Heartbeat{
			Offset:   fleet.Offset(m.Heartbeat.GetOffset()),
			Version:  fleet.Version(m.Heartbeat.GetVersion()),
			Digest:   m.Heartbeat.GetDigest(),
			Stopping: m.Heartbeat.GetStopping(),
		}, nil
	case *peerpb.Envelope_RecordsAsked:
		return message.RecordsRequest{After: fleet.Offset(m.RecordsAsked.GetAfter())}, nil
	case *peerpb.Envelope_Records:
		return decodeRecords(m.Records), nil
	case *peerpb.Envelope_DrainAcks:
		return decodeDrainAcks(m.DrainAcks), nil
	case *peerpb.Envelope_Snapshot:
		return decodeSnapshot(m.Snapshot)
	case *peerpb.Envelope_Totals:
		return decodeTotals(m.Totals), nil
	default:
		return decodeHolderMessage(env)
	}
}

func decodeSnapshot(m *peerpb.Snapshot) (message.Message, error) {
	fail := oops.In("peer").With("step", "decode")
	rec, err := codec.Decode(m.GetData())
	if err != nil {
		return nil, fail.Wrap(err)
	}
	fold, ok := rec.Body.(control.Snapshot)
	if !ok {
		return nil, fail.Errorf("record of type %T is not a snapshot", rec.Body)
	}
	return message.Snapshot{Fold: fold}, nil
}

// decodeRecords decodes records as the log reader does: a record that cannot be
// decoded becomes control.Unreadable at its offset.
func decodeRecords(m *peerpb.Records) message.Records {
	out := message.Records{After: fleet.Offset(m.GetAfter())}
	for _, r := range m.GetRecords() {
		rec, err := codec.Decode(r.GetData())
		if err != nil {
			rec.Body = control.Unreadable{Err: err}
		}
		out.Records = append(out.Records, control.Positioned{Offset: fleet.Offset(r.GetOffset()), Record: rec})
	}
	return out
}
