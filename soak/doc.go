// Package soak runs the real daemon as separate processes on one machine and
// injects faults from outside: with loopback proxies in front of the store, the
// runners and each entry, and with signals. It then checks the events that runners
// and clients recorded against the guarantees of docs/design/jobs.md. The package
// has test files only:
//
//	go test ./soak -soak.seeds 50 -soak.seed 1
package soak
