package main

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestCheckReportsEveryFault(t *testing.T) {
	s := settings{
		Callers: "localhost:80", Operators: "127.0.0.1:8081", Peers: "127.0.0.1",
		Platform: "ftp://127.0.0.1", Grace: "soon", ClaimAppends: "0", TraceShare: "2", PeersCert: "/no/such.pem", Placement: "fair",
		MemoryMB: "-1", MaxFDs: "many", ClientMB: "0",
	}
	_, err := s.check()
	must.Error(t, err)
	for _, name := range []string{"--id", "--callers", "--peers", "--platform", "--grace", "--claim-appends", "--trace-share", "--peers-cert", "--snapshot-interval", "--placement", "--memory-mb", "--max-fds", "--client-mb"} {
		must.StrContains(t, err.Error(), name+": ")
	}
	must.StrNotContains(t, err.Error(), "--operators")
}

func TestCheckAcceptsValidSettings(t *testing.T) {
	s := settings{
		ID: "entry-1", Callers: "127.0.0.1:8080", Operators: "127.0.0.1:8081", Peers: "[::1]:8082",
		Platform: "http://127.0.0.1:8090", Grace: "30s", SnapshotInterval: "1h", ClaimAppends: "30", TraceShare: "0.5", Placement: "holder",
	}
	c, err := s.check()
	must.NoError(t, err)
	must.EqOp(t, 0.5, c.traceShare)
}

// TestClientMemoryHoldsTheLargestBody guards against a setting with which no large body is
// ever served, or with which open clients take the memory of the process.
func TestClientMemoryHoldsTheLargestBody(t *testing.T) {
	s := settings{
		ID: "entry-1", Callers: "127.0.0.1:8080", Operators: "127.0.0.1:8081", Peers: "[::1]:8082",
		Platform: "http://127.0.0.1:8090", Grace: "30s", SnapshotInterval: "1h", ClaimAppends: "30", TraceShare: "0.5", Placement: "holder",
		MemoryMB: "256",
	}
	for text, valid := range map[string]bool{"": true, "31": false, "32": true, "128": true, "129": false} {
		s.ClientMB = text
		_, err := s.check()
		must.Eq(t, valid, err == nil, must.Sprint(text))
	}
}
