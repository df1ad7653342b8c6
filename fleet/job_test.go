package fleet_test

import (
	"testing"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

func TestTaskNames(t *testing.T) {
	id := fleet.TaskID{Job: "5c0e7a21d94b36f8", Occurrence: 1, Step: 2, Index: 17}
	got, err := fleet.ParseTaskID(id.String())
	must.NoError(t, err)
	must.Eq(t, id, got)
	for _, name := range []string{"", "job", "job.1.2", "job.1.2.3.4", "job.1.x.3", "job.1.2.-3", "job.1.2.99999999999999999999"} {
		_, err := fleet.ParseTaskID(name)
		must.ErrorIs(t, err, fleet.ErrTaskName, must.Sprint(name))
	}
}
