package services_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/banyanrail/banyanrail/services"
	"github.com/shoenig/test/must"
)

// plannedInstances is the planned size of the fleet in two years.
const plannedInstances = 27_000

// plannedSource returns a text with plannedInstances instances, four to a rack.
func plannedSource() string {
	var out strings.Builder
	out.WriteString("pool \"p\" {}\ndata_centre \"d\" {\n")
	for i := 0; i < plannedInstances; i += 4 {
		fmt.Fprintf(&out, "  rack \"r%05d\" {\n    pool = \"p\"\n    instances = {\n", i)
		for j := i; j < i+4; j++ {
			fmt.Fprintf(&out, "      \"worker-%05d\" = \"10.%d.%d.%d:80\"\n", j, j>>16, j>>8&255, j&255)
		}
		out.WriteString("    }\n  }\n")
	}
	out.WriteString("}\n")
	return out.String()
}

func BenchmarkParse(b *testing.B) {
	src := []byte(plannedSource())
	for b.Loop() {
		_, err := services.Parse("plan.hcl", src)
		must.NoError(b, err)
	}
}

func BenchmarkPrint(b *testing.B) {
	text, err := services.Parse("plan.hcl", []byte(plannedSource()))
	must.NoError(b, err)
	for b.Loop() {
		services.Print(text)
	}
}

func BenchmarkCheck(b *testing.B) {
	text, err := services.Parse("plan.hcl", []byte(plannedSource()))
	must.NoError(b, err)
	for b.Loop() {
		must.NoError(b, services.Check(text))
	}
}
