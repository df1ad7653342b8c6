package daemon

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/banyanrail/banyanrail/membudget"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"
)

const (
	// reservedFDs of a process are never taken by connections to its ports.
	reservedFDs = 200
	// defaultShare is the part of a process's memory that open clients may hold unless a
	// setting says otherwise, and maxShare the most that it may say: the collector lets
	// the heap grow to twice what is in use.
	defaultShare = 4
	maxShare     = 2
	// minClientMB is the least memory of open clients. It holds the largest call of
	// an entry, a job of 20,000 steps that takes 10 MB while it is decoded.
	minClientMB = 16
	// connectionShare is the part of the clients' memory that their connections may
	// take, so that bodies have the rest.
	connectionShare = 2
	// Connections to the ports for other entries and for operators. Each other entry holds one
	// or two connections to the owner; with 128, an owner refused most of 300 entries. A
	// balancer and a few collectors of metrics use the ports for operators.
	maxPeerConnections     = 1024
	maxOperatorConnections = 64
	minConnections         = 4
	// Connections that wait to be accepted. Those that a full port evicts connect again;
	// while all have room in the backlog, an ordinary client waits no longer than they do.
	maxClientBacklog = 4096
	maxOtherBacklog  = 1024
	// The parts of the memory that the kernel may hold of the clients' backlog, of any other
	// backlog, and of the connections of other entries.
	clientBacklogShare = 16
	otherBacklogShare  = 32
	peerShare          = 8
	// jobShare is the part of the memory that jobs may take at an owner.
	jobShare = 4
	// clientGrace is how long a client has for each request at a full port: several round
	// trips. operatorGrace is shorter, as requests there come in one packet.
	clientGrace   = 250 * time.Millisecond
	operatorGrace = 25 * time.Millisecond
	peerGrace     = 100 * time.Millisecond
	// heapPercent is the part of the memory beside what the kernel may hold that is set as
	// Go's memory limit, and maxHeapPercent its bound as a part of all memory. The rest is
	// left for the program, its threads, and what is released late. minHeapPercent keeps a
	// process with little memory at work.
	heapPercent    = 85
	maxHeapPercent = 60
	minHeapPercent = 25
)

// ClientLimits are the settings that bound the memory and connections of open clients.
type ClientLimits struct {
	// MemoryMB is the memory of the process, in MiB; zero means that of the machine.
	MemoryMB int64
	// MaxFDs is the number of descriptors of the process; zero means the limit of the
	// operating system.
	MaxFDs int
	// ClientMB is the memory that all open clients may hold, in MiB; zero means a
	// quarter of MemoryMB.
	ClientMB int64
}

// Check returns the limits with their defaults.
func (l ClientLimits) Check() (ClientLimits, error) {
	if l.MemoryMB == 0 {
		l.MemoryMB = machineMB()
	}
	if l.MaxFDs == 0 {
		l.MaxFDs = descriptorLimit()
	}
	if l.ClientMB == 0 {
		l.ClientMB = max(minClientMB, l.MemoryMB/defaultShare)
		return l, nil
	}
	if l.ClientMB < minClientMB || l.ClientMB > l.MemoryMB/maxShare {
		return l, fmt.Errorf("%d is not between %d and %d, half of the memory", l.ClientMB, minClientMB, l.MemoryMB/maxShare)
	}
	return l, nil
}

// machineMB returns the memory of the machine, in MiB.
func machineMB() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		panic("daemon: read the size of the memory: " + err.Error()) // fails on no Linux
	}
	return int64(info.Totalram * uint64(info.Unit) >> 20)
}

func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		panic("daemon: read the limit of descriptors: " + err.Error()) // fails on no Linux
	}
	return int(min(limit.Cur, 1<<20))
}

// JobBytes returns the memory that jobs that have not ended may take at an owner, in bytes.
func (l ClientLimits) JobBytes() int64 { return l.MemoryMB << 20 / jobShare }

// Budget returns the budget of open clients.
func (l ClientLimits) Budget(scope tally.Scope, logger *slog.Logger) *membudget.Budget {
	return membudget.New(membudget.Config{Bytes: l.ClientMB << 20, Metrics: scope, Logger: logger})
}

// HeapLimit returns Go's memory limit, at which the garbage collector runs more often, in bytes:
// what the sockets of the process's ports leave of its memory.
func (l ClientLimits) HeapLimit(ports ...membudget.PortConfig) int64 {
	memory := l.MemoryMB << 20
	left := memory
	for _, p := range ports {
		left -= p.KernelBytes()
	}
	return max(memory*minHeapPercent/100, min(memory*maxHeapPercent/100, left*heapPercent/100))
}

// backlog returns how many connections may wait to be accepted within a part of the memory.
func (l ClientLimits) backlog(most, share int64) int {
	return int(min(most, l.MemoryMB<<20/share/membudget.PendingBytes))
}

// Clients returns the settings of the port for clients: half of the descriptors, which
// leaves the other half for the process's own calls, and of the memory at most half.
func (l ClientLimits) Clients(tls bool) membudget.PortConfig {
	cfg := membudget.PortConfig{TLS: tls, Grace: clientGrace, Backlog: l.backlog(maxClientBacklog, clientBacklogShare)}
	byMemory := int(l.ClientMB << 20 / connectionShare / cfg.ConnectionBytes())
	cfg.Connections = max(minConnections, min(l.descriptors()/2, byMemory))
	return cfg
}

// Peers returns the settings of the gRPC port for other entries.
func (l ClientLimits) Peers(tls bool) membudget.PortConfig {
	byMemory := int(l.MemoryMB << 20 / peerShare / membudget.OpenBytes)
	return membudget.PortConfig{
		Connections: max(minConnections, min(maxPeerConnections, l.descriptors()/8, byMemory)),
		Backlog:     l.backlog(maxOtherBacklog, otherBacklogShare),
		Grace:       peerGrace, TLS: tls, Streams: true,
	}
}

// Operators returns the settings of a port for readiness, metrics or operators.
func (l ClientLimits) Operators(tls bool) membudget.PortConfig {
	return membudget.PortConfig{
		Connections: max(minConnections, min(maxOperatorConnections, l.descriptors()/16)), Backlog: l.backlog(maxOtherBacklog, otherBacklogShare),
		Grace: operatorGrace, TLS: tls,
	}
}

func (l ClientLimits) descriptors() int { return max(0, l.MaxFDs-reservedFDs) }
