package allocation_test

import (
	"testing"

	"github.com/banyanrail/banyanrail/reduce/allocation"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestDivide guards against a pool with a large backlog that leaves others without
// instances, and against instances for late work while work that can be on time waits.
func TestDivide(t *testing.T) {
	onTime := func(n int) allocation.Need { return allocation.Need{allocation.RankOnTime: n} }
	for _, c := range []struct {
		name   string
		supply int
		needs  []allocation.Need
		want   []int
	}{
		{"enough for all", 100, []allocation.Need{onTime(10), onTime(20)}, []int{10, 20}},
		{"small beside large", 100, []allocation.Need{onTime(400), onTime(20)}, []int{80, 20}},
		{"two large", 100, []allocation.Need{onTime(400), onTime(300)}, []int{50, 50}},
		{"late waits", 100, []allocation.Need{{allocation.RankLate: 90}, onTime(60)}, []int{40, 60}},
		{"required first", 10, []allocation.Need{{allocation.RankRequired: 8}, onTime(60)}, []int{8, 2}},
		{"none", 0, []allocation.Need{onTime(1)}, []int{0}},
		{"fewer than pools", 1, []allocation.Need{onTime(1), onTime(1)}, []int{1, 0}},
	} {
		must.Eq(t, c.want, allocation.Divide(c.supply, c.needs), must.Sprint(c.name))
	}
}

// TestDivideUsesWhatThereIs draws needs: no pool gets more than it needs, and no instance
// is left while a need is not met.
func TestDivideUsesWhatThereIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		supply := rapid.IntRange(0, 500).Draw(t, "supply")
		needs := make([]allocation.Need, rapid.IntRange(1, 6).Draw(t, "pools"))
		total := 0
		for i := range needs {
			for r := range needs[i] {
				needs[i][r] = rapid.IntRange(0, 200).Draw(t, "need")
			}
			total += needs[i].Total()
		}
		used := 0
		for i, share := range allocation.Divide(supply, needs) {
			must.LessEq(t, needs[i].Total(), share)
			used += share
		}
		must.Eq(t, min(supply, total), used)
	})
}
