package services_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/services"
	"github.com/shoenig/test/must"
)

func parse(t *testing.T, src string) *fleet.Text {
	t.Helper()
	text, err := services.Parse("services.hcl", []byte(src))
	must.NoError(t, err)
	return text
}

func faults(t *testing.T, src string) []services.Fault {
	t.Helper()
	_, err := services.Parse("services.hcl", []byte(src))
	var fault *services.Error
	must.True(t, errors.As(err, &fault), must.Sprintf("no faults, but %v", err))
	return fault.Faults()
}

const valid = `
data_centre "dc1" {
  rack "r1" {
    pool      = "main"
    instances = { "i-1" = "10.0.0.1:80", "i-2" = "10.0.0.2:80" }
    instance "i-3" {
      address = "10.0.0.3:80"
      pool    = "other"
    }
  }
}
data_centre "dc2" {}
pool "main" { slots = 2 }
pool "other" {}
service "a" {
  pool         = "main"
  availability = 0.99
  depends_on   = ["b"]
  time_limit   = "1.5s"
}
service "b" { pool = "other" }
member "m" { weight = 3 }
prices {
  buffer = 1.5
  move   = 2
}
`

func TestParseReadsSettingsAndDefaults(t *testing.T) {
	text := parse(t, valid)
	must.Eq(t, []fleet.Instance{
		{ID: "i-1", Address: "10.0.0.1:80", DataCentre: "dc1", Rack: "r1", Pool: "main"},
		{ID: "i-2", Address: "10.0.0.2:80", DataCentre: "dc1", Rack: "r1", Pool: "main"},
		{ID: "i-3", Address: "10.0.0.3:80", DataCentre: "dc1", Rack: "r1", Pool: "other"},
	}, text.Instances)
	a, ok := text.Service("a")
	must.True(t, ok)
	must.EqOp(t, 1500*time.Millisecond, a.TimeLimit)
	must.EqOp(t, fleet.DefaultMaxQueue, a.MaxQueue)
	must.True(t, a.Idempotent)
	must.Eq(t, fleet.Prices{Buffer: 1.5, Move: 2}, text.Prices)
}

func TestBlockOrderIsIrrelevant(t *testing.T) {
	one := parse(t, "pool \"a\" {}\npool \"b\" {}\nmember \"x\" {}\nmember \"y\" {}\n")
	two := parse(t, "member \"y\" {}\npool \"b\" {}\nmember \"x\" {}\npool \"a\" {}\n")
	must.Eq(t, one, two)
}

func TestFaultsNameLineAndColumn(t *testing.T) {
	const rack = `data_centre "d" {
  rack "r" {
    pool      = "p"
    instances = { "i" = "10.0.0.1:80" }
  }
}
pool "p" {}
`
	for _, tc := range []struct {
		name, src, summary string
		line               int
	}{
		{"syntax", `pool "p" {`, "Unclosed configuration block", 1},
		{"unknown setting", "pool \"p\" {\n  slot = 1\n}", "Unsupported argument", 2},
		{"unknown block", "pools \"p\" {}", "Unsupported block type", 1},
		{"missing setting", "service \"s\" {\n}", "Missing required argument", 1},
		{"unknown pool", "service \"s\" {\n  pool = \"none\"\n}", "Unknown pool", 2},
		{"spare pool", "pool \"p\" { spare = true }\nservice \"s\" {\n  pool = \"p\"\n}", "Spare pool", 3},
		{"unknown pool of instance", strings.Replace(rack, `pool "p" {}`, "", 1), "Unknown pool", 4},
		{"unknown service", rack + "service \"s\" {\n  pool = \"p\"\n  depends_on = [\"t\"]\n}", "Unknown service", 10},
		{"cycle", rack + "service \"s\" {\n  pool = \"p\"\n  depends_on = [\"s\"]\n}", "Dependency cycle", 10},
		{"duplicate service", rack + "service \"s\" { pool = \"p\" }\nservice \"s\" { pool = \"p\" }", "Duplicate service", 9},
		{"duplicate member", "member \"m\" {}\nmember \"m\" {}", "Duplicate member", 2},
		{"duplicate data centre", "data_centre \"d\" {}\ndata_centre \"d\" {}", "Duplicate data_centre", 2},
		{"duplicate rack", "data_centre \"d\" {\n  rack \"r\" {}\n  rack \"r\" {}\n}", "Duplicate rack", 3},
		{"instance listed twice", rack + "data_centre \"e\" {\n  rack \"r\" {\n    pool = \"p\"\n    instances = { \"i\" = \"10.0.0.2:80\" }\n  }\n}", "Duplicate instance", 11},
		{"instance in two pools", rack + "pool \"q\" {}\ndata_centre \"e\" {\n  rack \"r\" {\n    instance \"i\" {\n      address = \"10.0.0.2:80\"\n      pool = \"q\"\n    }\n  }\n}", "Duplicate instance", 11},
		{"one address twice", rack + "data_centre \"e\" {\n  rack \"r\" {\n    pool = \"p\"\n    instances = { \"j\" = \"10.0.0.1:80\" }\n  }\n}", "Duplicate address", 11},
		{"host name for address", strings.Replace(rack, "10.0.0.1:80", "runner:80", 1), "Invalid address", 4},
		{"address without port", strings.Replace(rack, "10.0.0.1:80", "10.0.0.1", 1), "Invalid address", 4},
		{"port zero", strings.Replace(rack, ":80", ":0", 1), "Invalid address", 4},
		{"rack without pool", strings.Replace(rack, "pool      = \"p\"", "", 1), "Missing pool", 4},
		{"slots", "pool \"p\" {\n  slots = 0\n}", "Invalid slots", 2},
		{"fraction of slots", "pool \"p\" {\n  slots = 1.5\n}", "Unsuitable value type", 2},
		{"weight", "member \"m\" {\n  weight = 0\n}", "Invalid weight", 2},
		{"quota", "member \"m\" {\n  quota = -1\n}", "Invalid quota", 2},
		{"availability", rack + "service \"s\" {\n  pool = \"p\"\n  availability = 1\n}", "Invalid availability", 10},
		{"duration", rack + "service \"s\" {\n  pool = \"p\"\n  time_limit = \"soon\"\n}", "Invalid time_limit", 10},
		{"duration of zero", "maintenance {\n  probation = \"0s\"\n}", "Invalid probation", 2},
		{"second prices", "prices {\n  buffer = 1\n  move = 1\n}\nprices {\n  buffer = 1\n  move = 1\n}", "Duplicate prices", 5},
		{"name", "pool \"a b\" {}", "Invalid name", 1},
		{"number without bound", "pool \"p\" {\n  slots = 1e999999999\n}", "Number out of range", 2},
		{"number without bound in a string", "pool \"p\" {\n  slots = \"${1e999999999}\"\n}", "Number out of range", 2},
		{"number of many digits", "pool \"p\" {\n  slots = 1" + strings.Repeat("0", 400) + "\n}", "Number out of range", 2},
		{"unsupported budget", rack + "service \"t\" { pool = \"p\" }\nservice \"s\" {\n  pool = \"p\"\n  depends_on = [\"t\"]\n  availability = 0.9999\n}", "Unsupported availability", 12},
		{"capacity", rack + "service \"s\" {\n  pool = \"p\"\n  demand = 1\n}", "Capacity cannot be met", 7},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := faults(t, tc.src)
			must.Len(t, 1, got, must.Sprintf("%+v", got))
			must.EqOp(t, tc.summary, got[0].Summary)
			must.EqOp(t, tc.line, got[0].Line)
			must.Positive(t, got[0].Column)
		})
	}
}

