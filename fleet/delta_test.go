package fleet_test

import (
	"fmt"
	"testing"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// drawText draws a small text. Its items are ordered by name, like those of a
// parsed text.
func drawText(t *rapid.T) *fleet.Text {
	text := &fleet.Text{Prices: fleet.Prices{Move: float64(rapid.IntRange(0, 1).Draw(t, "move"))}}
	for i := range 6 {
		if rapid.Bool().Draw(t, "dc") {
			text.DataCentres = append(text.DataCentres, fleet.DataCentre(fmt.Sprint("dc", i)))
		}
		if rapid.Bool().Draw(t, "service") {
			text.Services = append(text.Services, fleet.Service{
				Name:      fleet.ServiceName(fmt.Sprint("s", i)),
				MaxQueue:  rapid.IntRange(1, 2).Draw(t, "queue"),
				DependsOn: rapid.SliceOfN(rapid.SampledFrom([]fleet.ServiceName{"x", "y"}), 1, 2).Draw(t, "deps"),
			})
		}
		if rapid.Bool().Draw(t, "pool") {
			text.Pools = append(text.Pools, fleet.Pool{Name: fleet.PoolName(fmt.Sprint("p", i)), Slots: rapid.IntRange(1, 2).Draw(t, "slots")})
		}
		if rapid.Bool().Draw(t, "instance") {
			text.Instances = append(text.Instances, fleet.Instance{
				ID: fleet.InstanceID(fmt.Sprint("i", i)), Pool: rapid.SampledFrom([]fleet.PoolName{"a", "b"}).Draw(t, "in"),
			})
		}
		if rapid.Bool().Draw(t, "member") {
			text.Members = append(text.Members, fleet.Member{Name: fleet.MemberName(fmt.Sprint("m", i)), Weight: rapid.IntRange(1, 2).Draw(t, "weight")})
		}
	}
	return text
}

func TestWithAppliesComparedDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawText(t), drawText(t)
		must.Eq(t, after, before.With(fleet.Compare(before, after)))
		must.Eq(t, &fleet.Delta{}, fleet.Compare(after, after))
	})
}

func TestWithLeavesOriginalTextUnchanged(t *testing.T) {
	before := &fleet.Text{Members: []fleet.Member{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}}
	after := before.With(&fleet.Delta{Members: []fleet.Member{{Name: "b", Weight: 2}}, RemovedMembers: []fleet.MemberName{"a"}})
	must.Eq(t, []fleet.Member{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}, before.Members)
	must.Eq(t, []fleet.Member{{Name: "b", Weight: 2}}, after.Members)
}
