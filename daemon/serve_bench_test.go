package daemon_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/daemon"
	"github.com/banyanrail/banyanrail/membudget"
	"github.com/uber-go/tally/v4"
)

// BenchmarkServe measures a small request over one connection, without and with a budget.
func BenchmarkServe(b *testing.B) {
	b.Run("unbounded", func(b *testing.B) { benchmarkServe(b, nil) })
	b.Run("bounded", func(b *testing.B) {
		budget := membudget.New(membudget.Config{Bytes: 32 << 20, Metrics: tally.NoopScope, Logger: slog.New(slog.DiscardHandler)})
		benchmarkServe(b, budget.Port(membudget.PortConfig{Connections: 100}))
	})
}

func benchmarkServe(b *testing.B, port *membudget.Port) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
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
	client := &http.Client{}
	text := strings.Repeat("x", 300)
	call := func() error {
		resp, err := client.Post("http://"+address, "text/plain", strings.NewReader(text))
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return err
	}
	for range 100 {
		if call() == nil {
			break
		}
		time.Sleep(10 * time.Millisecond) // the server does not listen yet
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := call(); err != nil {
			b.Fatal(err)
		}
	}
	client.CloseIdleConnections()
	stop()
	<-done
}
