// Package soak runs the real daemon as separate processes on one machine and
// injects faults from outside: a loopback proxy in front of the store, the
// runners and each entry, and signals. What runners and clients saw is then held
// against the promises of docs/design/jobs.md. It has test files only:
//
//	go test ./soak -soak.seeds 50 -soak.seed 1
package soak
