package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/banyanrail/banyanrail/loop"
)

const (
	// crowdClients is the number of clients of a crowd, which exceeds the places of each port
	// of an entry with maxFDs descriptors.
	crowdClients = 500
	maxFDs       = 900
	// crowdPause is the time between two writes of a client, and crowdWrites their number.
	crowdPause  = 200 * time.Millisecond
	crowdWrites = 100
)

// crowdRequests begin what the clients of a crowd send to the ports of an entry. None is
// completed.
var crowdRequests = map[int]string{
	clientPort: "POST " + prefix + "00000000000000c1 HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: 250000\r\n\r\n",
	readyPort:  "GET /ready HTTP/1.1\r\nHost: h\r\nContent-Length: 250000\r\n\r\n",
	peerPort:   "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00",
}

// holdCrowds has crowds connect to random ports of random entries, one after the other, until ctx
// ends. Their clients never complete a request and connect again when they are closed.
func (tb *testbed) holdCrowds(ctx context.Context, rng *rand.Rand) {
	ports := []int{clientPort, readyPort, peerPort}
	for ctx.Err() == nil {
		_ = loop.Sleep(ctx, time.Duration(rng.Intn(1500))*time.Millisecond)
		port := ports[rng.Intn(len(ports))]
		target := fmt.Sprintf("%s:%d", tb.entries[rng.Intn(entryCount)].ip, port)
		present, leave := context.WithTimeout(ctx, time.Duration(500+rng.Intn(3000))*time.Millisecond)
		var crowd sync.WaitGroup
		for range crowdClients {
			crowd.Go(func() {
				for present.Err() == nil {
					tb.crowdConnections.Add(holdConnection(present, target, crowdRequests[port]))
				}
			})
		}
		crowd.Wait()
		leave()
	}
}

// holdConnection sends a request that does not end until the entry closes the connection or ctx
// ends. It returns the number of connections that were open.
func holdConnection(ctx context.Context, target, request string) int64 {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", target)
	if err != nil {
		_ = loop.Sleep(ctx, crowdPause) // the process is down
		return 0
	}
	closed, end := context.WithCancel(ctx)
	defer end()
	stop := context.AfterFunc(closed, func() { _ = conn.Close() })
	defer stop()
	var reading sync.WaitGroup
	reading.Go(func() {
		_, _ = io.Copy(io.Discard, conn) // ends with the connection
		end()
	})
	_, err = io.WriteString(conn, request)
	for n := 0; err == nil && n < crowdWrites && loop.Sleep(closed, crowdPause) == nil; n++ {
		_, err = io.WriteString(conn, strings.Repeat(" ", 1200))
	}
	end()
	reading.Wait()
	return 1
}
