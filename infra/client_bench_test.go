package infra_test

import (
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/banyanrail/banyanrail/bytecount"
	"github.com/banyanrail/banyanrail/infra"
	"github.com/banyanrail/banyanrail/standin"
	"github.com/shoenig/test/must"
)

// BenchmarkList reports the bytes of TCP payload, in both directions, of one read of
// the platform's list of instances.
func BenchmarkList(b *testing.B) {
	for _, size := range []int{59, 27_009} {
		for _, changes := range []bool{true, false} {
			b.Run(fmt.Sprintf("rows=%d/changed=%t", size, changes), func(b *testing.B) { benchmarkList(b, size, changes) })
		}
	}
}

func benchmarkList(b *testing.B, size int, changes bool) {
	p := standin.NewPlatform()
	go p.Run(b.Context())
	var wire bytecount.Counter
	srv := httptest.NewUnstartedServer(p)
	srv.Listener = wire.Listener(srv.Listener)
	srv.Start()
	defer srv.Close()
	lists := [2][]infra.ListedInstance{}
	for i := range size {
		row := infra.ListedInstance{ID: fmt.Sprintf("worker-%05d", i), Role: infra.RoleEndpoint, Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255)}
		lists[0] = append(lists[0], row)
		row.Leaving = i == 0
		lists[1] = append(lists[1], row)
	}
	must.NoError(b, p.SetListed(lists[1]))
	client := infra.NewClient(srv.URL)
	_, err := client.List(b.Context())
	must.NoError(b, err)
	wire.Reset()
	for i := 0; b.Loop(); i++ {
		if changes {
			must.NoError(b, p.SetListed(lists[i%2]))
		}
		_, err := client.List(b.Context())
		must.NoError(b, err)
	}
	b.ReportMetric(float64(wire.Bytes())/float64(b.N), "wire-B/op")
}
