// Package entry is an entry instance as a library: the front end for callers,
// the interface for operators, and the drivers that carry out what package
// reduce decides. The daemon banyanraild only reads settings and calls it.
//
// One goroutine (package loop) owns all control state. Requests, endpoint
// calls and log access run on other goroutines, in pond pools, and talk to it
// by events.
package entry
