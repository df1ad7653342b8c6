package endings_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/endings"
	"github.com/shoenig/test/must"
)

func TestWorthOrder(t *testing.T) {
	silent := endings.Silent{Runner: "r", Silence: endings.OrderSilence, Held: 1, Wait: 10 * time.Second, Orderable: true}
	must.SliceLen(t, 1, endings.WorthOrder([]endings.Silent{silent}, 1))
	for name, change := range map[string]func(*endings.Silent){
		"answers":                   func(s *endings.Silent) { s.Silence = 0 },
		"silent for a moment":       func(s *endings.Silent) { s.Silence -= time.Millisecond },
		"runs may go on":            func(s *endings.Silent) { s.MayRun = true },
		"nothing waits":             func(s *endings.Silent) { s.Held = 0 },
		"the wait ends soon":        func(s *endings.Silent) { s.Wait = time.Second },
		"too many tasks are away":   func(s *endings.Silent) { s.Interrupts = true },
		"no order may be given now": func(s *endings.Silent) { s.Orderable = false },
	} {
		t.Run(name, func(t *testing.T) {
			s := silent
			change(&s)
			must.SliceEmpty(t, endings.WorthOrder([]endings.Silent{s}, 1))
		})
	}
}

// TestWorthOrderTakesThoseThatHoldMostFirst bounds the orders, and decides alike whatever the order of the runners.
func TestWorthOrderTakesThoseThatHoldMostFirst(t *testing.T) {
	s := endings.Silent{Silence: endings.OrderSilence, Held: 1, Wait: 10 * time.Second, Orderable: true}
	a, b, c, d := s, s, s, s
	a.Runner, b.Runner, c.Runner, d.Runner = "a", "b", "c", "d"
	b.Held, c.Wait = 3, 12*time.Second
	for _, list := range [][]endings.Silent{{a, b, c, d}, {d, c, b, a}} {
		var got []fleet.RunnerID
		for _, s := range endings.WorthOrder(list, 3) {
			got = append(got, s.Runner)
		}
		must.Eq(t, []fleet.RunnerID{"b", "c", "a"}, got)
	}
	must.SliceEmpty(t, endings.WorthOrder([]endings.Silent{a}, -1))
}
