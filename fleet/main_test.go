package fleet_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run draws the same
// sequences. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // cannot fail: rapid defines the flag, and it accepts any number
	os.Exit(m.Run())
}
