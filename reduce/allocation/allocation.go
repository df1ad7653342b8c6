// Package allocation divides the instances of a fleet among pools that together need more
// than there are.
//
// Load pattern: queues take turns at several times their mean load. A pool whose backlog
// needs the whole fleet would keep all instances until the backlog is done, while the
// turns of other queues begin and end without room.
package allocation

// Rank orders what instances are needed for, the most valuable first.
type Rank uint8

// Ranks of needs.
const (
	// RankRequired is for long-running tasks and the reserve of a pool.
	RankRequired Rank = iota
	// RankOnTime is for work that can end on time, and RankLate for work that still has
	// value.
	RankOnTime
	RankLate
	// RankRest is for all other work.
	RankRest
	ranks
)

// Need is the number of instances that a pool needs for each rank.
type Need [ranks]int

// Total returns the number of instances over all ranks.
func (n *Need) Total() int {
	total := 0
	for _, count := range n {
		total += count
	}
	return total
}

// Divide returns how many of a number of instances each pool gets. The needs of a rank are
// met before those of the next one. Within a rank the division is max-min fair: no pool
// gets more than another whose need is not met, so a small need is met beside a large
// backlog.
func Divide(supply int, needs []Need) []int {
	shares := make([]int, len(needs))
	rank := make([]int, len(needs))
	for r := range ranks {
		for i := range needs {
			rank[i] = needs[i][r]
		}
		supply -= fill(supply, rank, shares)
	}
	return shares
}

// fill adds to shares what the division of supply gives each of the needs, and returns how
// much that is in all.
func fill(supply int, needs, shares []int) int {
	used := 0
	for open := countPositive(needs); open > 0 && supply > used; open = countPositive(needs) {
		level := max(1, (supply-used)/open)
		for i, need := range needs {
			give := min(need, level, supply-used)
			needs[i] -= give
			shares[i] += give
			used += give
		}
	}
	return used
}

func countPositive(values []int) int {
	n := 0
	for _, v := range values {
		if v > 0 {
			n++
		}
	}
	return n
}
