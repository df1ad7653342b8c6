package peer

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/peer/peerpb"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/samber/oops"
)

// mapped applies f to each item; no items give nil.
func mapped[A, B any](items []A, f func(A) B) []B {
	if len(items) == 0 {
		return nil
	}
	out := make([]B, len(items))
	for i, item := range items {
		out[i] = f(item)
	}
	return out
}

func encodeAsk(a message.Ask) *peerpb.Ask {
	return &peerpb.Ask{
		Request: uint64(a.Request),
		Service: string(a.Service),
		Member:  string(a.Member),
		Size:    a.Size,
		Left:    int64(a.Left),
		Tried:   mapped(a.Tried, func(id fleet.InstanceID) string { return string(id) }),
		Again:   a.Again,
	}
}

func decodeAsk(a *peerpb.Ask) message.Ask {
	return message.Ask{
		Request: fleet.RequestID(a.GetRequest()),
		Service: fleet.ServiceName(a.GetService()),
		Member:  fleet.MemberName(a.GetMember()),
		Size:    a.GetSize(),
		Left:    time.Duration(a.GetLeft()),
		Tried:   mapped(a.GetTried(), func(id string) fleet.InstanceID { return fleet.InstanceID(id) }),
		Again:   a.GetAgain(),
	}
}

func encodeSlot(s message.Slot) *peerpb.Slot {
	return &peerpb.Slot{Request: uint64(s.Request), Instance: string(s.Instance)}
}

func decodeSlot(s *peerpb.Slot) message.Slot {
	return message.Slot{Request: fleet.RequestID(s.GetRequest()), Instance: fleet.InstanceID(s.GetInstance())}
}

func encodeFinished(f message.Finished) *peerpb.Finished {
	return &peerpb.Finished{
		Slot:     encodeSlot(f.Slot),
		Held:     int64(f.Held),
		Ran:      int64(f.Ran),
		Verdict:  uint32(f.Verdict),
		Forgiven: string(f.Forgiven),
	}
}

func decodeFinished(f *peerpb.Finished) message.Finished {
	return message.Finished{
		Slot:     decodeSlot(f.GetSlot()),
		Held:     time.Duration(f.GetHeld()),
		Ran:      time.Duration(f.GetRan()),
		Verdict:  message.Verdict(f.GetVerdict()),
		Forgiven: fleet.InstanceID(f.GetForgiven()),
	}
}

func encodeHeld(h message.Held) *peerpb.Held {
	return &peerpb.Held{Ask: encodeAsk(h.Ask), Instance: string(h.Instance)}
}

func decodeHeld(h *peerpb.Held) message.Held {
	return message.Held{Ask: decodeAsk(h.GetAsk()), Instance: fleet.InstanceID(h.GetInstance())}
}

func encodeDenied(d message.Denied) *peerpb.Denied {
	return &peerpb.Denied{Request: uint64(d.Request), Reason: uint32(d.Reason), RetryAfter: int64(d.RetryAfter)}
}

func decodeDenied(d *peerpb.Denied) message.Denied {
	return message.Denied{
		Request:    fleet.RequestID(d.GetRequest()),
		Reason:     fleet.Reason(d.GetReason()),
		RetryAfter: time.Duration(d.GetRetryAfter()),
	}
}

func encodeSlotsAsked(m message.SlotsAsked) *peerpb.SlotsAsked {
	return &peerpb.SlotsAsked{
		Finished:  mapped(m.Finished, encodeFinished),
		Withdrawn: mapped(m.Withdrawn, func(id fleet.RequestID) uint64 { return uint64(id) }),
		Asks:      mapped(m.Asks, encodeAsk),
	}
}

func decodeSlotsAsked(m *peerpb.SlotsAsked) message.SlotsAsked {
	return message.SlotsAsked{
		Finished:  mapped(m.GetFinished(), decodeFinished),
		Withdrawn: mapped(m.GetWithdrawn(), func(id uint64) fleet.RequestID { return fleet.RequestID(id) }),
		Asks:      mapped(m.GetAsks(), decodeAsk),
	}
}

func encodeSlotsGranted(m message.SlotsGranted) *peerpb.SlotsGranted {
	return &peerpb.SlotsGranted{Grants: mapped(m.Grants, encodeSlot), Denied: mapped(m.Denied, encodeDenied)}
}

func decodeSlotsGranted(m *peerpb.SlotsGranted) message.SlotsGranted {
	return message.SlotsGranted{Grants: mapped(m.GetGrants(), decodeSlot), Denied: mapped(m.GetDenied(), decodeDenied)}
}

func encodeSlotsReport(m message.SlotsReport) *peerpb.SlotsReport {
	return &peerpb.SlotsReport{
		Pool:    string(m.Pool),
		Seen:    m.Seen,
		Running: mapped(m.Running, encodeHeld),
		Asks:    mapped(m.Asks, encodeAsk),
	}
}

func decodeSlotsReport(m *peerpb.SlotsReport) message.SlotsReport {
	return message.SlotsReport{
		Pool:    fleet.PoolName(m.GetPool()),
		Seen:    m.GetSeen(),
		Running: mapped(m.GetRunning(), decodeHeld),
		Asks:    mapped(m.GetAsks(), decodeAsk),
	}
}

// encodeHolding fills the envelope with a message between an entry and the
// holder of a pool.
func encodeHolding(env *peerpb.Envelope, m message.Message) error {
	switch m := m.(type) {
	case message.SlotsAsked:
		env.Message = &peerpb.Envelope_SlotsAsked{SlotsAsked: encodeSlotsAsked(m)}
	case message.SlotsGranted:
		env.Message = &peerpb.Envelope_SlotsGranted{SlotsGranted: encodeSlotsGranted(m)}
	case message.SlotsReport:
		env.Message = &peerpb.Envelope_SlotsReport{SlotsReport: encodeSlotsReport(m)}
	case message.ReportWanted:
		env.Message = &peerpb.Envelope_ReportWanted{ReportWanted: &peerpb.ReportWanted{}}
	case message.ReportTaken:
		env.Message = &peerpb.Envelope_ReportTaken{ReportTaken: &peerpb.ReportTaken{Pool: string(m.Pool), Holding: m.Holding}}
	default:
		return oops.In("peer").With("step", "encode").Errorf("unknown message type %T", m)
	}
	return nil
}

func decodeHolding(env *peerpb.Envelope) (message.Message, error) {
	switch m := env.GetMessage().(type) {
	case *peerpb.Envelope_SlotsAsked:
		return decodeSlotsAsked(m.SlotsAsked), nil
	case *peerpb.Envelope_SlotsGranted:
		return decodeSlotsGranted(m.SlotsGranted), nil
	case *peerpb.Envelope_SlotsReport:
		return decodeSlotsReport(m.SlotsReport), nil
	case *peerpb.Envelope_ReportWanted:
		return message.ReportWanted{}, nil
	case *peerpb.Envelope_ReportTaken:
		return message.ReportTaken{Pool: fleet.PoolName(m.ReportTaken.GetPool()), Holding: m.ReportTaken.GetHolding()}, nil
	default:
		return nil, oops.In("peer").With("step", "decode").Errorf("unknown message")
	}
}
