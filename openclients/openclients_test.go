package openclients_test

import (
	"net/http"
	"testing"
)

// TestEntryHoldsOpenBodies guards against bodies that stop short of their end and fill
// the memory of an entry.
func TestEntryHoldsOpenBodies(t *testing.T) {
	for name, c := range map[string]client{
		"length at once":        withLength(entryRequest, bodyBytes, 1),
		"length piece by piece": withLength(entryRequest, bodyBytes, pieces),
		"large chunks":          chunked(entryRequest, bodyBytes, 10_000),
		"one-byte chunks":       chunked(entryRequest, bodyBytes, 1),
	} {
		t.Run(name, func(t *testing.T) {
			p := startEntry(t)
			check(t, p, crowdSize, p.clients, c, p.submit, http.StatusOK)
		})
	}
}

// TestEntryHoldsDecodedBodies guards against bodies of legal size that take a hundred
// times their size when they are decoded.
func TestEntryHoldsDecodedBodies(t *testing.T) {
	p := startEntry(t)
	check(t, p, crowdSize, p.clients, manySteps, p.submit, http.StatusOK)
}

// TestEntryHoldsOpenConnections guards against connections that hold no body and take
// the descriptors of an entry, or its memory for headers and answers.
func TestEntryHoldsOpenConnections(t *testing.T) {
	for name, c := range map[string]client{
		"idle":                idle,
		"headers without end": endlessHeaders,
		"answers not read":    unreadAnswers,
	} {
		t.Run(name, func(t *testing.T) {
			p := startEntry(t)
			check(t, p, crowdSize, p.clients, c, p.submit, http.StatusOK)
		})
	}
}

// TestOtherPortsHoldOpenConnections guards against connections to the ports for
// readiness, metrics and other entries that take the descriptors of an entry.
func TestOtherPortsHoldOpenConnections(t *testing.T) {
	for name, to := range map[string]func(*process) string{
		"ready":   func(p *process) string { return p.ready },
		"metrics": func(p *process) string { return p.metrics },
		"peers":   func(p *process) string { return p.peers },
	} {
		t.Run(name, func(t *testing.T) {
			p := startEntry(t)
			check(t, p, crowdSize, to(p), idle, p.submit, http.StatusOK)
		})
	}
}

// TestDaemonHoldsOpenBodies guards against the same bodies at a banyanraild, which takes
// larger ones.
func TestDaemonHoldsOpenBodies(t *testing.T) {
	for name, c := range map[string]client{
		"length at once":        withLength(daemonRequest, daemonBodyBytes, 1),
		"length piece by piece": withLength(daemonRequest, daemonBodyBytes, pieces),
		"large chunks":          chunked(daemonRequest, daemonBodyBytes, 10_000),
	} {
		t.Run(name, func(t *testing.T) {
			p := startDaemon(t)
			check(t, p, daemonCrowd, p.clients, c, p.callService, http.StatusNotFound)
		})
	}
}

// TestDaemonHoldsOpenConnections guards against connections that take the descriptors of
// a banyanraild, at each of its ports.
func TestDaemonHoldsOpenConnections(t *testing.T) {
	for name, to := range map[string]func(*process) string{
		"callers":   func(p *process) string { return p.clients },
		"operators": func(p *process) string { return p.ready },
		"peers":     func(p *process) string { return p.peers },
	} {
		t.Run(name, func(t *testing.T) {
			p := startDaemon(t)
			check(t, p, crowdSize, to(p), idle, p.callService, http.StatusNotFound)
		})
	}
}
