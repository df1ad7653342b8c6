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
	// idleSettle is how long a fleet runs before it is measured, and idleTime
	// how long it is.
	idleSettle  = 5 * time.Second
	idleTime    = 20 * time.Second
	idleRunners = 50
	idleSlots   = 8
)

// Idle measures what an entry costs that has nothing to do. What the stand-ins
// use without entries is taken off; what they use to answer the entries is not.
type Idle struct{ Entries int }

// IdleResult is what one entry uses.
type IdleResult struct {
	// Processor is a share of one core, and Heap is in bytes.
	Processor  float64 `json:"processor"`
	Heap       float64 `json:"heap"`
	Goroutines float64 `json:"goroutines"`
	// PeerBytes, LogBytes and ListBytes are a second, in and out.
	PeerBytes float64 `json:"peer_bytes_s"`
	LogBytes  float64 `json:"log_bytes_s"`
	ListBytes float64 `json:"list_bytes_s"`
}

// Run runs the experiment on fleets of its own.
func (e Idle) Run(ctx context.Context) (IdleResult, error) {
	var none, traffic dev.Traffic
	base, err := used(ctx, 0, &none)
	if err != nil {
		return IdleResult{}, err
	}
	all, err := used(ctx, e.Entries, &traffic)
	if err != nil {
		return IdleResult{}, err
	}
	n := float64(e.Entries)
	seconds := n * idleTime.Seconds()
	return IdleResult{
		Processor:  (all.processor - base.processor).Seconds() / seconds,
		Heap:       (all.heap - base.heap) / n,
		Goroutines: float64(all.goroutines-base.goroutines) / n,
		// Each byte between entries is sent by one and received by another.
		PeerBytes: 2 * float64(traffic.Peers.Bytes()) / seconds,
		LogBytes:  float64(traffic.Log.Bytes()) / seconds,
		ListBytes: float64(traffic.List.Bytes()) / seconds,
	}, nil
}

// processUse is what the process uses.
type processUse struct {
	// processor is the processor time of idleTime.
	processor  time.Duration
	heap       float64
	goroutines int
}

// used returns what a fleet without requests uses.
func used(ctx context.Context, entries int, traffic *dev.Traffic) (processUse, error) {
	f, err := dev.Start(dev.Config{Entries: entries, Runners: idleRunners, Slots: idleSlots, Traffic: traffic})
	if err != nil {
		return processUse{}, err
	}
	defer f.Stop()
	if entries > 0 {
		if err := settle(ctx, f, burstText(f)); err != nil {
			return processUse{}, err
		}
	}
	if err := loop.Sleep(ctx, idleSettle); err != nil {
		return processUse{}, err
	}
	traffic.Peers.Reset()
	traffic.Log.Reset()
	traffic.List.Reset()
	before, err := processorTime()
	if err != nil {
		return processUse{}, err
	}
	if err := loop.Sleep(ctx, idleTime); err != nil {
		return processUse{}, err
	}
	after, err := processorTime()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return processUse{processor: after - before, goroutines: runtime.NumGoroutine(), heap: float64(m.HeapAlloc)}, err
}

// processorTime is what this process has used so far.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, oops.In("experiment").With("step", "read processor time").Wrap(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
