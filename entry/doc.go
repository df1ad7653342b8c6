// Package entry implements an entry instance as a library: the HTTP interfaces
// for callers and operators, and the drivers that carry out the effects of
// package reduce. The daemon banyanraild reads its settings and runs this
// package.
//
// One goroutine (package loop) owns all control state. Requests, endpoint
// calls and log access run on other goroutines, in pond pools, and post events
// to the control goroutine.
package entry
