package fleet_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

// The key and its time are the example of RFC 9562, appendix A.6.
func TestKeyTime(t *testing.T) {
	made, err := fleet.Key("017f22e2-79b0-7cc3-98c4-dc0c0c07398f").Time()
	must.NoError(t, err)
	must.True(t, made.Equal(time.Date(2022, 2, 22, 19, 22, 22, 0, time.UTC)))
}
