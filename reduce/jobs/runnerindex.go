package jobs

import (
	"slices"
	"strings"

	"github.com/banyanrail/banyanrail/fleet"
)

// insertRunner adds a runner to a list that is sorted by id.
func insertRunner(list []*runner, r *runner) []*runner {
	i, _ := slices.BinarySearchFunc(list, r, func(a, b *runner) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return slices.Insert(list, i, r)
}

func deleteRunner(list []*runner, r *runner) []*runner {
	return slices.DeleteFunc(list, func(x *runner) bool { return x == r })
}

// indexRunner adds a runner to the lists of its pool and of its instance.
func (o *ownership) indexRunner(r *runner) {
	p := o.pool(r.Service)
	p.runners = insertRunner(p.runners, r)
	if r.Instance != "" {
		o.byInstance[r.Instance] = insertRunner(o.byInstance[r.Instance], r)
	}
}

// unindexRunner removes a runner from the lists of its pool and of its instance.
func (o *ownership) unindexRunner(r *runner) {
	p := o.pool(r.Service)
	p.runners = deleteRunner(p.runners, r)
	if left := deleteRunner(o.byInstance[r.Instance], r); len(left) > 0 {
		o.byInstance[r.Instance] = left
	} else {
		delete(o.byInstance, r.Instance)
	}
}

// setReport replaces a runner's report about itself.
func (o *ownership) setReport(r *runner, report *fleet.Runner) {
	if r.Service == report.Service && r.Instance == report.Instance {
		r.Runner = *report
		return
	}
	o.unindexRunner(r)
	r.Runner = *report
	o.indexRunner(r)
}
