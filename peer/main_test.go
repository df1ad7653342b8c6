package peer_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails when a goroutine is left after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
