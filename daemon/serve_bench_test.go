package daemon_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/daemon"
	"github.com/banyanrail/banyanrail/membudget"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/uber-go/tally/v4"
)

// BenchmarkServe measures a small request over one connection, without and with a budget.
func BenchmarkServe(b *testing.B) {
	budget := membudget.New(membudget.Config{Bytes: 32 << 20, Metrics: tally.NoopScope, Logger: slog.New(slog.DiscardHandler)})
	for name, port := range map[string]*membudget.Port{"unbounded": nil, "bounded": budget.Port(membudget.PortConfig{Connections: 100})} {
		b.Run(name, func(b *testing.B) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(b, err)
			address := ln.Addr().String()
			_ = ln.Close()
			ctx, stop := context.WithCancel(context.Background())
			done := make(chan error)
			go func() {
				done <- daemon.Serve(ctx, address, nil, port, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					if body, err := membudget.ReadBody(r, 1<<20); err == nil {
						body.Release()
					}
				}), 0)
			}()
			text := strings.Repeat("x", 300)
			call := func() error {
				resp, err := http.Post("http://"+address, "text/plain", strings.NewReader(text))
				if err == nil {
					err = resp.Body.Close()
				}
				return err
			}
			must.Wait(b, wait.InitialSuccess(wait.ErrorFunc(call), wait.Timeout(time.Second), wait.Gap(10*time.Millisecond)))
			b.ReportAllocs()
			for b.Loop() {
				must.NoError(b, call())
			}
			stop()
			<-done
		})
	}
}
