package services_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/banyanrail/banyanrail/services"
	"github.com/shoenig/test/must"
)

// planInstances is the number of instances of the plan for the next two years.
const planInstances = 27_000

// planSource returns a text with that many instances, four to a rack.
func planSource() string {
	var out strings.Builder
	out.WriteString("pool \"p\" {}\ndata_centre \"d\" {\n")
	for i := 0; i < planInstances; i += 4 {
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
	src := []byte(planSource())
	for b.Loop() {
		_, err := services.Parse("plan.hcl", src)
		must.NoError(b, err)
	}
}

func BenchmarkPrint(b *testing.B) {
	text, err := services.Parse("plan.hcl", []byte(planSource()))
	must.NoError(b, err)
	for b.Loop() {
		services.Print(text)
	}
}

func BenchmarkCheck(b *testing.B) {
	text, err := services.Parse("plan.hcl", []byte(planSource()))
	must.NoError(b, err)
	for b.Loop() {
		must.NoError(b, services.Check(text))
	}
}
