package reduce_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes every run draw the same sequences, unless -rapid.seed is
// given.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // rapid registers the flag, and it takes any number
	os.Exit(m.Run())
}
