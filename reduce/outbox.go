package reduce

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/message"
)

// outbox gathers what one event has for each peer, so that a peer gets one
// message of a kind an event.
type outbox struct {
	asked   []askedItem
	granted []grantedItem
}

type askedItem struct {
	to      fleet.EntryID
	message message.SlotRequests
}

type grantedItem struct {
	to      fleet.EntryID
	message message.SlotsGranted
}

// to returns the asks for a holder.
func (o *outbox) to(id fleet.EntryID) *message.SlotRequests {
	for i := range o.asked {
		if o.asked[i].to == id {
			return &o.asked[i].message
		}
	}
	o.asked = append(o.asked, askedItem{to: id})
	return &o.asked[len(o.asked)-1].message
}

// grantsTo returns the grants for an entry.
func (o *outbox) grantsTo(id fleet.EntryID) *message.SlotsGranted {
	for i := range o.granted {
		if o.granted[i].to == id {
			return &o.granted[i].message
		}
	}
	o.granted = append(o.granted, grantedItem{to: id})
	return &o.granted[len(o.granted)-1].message
}

// flushOutbox sends what was gathered.
func (s *State) flushOutbox() {
	for _, item := range s.outbox.asked {
		if p, ok := s.peers.Get(item.to); ok {
			s.send(p, item.message)
		}
	}
	for _, item := range s.outbox.granted {
		p, ok := s.peers.Get(item.to)
		if !ok {
			continue
		}
		s.send(p, item.message)
		for _, g := range item.message.Grants {
			s.holders.SetLeaseSequence(item.to, g.Request, p.LastSent())
		}
	}
	s.outbox.asked, s.outbox.granted = s.outbox.asked[:0], s.outbox.granted[:0]
}
