// Package experiment measures policies on embedded fleets and in virtual time:
// a burst of demand, a wave of maintenance under load, and the planner's
// reserve. "banyanrail experiment" runs them.
//
// Requests come from package load; what is watched in the entries' effects is
// kept behind a reducer on a loop.
package experiment
