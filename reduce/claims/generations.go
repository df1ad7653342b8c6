package claims

import "time"

const (
	// generationsKept is the number of full generations that make up Retention.
	// Another one is being filled.
	generationsKept = 3
	// generationPeriod is how long one generation is filled.
	generationPeriod = Retention / generationsKept
)

// generations keeps keys for at least Retention. It drops keys by whole
// generations, which needs no ordering of keys by time.
type generations struct {
	// maps holds the generations, newest first. The newest is being filled.
	maps []map[Scope]*KeyState
	// newestSince is when the newest generation began.
	newestSince time.Time
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

// ensure returns the key of a scope, creating it if necessary, and restarts its
// retention.
func (g *generations) ensure(scope Scope) *KeyState {
	k := g.get(scope)
	if k == nil {
		k = &KeyState{}
	}
	g.maps[0][scope] = k
	return k
}

func (g *generations) rotate(now time.Time) {
	if g.newestSince.IsZero() {
		g.newestSince = now
	}
	for now.Sub(g.newestSince) >= generationPeriod {
		g.newestSince = g.newestSince.Add(generationPeriod)
		keep := min(len(g.maps), generationsKept)
		next := make([]map[Scope]*KeyState, 0, keep+1)
		next = append(next, make(map[Scope]*KeyState))
		g.maps = append(next, g.maps[:keep]...)
	}
}

// len returns the number of keys. A key counts once for each generation that
// contains it.
func (g *generations) len() int {
	n := 0
	for _, m := range g.maps {
		n += len(m)
	}
	return n
}
