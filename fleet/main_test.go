package fleet_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain lets every run draw the same sequences, unless -rapid.seed is given.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // the flag is there, and takes any number
	os.Exit(m.Run())
}
