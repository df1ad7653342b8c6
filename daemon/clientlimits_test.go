package daemon_test

import (
	"testing"

	"github.com/banyanrail/banyanrail/daemon"
	"github.com/shoenig/test/must"
)

// TestClientLimitsOfMachines guards against defaults that leave an entry's own work no descriptors
// or memory, on the smallest and the largest machine, and with a file that gives none.
func TestClientLimitsOfMachines(t *testing.T) {
	for _, given := range []daemon.ClientLimits{{MemoryMB: 184, MaxFDs: 4100}, {MemoryMB: 536, MaxFDs: 8192}, {}} {
		l, err := given.Check()
		must.NoError(t, err)
		must.Positive(t, l.ClientMB)
		clients, peers := l.Clients(false), l.Peers(false).Connections
		must.Less(t, l.MaxFDs-200, clients.Connections+peers+2*l.Operators(false).Connections)
		must.LessEq(t, l.ClientMB<<20/2, int64(clients.Connections)*clients.ConnectionBytes())
		must.GreaterEq(t, 900, clients.Connections)
		must.GreaterEq(t, 90, peers, must.Sprint("two connections of each of 45 entries"))
	}
}

// TestClientMemoryIsChecked guards against a setting that leaves the process no memory, or
// that refuses the largest call.
func TestClientMemoryIsChecked(t *testing.T) {
	for mb, valid := range map[int64]bool{15: false, 16: true, 92: true, 93: false, -1: false} {
		_, err := daemon.ClientLimits{MemoryMB: 184, MaxFDs: 4100, ClientMB: mb}.Check()
		must.Eq(t, valid, err == nil, must.Sprint(mb))
	}
}
