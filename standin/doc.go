// Package standin implements stand-ins for the external systems that an entry
// uses: the platform (log, instance list, worker control), endpoints, runners and
// the store. They run embedded in tests and in "banyanrail dev", or, for the
// platform and endpoints, as separate processes.
//
// All but the store keep their state in a reducer on a loop, as entries do, and
// receive faults as events.
package standin
