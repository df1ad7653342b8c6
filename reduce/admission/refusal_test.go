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

// TestOrderUnderOverload sorts work by what is still to be had.
func TestOrderUnderOverload(t *testing.T) {
	soon, later := start.Add(time.Second), start.Add(2*time.Second)
	inOrder := []admission.Waiting{
		{Class: admission.ClassLongRunning, Priority: 3, LatestStart: later},
		{Class: admission.ClassOnTime, LatestStart: later, Started: true},
		{Class: admission.ClassOnTime, LatestStart: soon},
		{Class: admission.ClassOnTime, LatestStart: later},
		{Class: admission.ClassOnTime, Priority: 1, LatestStart: soon},
		{Class: admission.ClassLate, LatestStart: soon},
		{Class: admission.ClassNoValue, LatestStart: soon, Started: true},
	}
	for i := range inOrder {
		must.Eq(t, 0, admission.Compare(inOrder[i], inOrder[i]))
		for j := range i {
			must.Less(t, 0, admission.Compare(inOrder[j], inOrder[i]), must.Sprint(j, i))
			must.Greater(t, 0, admission.Compare(inOrder[i], inOrder[j]), must.Sprint(i, j))
		}
	}
}
