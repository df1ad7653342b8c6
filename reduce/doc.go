// Package reduce is the decision core of banyanrail: one pure function over all
// events.
//
//	effects := reduce.Reduce(state, event)
//
// Reduce changes the state and returns effects as data. It holds no clock,
// goroutine, lock, channel, I/O or global random source. Time, seeds and
// identities arrive in events and in Config. The same events give the same
// effects, so a recorded run can be replayed.
//
// Each concern has a file in this package, or a subpackage with the types of
// its part of the state, such as requests (the callers' requests), placement
// (queues and slots), control (the fold of the control stream) and timer
// (deadlines). Package event defines the inputs and package effect the outputs.
// Package loop runs the function on one goroutine; the drivers in entry,
// endpoint and platform carry out the effects.
package reduce
