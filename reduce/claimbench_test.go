package reduce_test

import (
	"runtime"
	"testing"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/claims"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// claimsAtOnce is the number of requests that share a group in the benchmarks.
const claimsAtOnce = 8

// BenchmarkClaimLifecycle runs non-idempotent requests from their arrival until
// their outcome has been read back.
func BenchmarkClaimLifecycle(b *testing.B) {
	text := permitText()
	text.Pools[0].Slots = claimsAtOnce
	c := newClaimantOf(newClaimLog(), "entry-1", text)
	id := fleet.RequestID(0)
	b.ReportAllocs()
	for b.Loop() {
		var out []effect.Effect
		for range claimsAtOnce {
			id++
			out = append(out, c.do(permit(id, keyAt(c.now, int(id))))...)
		}
		c.appendAll(append(out, c.waitForGroup()...))
		out = out[:0]
		for _, d := range effectsOf[effect.Dispatch](c.catchUp()) {
			out = append(out, c.do(finished(d.Attempt, event.AttemptAnswered))...)
		}
		c.appendAll(append(out, c.waitForGroup()...))
		c.catchUp()
		c.log.dropped += len(c.log.groups)
		c.log.groups, c.read = nil, 0
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*claimsAtOnce), "ns/request")
}

// BenchmarkRememberedKey measures the memory that one remembered key takes.
func BenchmarkRememberedKey(b *testing.B) {
	const keys = 100_000
	for b.Loop() {
		before := heapInUse()
		f := claims.NewFold()
		for i := range keys {
			scope := claims.Scope{Service: "permit", Member: "lawa", Key: keyAt(epoch, i)}
			f.Apply(epoch, claims.Positioned{Offset: fleet.Offset(i + 1), Group: claims.Group{
				ID: "entry-1-1-1", Time: epoch, Items: []claims.Item{claims.Claim{Scope: scope, Deadline: epoch}},
			}})
		}
		b.ReportMetric(float64(heapInUse()-before)/keys, "bytes/key")
		runtime.KeepAlive(f)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
