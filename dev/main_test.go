package dev_test

import (
	"fmt"
	"net/http"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a goroutine still runs after all fleets have stopped.
func TestMain(m *testing.M) {
	code := m.Run()
	http.DefaultClient.CloseIdleConnections()
	if err := goleak.Find(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = max(code, 1)
	}
	os.Exit(code)
}
