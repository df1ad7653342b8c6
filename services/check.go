package services

import (
	"slices"

	"github.com/banyanrail/banyanrail/fleet"
)

// check reports the faults that show only in the whole text.
func (r *reader) check(t *fleet.Text) {
	r.checkReferences(t)
	r.checkAddresses(t)
	r.checkCycles(t)
	r.checkBudgets(t)
	r.checkCapacity(t)
}

func (r *reader) checkReferences(t *fleet.Text) {
	for i := range t.Services {
		s := &t.Services[i]
		at := r.at(blockService, string(s.Name), attrPool)
		p, ok := t.Pool(s.Pool)
		switch {
		case s.Pool == "":
			// Reported when the block was read.
		case !ok:
			r.fault(at, "Unknown pool", "Service %q names the pool %q, which is not declared.", s.Name, s.Pool)
		case p.Spare:
			r.fault(at, "Spare pool", "Service %q names the pool %q, which is spare and serves nothing.", s.Name, s.Pool)
		}
		r.checkDependencies(t, s)
	}
	for i := range t.Instances {
		in := &t.Instances[i]
		if in.Pool == "" {
			continue
		}
		if _, ok := t.Pool(in.Pool); !ok {
			r.fault(r.at(blockInstance, string(in.ID), ""), "Unknown pool",
				"Instance %q is in the pool %q, which is not declared.", in.ID, in.Pool)
		}
	}
}

func (r *reader) checkDependencies(t *fleet.Text, s *fleet.Service) {
	at := r.at(blockService, string(s.Name), attrDependsOn)
	for i, dep := range s.DependsOn {
		if slices.Contains(s.DependsOn[:i], dep) {
			r.fault(at, "Duplicate dependency", "Service %q depends on %q twice.", s.Name, dep)
		}
		if _, ok := t.Service(dep); !ok {
			r.fault(at, "Unknown service", "Service %q depends on %q, which is not declared.", s.Name, dep)
		}
	}
}

// checkAddresses reports two instances behind one address: they would be one
// machine with two places in the fleet.
func (r *reader) checkAddresses(t *fleet.Text) {
	byAddress := make(map[string]fleet.InstanceID, len(t.Instances))
	for i := range t.Instances {
		in := &t.Instances[i]
		if in.Address == "" {
			continue
		}
		if first, dup := byAddress[in.Address]; dup {
			r.fault(r.at(blockInstance, string(in.ID), ""), "Duplicate address",
				"Instances %q and %q have the same address %s.", first, in.ID, in.Address)
			continue
		}
		byAddress[in.Address] = in.ID
	}
}

// checkCycles reports each cycle of dependencies once, at the first of its
// services in order of name.
func (r *reader) checkCycles(t *fleet.Text) {
	const (
		visiting = 1
		done     = 2
	)
	state := make(map[fleet.ServiceName]int, len(t.Services))
	var path []fleet.ServiceName
	var visit func(s *fleet.Service)
	visit = func(s *fleet.Service) {
		state[s.Name] = visiting
		path = append(path, s.Name)
		for _, name := range s.DependsOn {
			dep, ok := t.Service(name)
			switch {
			case !ok || state[name] == done:
			case state[name] == visiting:
				r.faultCycle(path[slices.Index(path, name):])
			default:
				visit(dep)
			}
		}
		path = path[:len(path)-1]
		state[s.Name] = done
	}
	for i := range t.Services {
		if state[t.Services[i].Name] != done {
			visit(&t.Services[i])
		}
	}
}

func (r *reader) faultCycle(cycle []fleet.ServiceName) {
	route := ""
	for _, name := range cycle {
		route += string(name) + " -> "
	}
	r.fault(r.at(blockService, string(cycle[0]), attrDependsOn), "Dependency cycle",
		"Services depend on each other in a cycle: %s%s.", route, cycle[0])
}
