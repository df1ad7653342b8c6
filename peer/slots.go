package peer

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/peer/peerpb"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/samber/oops"
)

// mapSlice returns the results of f for each item, or nil if there are no items.
func mapSlice[A, B any](items []A, f func(A) B) []B {
	if len(items) == 0 {
		return nil
	}
	out := make([]B, len(items))
	for i, item := range items {
		out[i] = f(item)
	}
	return out
}

func encodeSlotRequest(a message.SlotRequest) *peerpb.Ask {
	return &peerpb.Ask{
		Request: uint64(a.ID),
		Service: string(a.Service),
		Member:  string(a.Member),
		Size:    a.Size,
		Left:    int64(a.Remaining),
		Tried:   mapSlice(a.Tried, func(id fleet.InstanceID) string { return string(id) }),
		Again:   a.Requeued,
	}
}

func decodeSlotRequest(a *peerpb.Ask) message.SlotRequest {
	return message.SlotRequest{
		ID:        fleet.RequestID(a.GetRequest()),
		Service:   fleet.ServiceName(a.GetService()),
		Member:    fleet.MemberName(a.GetMember()),
		Size:      a.GetSize(),
		Remaining: time.Duration(a.GetLeft()),
		Tried:     mapSlice(a.GetTried(), func(id string) fleet.InstanceID { return fleet.InstanceID(id) }),
		Requeued:  a.GetAgain(),
	}
}

func encodeSlot(s message.Slot) *peerpb.Slot {
	return &peerpb.Slot{Request: uint64(s.Request), Instance: string(s.Instance)}
}

func decodeSlot(s *peerpb.Slot) message.Slot {
	return message.Slot{Request: fleet.RequestID(s.GetRequest()), Instance: fleet.InstanceID(s.GetInstance())}
}

func encodeSlotRelease(f message.SlotRelease) *peerpb.Finished {
	return &peerpb.Finished{
		Slot:     encodeSlot(f.Slot),
		Held:     int64(f.HeldFor),
		Ran:      int64(f.RunTime),
		Verdict:  uint32(f.Verdict),
		Forgiven: string(f.NotAtFault),
	}
}

func decodeSlotRelease(f *peerpb.Finished) message.SlotRelease {
	return message.SlotRelease{
		Slot:       decodeSlot(f.GetSlot()),
		HeldFor:    time.Duration(f.GetHeld()),
		RunTime:    time.Duration(f.GetRan()),
		Verdict:    message.Verdict(f.GetVerdict()),
		NotAtFault: fleet.InstanceID(f.GetForgiven()),
	}
}

func encodeHeldSlot(h message.HeldSlot) *peerpb.Held {
	return &peerpb.Held{Ask: encodeSlotRequest(h.Request), Instance: string(h.Instance)}
}

func decodeHeldSlot(h *peerpb.Held) message.HeldSlot {
	return message.HeldSlot{Request: decodeSlotRequest(h.GetAsk()), Instance: fleet.InstanceID(h.GetInstance())}
}

func encodeSlotDenial(d message.SlotDenial) *peerpb.Denied {
	return &peerpb.Denied{Request: uint64(d.Request), Reason: uint32(d.Reason), RetryAfter: int64(d.RetryAfter)}
}

func decodeSlotDenial(d *peerpb.Denied) message.SlotDenial {
	return message.SlotDenial{
		Request:    fleet.RequestID(d.GetRequest()),
		Reason:     fleet.Reason(d.GetReason()),
		RetryAfter: time.Duration(d.GetRetryAfter()),
	}
}

func encodeSlotRequests(m message.SlotRequests) *peerpb.SlotsAsked {
	return &peerpb.SlotsAsked{
		Finished:  mapSlice(m.Releases, encodeSlotRelease),
		Withdrawn: mapSlice(m.Withdrawn, func(id fleet.RequestID) uint64 { return uint64(id) }),
		Asks:      mapSlice(m.Requests, encodeSlotRequest),
	}
}

func decodeSlotRequests(m *peerpb.SlotsAsked) message.SlotRequests {
	return message.SlotRequests{
		Releases:  mapSlice(m.GetFinished(), decodeSlotRelease),
		Withdrawn: mapSlice(m.GetWithdrawn(), func(id uint64) fleet.RequestID { return fleet.RequestID(id) }),
		Requests:  mapSlice(m.GetAsks(), decodeSlotRequest),
	}
}

func encodeSlotsGranted(m message.SlotsGranted) *peerpb.SlotsGranted {
	return &peerpb.SlotsGranted{Grants: mapSlice(m.Grants, encodeSlot), Denied: mapSlice(m.Denied, encodeSlotDenial)}
}

func decodeSlotsGranted(m *peerpb.SlotsGranted) message.SlotsGranted {
	return message.SlotsGranted{Grants: mapSlice(m.GetGrants(), decodeSlot), Denied: mapSlice(m.GetDenied(), decodeSlotDenial)}
}

func encodeSlotsReport(m message.SlotsReport) *peerpb.SlotsReport {
	return &peerpb.SlotsReport{
		Pool:    string(m.Pool),
		Seen:    m.LastReceived,
		Running: mapSlice(m.Running, encodeHeldSlot),
		Asks:    mapSlice(m.Waiting, encodeSlotRequest),
	}
}

func decodeSlotsReport(m *peerpb.SlotsReport) message.SlotsReport {
	return message.SlotsReport{
		Pool:         fleet.PoolName(m.GetPool()),
		LastReceived: m.GetSeen(),
		Running:      mapSlice(m.GetRunning(), decodeHeldSlot),
		Waiting:      mapSlice(m.GetAsks(), decodeSlotRequest),
	}
}

// encodeHolderMessage puts a message between an entry and the holder of a pool
// into the envelope.
func encodeHolderMessage(env *peerpb.Envelope, m message.Message) error {
	switch m := m.(type) {
	case message.SlotRequests:
		env.Message = &peerpb.Envelope_SlotsAsked{SlotsAsked: encodeSlotRequests(m)}
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

func decodeHolderMessage(env *peerpb.Envelope) (message.Message, error) {
	switch m := env.GetMessage().(type) {
	case *peerpb.Envelope_SlotsAsked:
		return decodeSlotRequests(m.SlotsAsked), nil
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
