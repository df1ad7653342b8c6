// Package openclients tests that a crowd of clients that keep calls and connections
// open takes no more memory and file descriptors from a process than its machine has.
// Its tests start the processes of this repository on loopback addresses, one at a
// time. They check no times and no share of served requests.
package openclients
