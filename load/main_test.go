package load_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a goroutine still runs after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
