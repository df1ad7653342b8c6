package daemon_test

import (
	"testing"

	"github.com/banyanrail/banyanrail/daemon"
	"github.com/shoenig/test/must"
)

// TestSocketsFitBesideTheHeap guards against socket buffers that, with the heap, exceed the memory
// of a process, and against a heap without a limit.
func TestSocketsFitBesideTheHeap(t *testing.T) {
	for _, memoryMB := range []int64{64, 128, 184, 284, 536, 4096} {
		for _, fds := range []int{300, 500, 4100, 8192, 1 << 20} {
			l, err := daemon.ClientLimits{MemoryMB: memoryMB, MaxFDs: fds}.Check()
			must.NoError(t, err)
			clients, operators, peers := l.Clients(false), l.Operators(false), l.Peers(false)
			sockets := clients.KernelBytes() + 2*operators.KernelBytes() + peers.KernelBytes()
			heap := l.HeapLimit(clients, operators, operators, peers)
			must.Positive(t, heap)
			must.LessEq(t, memoryMB<<20, heap+sockets, must.Sprint(memoryMB, " MB, ", fds, " descriptors"))
			must.GreaterEq(t, l.ClientMB<<20, heap, must.Sprint("the heap holds the budget of clients"))
		}
	}
}
