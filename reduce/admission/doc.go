// Package admission decides how work waits, is refused and is ordered when the load is
// at its worst. Its decisions are pure: times and measurements come in, durations and
// yes or no go out. Each one names the load pattern that it answers.
package admission
