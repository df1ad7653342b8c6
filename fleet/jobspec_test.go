package fleet_test

import (
	"strings"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

func TestInvalidJobSpecs(t *testing.T) {
	valid := func() *fleet.JobSpec {
		return &fleet.JobSpec{Text: "t", Steps: []fleet.Step{{Count: 1}, {Count: 2, After: []int{0}}}}
	}
	must.NoError(t, valid().Validate())
	for name, change := range map[string]func(*fleet.JobSpec){
		"long text":         func(s *fleet.JobSpec) { s.Text = strings.Repeat("x", fleet.MaxTextBytes+1) },
		"no steps":          func(s *fleet.JobSpec) { s.Steps = nil },
		"no tasks":          func(s *fleet.JobSpec) { s.Steps[0].Count = 0 },
		"negative tasks":    func(s *fleet.JobSpec) { s.Steps[0].Count = -3 },
		"large step":        func(s *fleet.JobSpec) { s.Steps[0].Count = fleet.MaxStepTasks + 1 },
		"many tasks":        func(s *fleet.JobSpec) { s.Steps = []fleet.Step{{Count: 9000}, {Count: 9000}, {Count: 9000}} },
		"follows itself":    func(s *fleet.JobSpec) { s.Steps[1].After = []int{1} },
		"follows a later":   func(s *fleet.JobSpec) { s.Steps[0].After = []int{1} },
		"follows none":      func(s *fleet.JobSpec) { s.Steps[1].After = []int{-1} },
		"negative needs":    func(s *fleet.JobSpec) { s.Steps[0].Needs.CPU = -1 },
		"negative estimate": func(s *fleet.JobSpec) { s.Steps[0].Estimate = -time.Second },
		"negative repeats":  func(s *fleet.JobSpec) { s.Repeats = -1 },
		"negative interval": func(s *fleet.JobSpec) { s.Interval = -time.Second },
	} {
		s := valid()
		change(s)
		must.ErrorIs(t, s.Validate(), fleet.ErrJobSpec, must.Sprint(name))
	}
}