func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	got := faults(t, `
pool "p" { slots = -1 }
member "m" { weight = 0 }
service "a" {
  pool       = "none"
  depends_on = ["b", "gone"]
  time_limit = "x"
}
service "b" {
  pool       = "p"
  depends_on = ["a"]
}
`)
	must.Len(t, 6, got, must.Sprintf("%+v", got))
}

func TestSpareInstancesCountTowardsCapacity(t *testing.T) {
	const src = `
data_centre "a" {
  rack "r" {
    pool      = "p"
    instances = { "p-1" = "10.0.0.1:80" }
  }
}
data_centre "b" {
  rack "r" {
    pool      = "s"
    instances = { "s-1" = "10.0.1.1:80" }
  }
}
pool "p" { slots = 4 }
pool "s" { spare = true }
service "x" {
  pool   = "p"
  demand = 4
}
`
	parse(t, src)
	got := faults(t, strings.Replace(src, "demand = 4", "demand = 5", 1))
	must.EqOp(t, "Capacity cannot be met", got[0].Summary)
}

func TestPrintedTextParsesToAnEqualText(t *testing.T) {
	text := parse(t, valid)
	printed := services.Print(text)
	again, err := services.Parse("printed.hcl", printed)
	must.NoError(t, err)
	must.Eq(t, text, again)
	must.EqOp(t, string(printed), string(services.Print(again)))
}

func TestExamples(t *testing.T) {
	for _, name := range []string{"lawa.hcl", "chaudhry.hcl"} {
		t.Run(name, func(t *testing.T) {
			src, err := os.ReadFile(filepath.Join("..", "examples", name))
			must.NoError(t, err)
			text := parse(t, string(src))
			must.Len(t, 5, text.Services)
			must.Len(t, 4, text.DataCentres)
			size := make(map[fleet.PoolName]int)
			racks := make(map[string]int)
			for _, in := range text.Instances {
				size[in.Pool]++
				racks[string(in.DataCentre)+"/"+string(in.Rack)]++
			}
			for _, s := range text.Services {
				must.Between(t, 8, size[s.Pool], 12)
			}
			must.EqOp(t, 8, size["spare"])
			for _, n := range racks {
				must.LessEq(t, 4, n)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`pool "p" { slots = 1e2 }`))
	f.Add([]byte("prices {\n  buffer = 1e300\n  move = 0.1\n}"))
	f.Add([]byte(`data_centre "d" { rack "r" { instances = { (null) = 1 } } }`))
	f.Add([]byte(`service "s" { depends_on = null }`))
	f.Add([]byte(`pool "p" { slots = 1e999999999 }`))
	f.Fuzz(func(t *testing.T, src []byte) {
		text, err := services.Parse("fuzz.hcl", src)
		if err != nil {
			return
		}
		again, err := services.Parse("printed.hcl", services.Print(text))
		must.NoError(t, err)
		must.Eq(t, text, again)
	})
}
