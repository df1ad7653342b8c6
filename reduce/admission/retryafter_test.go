package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/reduce/admission"
	"github.com/shoenig/test/must"
)

// TestRefusedClientsComeBackSpread refuses a burst of clients within a second.
func TestRefusedClientsComeBackSpread(t *testing.T) {
	back := make(map[time.Duration]int)
	for n := range 1000 {
		back[admission.RetryAfter(2500*time.Millisecond, fmt.Sprintf("%016x", n))]++
	}
	must.MapLen(t, 4, back)
	for after, n := range back {
		must.Between(t, 3*time.Second, after, 6*time.Second)
		must.Between(t, 200, n, 300, must.Sprint(after))
	}
	must.GreaterEq(t, time.Second, admission.RetryAfter(0, ""))
	must.LessEq(t, 20*time.Second, admission.RetryAfter(time.Hour, "a"))
}
