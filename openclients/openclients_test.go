package openclients_test

import "testing"

var ports = []struct {
	name  string
	start func(*testing.T) *process
	port  int
	// size is the number of clients, and bytes the size of their bodies.
	size, bytes int
	// request is the path of a gRPC call, or the first lines of an HTTP/1.1 request with a
	// number.
	send    func(request string, size int, k kind) client
	request string
}{
	{"entry clients", startEntry, clients, crowdSize, bodyBytes, body, entryRequest},
	{"entry readiness", startEntry, ready, crowdSize, bodyBytes, body, "GET /ready HTTP/1.1\r\nHost: h%d\r\n"},
	{"entry metrics", startEntry, metrics, crowdSize, bodyBytes, body, "GET /metrics HTTP/1.1\r\nHost: h%d\r\n"},
	{"entry peers", startEntry, peers, crowdSize, bodyBytes, grpcBody, "/banyanrail.peer.Jobs/Call"},
	{"daemon callers", startDaemon, clients, daemonCrowd, daemonBodyBytes, body, "POST /v1/services/none/requests HTTP/1.1\r\nHost: h%d\r\n"},
	{"daemon operators", startDaemon, ready, crowdSize, bodyBytes, body, "PUT /v1/text?base=0 HTTP/1.1\r\nHost: h%d\r\n"},
	{"daemon peers", startDaemon, peers, crowdSize, bodyBytes, grpcBody, "/banyanrail.peer.Peer/Send"},
}

// TestOpenBodies guards against bodies that stop short of their end and fill the memory of
// a process, or take its descriptors where the port keeps no bodies.
func TestOpenBodies(t *testing.T) {
	for _, to := range ports {
		for _, k := range kinds {
			t.Run(to.name+"/"+k.name, func(t *testing.T) {
				check(t, to.start(t), to.size, to.port, to.send(to.request, to.bytes, k))
			})
		}
	}
}

// TestIdleConnections guards against connections that hold no body and take the
// descriptors of a process.
func TestIdleConnections(t *testing.T) {
	for _, to := range ports {
		t.Run(to.name, func(t *testing.T) {
			check(t, to.start(t), crowdSize, to.port, idle)
		})
	}
}

// TestOtherRequests guards against bodies of legal size that take a hundred times their size
// when they are decoded, and against connections that take the memory of an entry for
// headers and answers.
func TestOtherRequests(t *testing.T) {
	for name, c := range map[string]client{"decoded bodies": manySteps, "headers without end": endlessHeaders, "answers not read": unreadAnswers} {
		t.Run(name, func(t *testing.T) {
			check(t, startEntry(t), crowdSize, clients, c)
		})
	}
}
