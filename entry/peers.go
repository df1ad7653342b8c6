package entry

import (
	"context"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/peer"
	"github.com/banyanrail/banyanrail/platform"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"google.golang.org/grpc"
)

const (
	// peerTimeout bounds one message to a peer.
	peerTimeout = time.Second
	// listInterval is the time between looks at the platform's list.
	listInterval = time.Second
)

// RegisterPeers puts the interface for other entries on a gRPC server.
func (e *Entry) RegisterPeers(g *grpc.Server) {
	peer.Register(g, func(r peer.Received) error {
		return e.loop.Offer(event.PeerReceived{From: r.From, Incarnation: r.Incarnation, Message: r.Message})
	})
}

// sendPeer queues a message; a lost one is made up for by later ones.
func (e *Entry) sendPeer(o effect.SendPeer) {
	err := e.peerPool.Go(func() {
		ctx, cancel := context.WithTimeout(e.background, peerTimeout)
		defer cancel()
		if err := e.peers.Send(ctx, o.Address, o.Message); err != nil {
			e.metrics.peerFailed(o.To)
		}
	})
	if err != nil {
		e.metrics.peerFailed(o.To)
	}
}

// followList reports the platform's list until the entry ends.
func (e *Entry) followList() {
	for e.background.Err() == nil {
		rows, err := e.deps.Instances.List(e.background)
		if err == nil {
			_ = e.loop.Post(listedEntries(rows))   // fails only after the end
			_ = e.loop.Post(listedEndpoints(rows)) // fails only after the end
		}
		sleep(e.background, listInterval)
	}
}

func listedEntries(rows []platform.Listed) event.EntriesListed {
	var ev event.EntriesListed
	for _, row := range rows {
		if row.Role == platform.RoleEntry {
			ev.Entries = append(ev.Entries, event.ListedEntry{ID: fleet.EntryID(row.ID), Address: row.Address, Leaving: row.Leaving})
		}
	}
	return ev
}
