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

func encodeAsk(a message.SlotRequest) *peerpb.Ask {
	return &peerpb.Ask{
		Request: uint64(a.ID),
		Service: string(a.Service),
		Member:  string(a.Member),
		Size:    a.Size,
		Left:    int64(a.Remaining),
		Tried:   mapped(a.Tried, func(id fleet.InstanceID) string { return string(id) }),
		Again:   a.Requeued,
	}
}

func decodeAsk(a *peerpb.Ask) message.SlotRequest {
	return message.SlotRequest{
		ID:        fleet.RequestID(a.GetRequest()),
		Service:   fleet.ServiceName(a.GetService()),
		Member:    fleet.MemberName(a.GetMember()),
		Size:      a.GetSize(),
		Remaining: time.Duration(a.GetLeft()),
		Tried:     mapped(a.GetTried(), func(id string) fleet.InstanceID { return fleet.InstanceID(id) }),
		Requeued:  a.GetAgain(),
	}
}

func encodeSlot(s message.Slot) *peerpb.Slot {
	return &peerpb.Slot{Request: uint64(s.Request), Instance: string(s.Instance)}
}

func decodeSlot(s *peerpb.Slot) message.Slot {
	return message.Slot{Request: fleet.RequestID(s.GetRequest()), Instance: fleet.InstanceID(s.GetInstance())}
}

func encodeFinished(f message.SlotRelease) *peerpb.Finished {
	return &peerpb.Finished{
		Slot:     encodeSlot(f.Slot),
		Held:     int64(f.HeldFor),
		Ran:      int64(f.RunTime),
		Verdict:  uint32(f.Verdict),
		Forgiven: string(f.NotAtFault),
	}
}

func decodeFinished(f *peerpb.Finished) message.SlotRelease {
	return message.SlotRelease{
		Slot:       decodeSlot(f.GetSlot()),
		HeldFor:    time.Duration(f.GetHeld()),
		RunTime:    time.Duration(f.GetRan()),
		Verdict:    message.Verdict(f.GetVerdict()),
		NotAtFault: fleet.InstanceID(f.GetForgiven()),
	}
}

func encodeHeld(h message.HeldSlot) *peerpb.Held {
	return &peerpb.Held{Ask: encodeAsk(h.Request), Instance: string(h.Instance)}
}

func decodeHeld(h *peerpb.Held) message.HeldSlot {
	return message.HeldSlot{Request: decodeAsk(h.GetAsk()), Instance: fleet.InstanceID(h.GetInstance())}
}

func encodeDenied(d message.SlotDenial) *peerpb.Denied {
	return &peerpb.Denied{Request: uint64(d.Request), Reason: uint32(d.Reason), RetryAfter: int64(d.RetryAfter)}
}

func decodeDenied(d *peerpb.Denied) message.SlotDenial {
	return message.SlotDenial{
		Request:    fleet.RequestID(d.GetRequest()),
		Reason:     fleet.Reason(d.GetReason()),
		RetryAfter: time.Duration(d.GetRetryAfter()),
	}
}

func encodeSlotsAsked(m message.SlotRequests) *peerpb.SlotsAsked {
	return &peerpb.SlotsAsked{
		Finished:  mapped(m.Releases, encodeFinished),
		Withdrawn: mapped(m.Withdrawn, func(id fleet.RequestID) uint64 { return uint64(id) }),
		Asks:      mapped(m.Requests, encodeAsk),
	}
}

func decodeSlotsAsked(m *peerpb.SlotsAsked) message.SlotRequests {
	return message.SlotRequests{
		Releases:  mapped(m.GetFinished(), decodeFinished),
		Withdrawn: mapped(m.GetWithdrawn(), func(id uint64) fleet.RequestID { return fleet.RequestID(id) }),
		Requests:  mapped(m.GetAsks(), decodeAsk),
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
		Seen:    m.LastReceived,
		Running: mapped(m.Running, encodeHeld),
		Asks:    mapped(m.Waiting, encodeAsk),
	}
}

func decodeSlotsReport(m *peerpb.SlotsReport) message.SlotsReport {
	return message.SlotsReport{
		Pool:         fleet.PoolName(m.GetPool()),
		LastReceived: m.GetSeen(),
		Running:      mapped(m.GetRunning(), decodeHeld),
		Waiting:      mapped(m.GetAsks(), decodeAsk),
	}
}

// encodeHolding fills the envelope with a message between an entry and the
// holder of a pool.
func encodeHolding(env *peerpb.Envelope, m message.Message) error {
	switch m := m.(type) {
	case message.SlotRequests:
		env.Message = &peerpb.Envelope_SlotsAsked{SlotsAsked: encodeSlotsAsked(m)}
	case message.SlotsGranted:
		env.Message = &peerpb.Envelope_SlotsGranted{SlotsGranted: encodeSlotsGranted(m)}
	case message.SlotsReport:
		env.Message = &peerpb.Envelope_SlotsReport{SlotsReport: encodeSlotsReport(m)}
	case message.ReportRequest:
		env.Message = &peerpb.Envelope_ReportWanted{ReportWanted: &peerpb.ReportWanted{}}
	case message.ReportAck:
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
		return message.ReportRequest{}, nil
	case *peerpb.Envelope_ReportTaken:
		return message.ReportAck{Pool: fleet.PoolName(m.ReportTaken.GetPool()), Holding: m.ReportTaken.GetHolding()}, nil
	default:
		return nil, oops.In("peer").With("step", "decode").Errorf("unknown message")
	}
}
