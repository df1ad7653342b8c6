package control_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every run draws the same sequences
// unless -rapid.seed is given.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // the flag exists and accepts any number
	os.Exit(m.Run())
}
