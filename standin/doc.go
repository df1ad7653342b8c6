// Package standin serves small stand-ins for the outside systems of an entry:
// the platform (log, instance list, worker control) and endpoints. They run
// embedded in tests and in "banyanrail dev", or as processes of their own.
//
// Each keeps its state behind a reducer on a loop, like the entries do, and
// takes faults by events.
package standin
