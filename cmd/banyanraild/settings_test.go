package main

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestCheckReportsEveryFault(t *testing.T) {
	s := settings{
		Callers: "localhost:80", Operators: "127.0.0.1:8081", Peers: "127.0.0.1",
		Platform: "ftp://127.0.0.1", Grace: "soon", ClaimAppends: "0", TraceShare: "2", PeersCert: "/no/such.pem", Placement: "fair",
	}
	_, err := s.check()
	must.Error(t, err)
	for _, name := range []string{"--id", "--callers", "--peers", "--platform", "--grace", "--claim-appends", "--trace-share", "--peers-cert", "--snapshot-interval", "--placement"} {
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
