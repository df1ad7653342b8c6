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

// listInterval is the time between reads of the platform's list of instances.
const listInterval = time.Second

// RegisterPeers registers the service for other entries on a gRPC server.
func (e *Entry) RegisterPeers(g *grpc.Server) {
	peer.Register(g, func(r peer.Received) error {
		return e.loop.Post(event.PeerReceived{
			From: r.From, Incarnation: r.Incarnation, Address: r.Address, Sequence: r.Sequence, Message: r.Message,
		})
	}, func(from fleet.EntryID, _ error) { e.metrics.countUnreadable(from) })
}

// actPeers passes an effect that concerns other entries to its driver.
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
// is only counted, since later messages make up for it.
func (e *Entry) newPeerClient() *peer.Client {
	return peer.NewClient(e.background, peer.Config{
		Self:        e.cfg.ID,
		Incarnation: e.cfg.Incarnation,
		Address:     e.cfg.PeerAddress,
		TLS:         e.cfg.PeersTLS,
		Run:         e.peerPool.Go,
		OnSendFailure: func(to fleet.EntryID, _ error) {
			e.metrics.countSendFailure(to)
			_ = e.loop.Offer(event.PeerUnreachable{Peer: to}) // if it fails, missing heartbeats show the same later
		},
	})
}

// keepPeers closes connections to entries that have been removed. Closing can
// wait for the network, so it does not run on the control goroutine.
func (e *Entry) keepPeers(o effect.KeepPeers) {
	keep := make(map[string]bool, len(o.Addresses))
	for _, address := range o.Addresses {
		keep[address] = true
	}
	_ = e.peerPool.Go(func() { e.peers.Retain(keep) }) // repeated with the next list
}

// followList posts the platform's list of instances to the loop until the entry
// ends.
func (e *Entry) followList() {
	for e.background.Err() == nil {
		rows, err := e.deps.Instances.List(e.background)
		if err == nil {
			_ = e.loop.Post(listedEntries(rows))   // fails only once the loop has ended
			_ = e.loop.Post(listedEndpoints(rows)) // fails only once the loop has ended
		}
		e.awaitList()
	}
}

// awaitList waits until the list has to be read again: after listInterval, or
// earlier if refreshList was called.
func (e *Entry) awaitList() {
	t := time.NewTimer(listInterval)
	defer t.Stop()
	select {
	case <-t.C:
	case <-e.listRequested:
	case <-e.background.Done():
	}
}

// refreshList makes followList read the list without waiting for listInterval.
func (e *Entry) refreshList() {
	select {
	case e.listRequested <- struct{}{}:
	default: // requested already
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
