package fleet_test

import (
	"math"
	"math/big"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// edges are whole numbers at which calculations overflow.
var edges = []int64{
	math.MinInt64, -1 << 53, -1, 0, 1, 1000, 1 << 31, 1 << 42, 1 << 53, math.MaxInt64 / 1_000_000, math.MaxInt64/1_000_000 + 1, 253402300799999, math.MaxInt64,
}

// TestOccurrencesAreDueInOrder: an occurrence was due before the one before it, as start and
// interval were multiplied without a bound (review case 11).
func TestOccurrencesAreDueInOrder(t *testing.T) {
	for _, first := range edges {
		for _, interval := range edges[2:] {
			s := &fleet.JobSpec{FirstAt: time.UnixMilli(first), Interval: fleet.Milliseconds(max(interval, 0))}
			last := s.DueAt(0)
			must.Eq(t, first, last.UnixMilli())
			for _, n := range []int{1, 2, 1000, 1 << 31, 1 << 53, math.MaxInt} {
				at := s.DueAt(n)
				must.False(t, at.Before(last))
				last = at
				sum := new(big.Int).Mul(big.NewInt(int64(n)), big.NewInt(s.Interval.Milliseconds()))
				if sum.Add(sum, big.NewInt(first)); sum.IsInt64() && first >= 0 {
					must.Eq(t, sum.Int64(), at.UnixMilli())
				}
			}
		}
	}
}

// TestDurationsAreBounded: products and sums of durations from outside wrapped to negative ones.
func TestDurationsAreBounded(t *testing.T) {
	for _, n := range edges {
		must.Between(t, -fleet.MaxDuration, fleet.Milliseconds(n), fleet.MaxDuration)
		must.Eq(t, n > 0, fleet.Milliseconds(n) > 0)
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b := fleet.Milliseconds(rapid.SampledFrom(edges).Draw(t, "a")), fleet.Milliseconds(rapid.Int64().Draw(t, "b"))
		f := rapid.SampledFrom([]float64{0, 1, -1, 0.5, 1e300, -1e300, math.Inf(1), math.NaN()}).Draw(t, "factor")
		for _, d := range []time.Duration{fleet.AddDurations(a, b), fleet.ScaleDuration(a, f), fleet.ScaleDuration(b, f)} {
			must.Between(t, -fleet.MaxDuration, d, fleet.MaxDuration)
		}
		must.Eq(t, fleet.AddDurations(a, b) < fleet.MaxDuration && fleet.AddDurations(a, b) > -fleet.MaxDuration, (a+b).Abs() < fleet.MaxDuration)
		must.Between(t, -1<<53, fleet.WholeNumber(f), 1<<53)
	})
}
