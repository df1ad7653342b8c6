package admission_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/reduce/admission"
	"github.com/shoenig/test/must"
)

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
