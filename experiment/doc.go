// Package experiment measures policies on embedded fleets and in virtual time:
// a burst of demand, a wave of maintenance under load, and the planner's
// reserve. "banyanrail experiment" runs them.
//
// Package load generates the requests. A reducer that runs on a loop evaluates
// the effects of the entries.
package experiment
