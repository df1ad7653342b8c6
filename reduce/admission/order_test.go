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
		{Class: admission.ClassBeyondOnTime, Remaining: time.Second, LatestStart: later},
		{Class: admission.ClassBeyondOnTime, Remaining: 2 * time.Second, LatestStart: soon},
		{Class: admission.ClassBeyondLate, LatestStart: soon, Started: true},
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

// TestWorkBeyondTheShareComesAfterWorkWithin: what has no value left has none within the share
// either, and long-running tasks come first in any case.
func TestWorkBeyondTheShareComesAfterWorkWithin(t *testing.T) {
	must.Eq(t, admission.ClassBeyondOnTime, admission.ClassOnTime.Beyond())
	must.Eq(t, admission.ClassBeyondLate, admission.ClassLate.Beyond())
	must.Eq(t, admission.ClassNoValue, admission.ClassNoValue.Beyond())
	must.Eq(t, admission.ClassLongRunning, admission.ClassLongRunning.Beyond())
}
