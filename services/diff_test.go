package services_test

import (
	"strings"
	"testing"

	"github.com/banyanrail/banyanrail/services"
	"github.com/shoenig/test/must"
)

func TestDiffListsWhatChanges(t *testing.T) {
	before := parse(t, valid)
	edited := strings.NewReplacer(
		`"i-1" = "10.0.0.1:80", `, ``,
		"pool    = \"other\"\n", "pool    = \"main\"\n",
		`slots = 2`, `slots = 3`,
		`member "m" { weight = 3 }`, `member "n" {}`,
		`data_centre "dc2" {}`, ``,
		`move   = 2`, `move   = 4`,
	).Replace(valid)
	edited += "maintenance {\n  max_step = 2\n}\nservice \"c\" { pool = \"other\" }\n"
	changes := services.Diff(before, parse(t, edited))
	must.Eq(t, []services.Change{
		{Action: services.ActionRemove, Block: "data_centre", Name: "dc2"},
		{Action: services.ActionMove, Block: "instance", Name: "i-3", Setting: "pool", Before: `"other"`, After: `"main"`},
		{Action: services.ActionRemove, Block: "instance", Name: "i-1"},
		{Action: services.ActionChange, Block: "pool", Name: "main", Setting: "slots", Before: "2", After: "3"},
		{Action: services.ActionAdd, Block: "service", Name: "c"},
		{Action: services.ActionAdd, Block: "member", Name: "n"},
		{Action: services.ActionRemove, Block: "member", Name: "m"},
		{Action: services.ActionChange, Block: "prices", Setting: "move", Before: "2", After: "4"},
		{Action: services.ActionChange, Block: "maintenance", Setting: "max_step", Before: "1", After: "2"},
	}, changes)
	must.Eq(t, services.Summary{Added: 2, Removed: 3, Changed: 3, Moved: 1}, services.Summarise(changes))
}

func TestDiffOfTheFirstTextAddsAll(t *testing.T) {
	text := parse(t, valid)
	sum := services.Summarise(services.Diff(nil, text))
	must.EqOp(t, 2+3+2+2+1, sum.Added)
	must.EqOp(t, 0, sum.Removed)
	must.Len(t, 0, services.Diff(text, text))
}
