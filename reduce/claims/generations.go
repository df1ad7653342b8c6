package claims

import "time"

const (
	// fullGenerations is the number of periods that make up Retention. One more
	// generation is still being filled.
	fullGenerations = 3
	// period is the time for which one generation is filled.
	period = Retention / fullGenerations
)

// generations keeps keys for at least Retention and drops them a whole
// generation at a time, which needs no order of the keys.
type generations struct {
	// maps begins with the generation that is being filled.
	maps  []map[Scope]*KeyState
	began time.Time
}

func newGenerations() generations {
	return generations{maps: []map[Scope]*KeyState{make(map[Scope]*KeyState)}}
}

func (g *generations) get(scope Scope) *KeyState {
	for _, m := range g.maps {
		if k, ok := m[scope]; ok {
			return k
		}
	}
	return nil
}

// ensure returns the key of a scope and starts its retention anew.
func (g *generations) ensure(scope Scope) *KeyState {
	k := g.get(scope)
	if k == nil {
		k = &KeyState{}
	}
	g.maps[0][scope] = k
	return k
}

func (g *generations) rotate(now time.Time) {
	if g.began.IsZero() {
		g.began = now
	}
	for now.Sub(g.began) >= period {
		g.began = g.began.Add(period)
		keep := min(len(g.maps), fullGenerations)
		next := make([]map[Scope]*KeyState, 0, keep+1)
		next = append(next, make(map[Scope]*KeyState))
		g.maps = append(next, g.maps[:keep]...)
	}
}

// len counts a key once for each generation that holds it.
func (g *generations) len() int {
	n := 0
	for _, m := range g.maps {
		n += len(m)
	}
	return n
}
