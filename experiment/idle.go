package experiment

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/banyanrail/banyanrail/dev"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/samber/oops"
)

const (
	// idleWarmUp is how long a fleet runs before the measurement, idleDuration how
	// long the measurement lasts.
	idleWarmUp   = 5 * time.Second
	idleDuration = 20 * time.Second
	idleRunners  = 50
	idleSlots    = 8
)

// Idle measures the resources that an idle entry uses. The usage of the stand-ins
// without entries is subtracted; what they use to answer the entries is included.
type Idle struct{ Entries int }

// IdleResult is the resource usage of one entry.
type IdleResult struct {
	// Processor is the CPU time as a share of one core. Heap is in bytes.
	Processor  float64 `json:"processor"`
	Heap       float64 `json:"heap"`
	Goroutines float64 `json:"goroutines"`
	// PeerBytes, LogBytes and ListBytes are bytes per second, sent and received.
	PeerBytes float64 `json:"peer_bytes_s"`
	LogBytes  float64 `json:"log_bytes_s"`
	ListBytes float64 `json:"list_bytes_s"`
}

// Run runs the experiment on fleets of its own.
func (e Idle) Run(ctx context.Context) (IdleResult, error) {
	var noTraffic, traffic dev.Traffic
	base, err := measureUsage(ctx, 0, &noTraffic)
	if err != nil {
		return IdleResult{}, err
	}
	all, err := measureUsage(ctx, e.Entries, &traffic)
	if err != nil {
		return IdleResult{}, err
	}
	n := float64(e.Entries)
	seconds := n * idleDuration.Seconds()
	return IdleResult{
		Processor:  (all.processor - base.processor).Seconds() / seconds,
		Heap:       (all.heap - base.heap) / n,
		Goroutines: float64(all.goroutines-base.goroutines) / n,
		// Each byte between entries is sent by one entry and received by another.
		PeerBytes: 2 * float64(traffic.Peers.Bytes()) / seconds,
		LogBytes:  float64(traffic.Log.Bytes()) / seconds,
		ListBytes: float64(traffic.List.Bytes()) / seconds,
	}, nil
}

// resourceUsage is the resource usage of this process.
type resourceUsage struct {
	// processor is the CPU time used during idleDuration.
	processor  time.Duration
	heap       float64
	goroutines int
}

// measureUsage returns the resource usage of a fleet that gets no requests.
func measureUsage(ctx context.Context, entries int, traffic *dev.Traffic) (resourceUsage, error) {
	f, err := dev.Start(dev.Config{Entries: entries, Runners: idleRunners, Slots: idleSlots, Traffic: traffic})
	if err != nil {
		return resourceUsage{}, err
	}
	defer f.Stop()
	if entries > 0 {
		if err := settle(ctx, f, burstText(f)); err != nil {
			return resourceUsage{}, err
		}
	}
	if err := loop.Sleep(ctx, idleWarmUp); err != nil {
		return resourceUsage{}, err
	}
	traffic.Peers.Reset()
	traffic.Log.Reset()
	traffic.List.Reset()
	before, err := processorTime()
	if err != nil {
		return resourceUsage{}, err
	}
	if err := loop.Sleep(ctx, idleDuration); err != nil {
		return resourceUsage{}, err
	}
	after, err := processorTime()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return resourceUsage{processor: after - before, goroutines: runtime.NumGoroutine(), heap: float64(m.HeapAlloc)}, err
}

// processorTime returns the CPU time that this process has used so far.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, oops.In("experiment").With("step", "read processor time").Wrap(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
