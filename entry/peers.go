package entry

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/infra"
	"github.com/banyanrail/banyanrail/peer"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"google.golang.org/grpc"
)

// listInterval is the time between looks at the platform's list.
const listInterval = time.Second

// RegisterPeers puts the interface for other entries on a gRPC server.
func (e *Entry) RegisterPeers(g *grpc.Server) {
	peer.Register(g, func(r peer.Received) error {
		return e.loop.Post(event.PeerReceived{
			From: r.From, Incarnation: r.Incarnation, Address: r.Address, Sequence: r.Sequence, Message: r.Message,
		})
	}, func(from fleet.EntryID, _ error) { e.metrics.peerUnreadable(from) })
}

// actPeers carries out the effects towards other entries.
func (e *Entry) actPeers(out effect.Effect) {
	switch o := out.(type) {
	case effect.SendPeer:
		e.peers.Send(o.To, o.Address, o.Sequence, o.Message)
	case effect.KeepPeers:
		e.keepPeers(o)
	case effect.RefreshList:
		e.refreshList()
	}
}

// newPeerClient returns the client that sends to other entries. A lost message
// is made up for by later ones, so it is only counted.
func (e *Entry) newPeerClient() *peer.Client {
	return peer.NewClient(e.background, peer.Config{
		Self:        e.cfg.ID,
		Incarnation: e.cfg.Incarnation,
		Address:     e.cfg.PeerAddress,
		TLS:         e.cfg.PeersTLS,
		Run:         e.peerPool.Go,
		OnSendFailure: func(to fleet.EntryID, _ error) {
			e.metrics.peerFailed(to)
			_ = e.loop.Offer(event.PeerUnreachable{Peer: to}) // silence tells the same, later
		},
	})
}

// keepPeers closes connections to entries that have gone. Closing can wait for
// the network, so it is done off the control goroutine.
func (e *Entry) keepPeers(o effect.KeepPeers) {
	keep := make(map[string]bool, len(o.Addresses))
	for _, address := range o.Addresses {
		keep[address] = true
	}
	_ = e.peerPool.Go(func() { e.peers.Retain(keep) }) // done again with the next list
}

// followList reports the platform's list until the entry ends.
func (e *Entry) followList() {
	for e.background.Err() == nil {
		rows, err := e.deps.Instances.List(e.background)
		if err == nil {
			_ = e.loop.Post(listedEntries(rows))   // fails only after the end
			_ = e.loop.Post(listedEndpoints(rows)) // fails only after the end
		}
		e.awaitList()
	}
}

// awaitList waits until the list is due again, or wanted earlier.
func (e *Entry) awaitList() {
	t := time.NewTimer(listInterval)
	defer t.Stop()
	select {
	case <-t.C:
	case <-e.listWanted:
	case <-e.background.Done():
	}
}

// refreshList ends the wait for the next look at the list.
func (e *Entry) refreshList() {
	select {
	case e.listWanted <- struct{}{}:
	default: // wanted already
	}
}

func listedEntries(rows []infra.ListedInstance) event.EntriesListed {
	var ev event.EntriesListed
	for _, row := range rows {
		if row.Role == infra.RoleEntry {
			ev.Entries = append(ev.Entries, event.ListedEntry{ID: fleet.EntryID(row.ID), Address: row.Address, Leaving: row.Leaving})
		}
	}
	return ev
}
