package services

import (
	"slices"

	"github.com/banyanrail/banyanrail/fleet"
)

// check reports the faults that can only be found in a complete text.
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
		at := r.rangeOf(blockService, string(s.Name), attrPool)
		p, ok := t.Pool(s.Pool)
		switch {
		case s.Pool == "":
			// The missing setting was reported when the block was decoded.
		case !ok:
			r.addFault(at, "Unknown pool", "Service %q names the pool %q, which is not declared.", s.Name, s.Pool)
		case p.Spare:
			r.addFault(at, "Spare pool", "Service %q names the pool %q, which is spare and serves nothing.", s.Name, s.Pool)
		}
		r.checkDependencies(t, s)
	}
	for i := range t.Instances {
		in := &t.Instances[i]
		if in.Pool == "" {
			continue
		}
		if _, ok := t.Pool(in.Pool); !ok {
			r.addFault(r.rangeOf(blockInstance, string(in.ID), ""), "Unknown pool",
				"Instance %q is in the pool %q, which is not declared.", in.ID, in.Pool)
		}
	}
}

func (r *reader) checkDependencies(t *fleet.Text, s *fleet.Service) {
	at := r.rangeOf(blockService, string(s.Name), attrDependsOn)
	for i, dep := range s.DependsOn {
		if slices.Contains(s.DependsOn[:i], dep) {
			r.addFault(at, "Duplicate dependency", "Service %q depends on %q twice.", s.Name, dep)
		}
		if _, ok := t.Service(dep); !ok {
			r.addFault(at, "Unknown service", "Service %q depends on %q, which is not declared.", s.Name, dep)
		}
	}
}

// checkAddresses reports instances that share an address, since they would be one
// machine listed twice.
func (r *reader) checkAddresses(t *fleet.Text) {
	byAddress := make(map[string]fleet.InstanceID, len(t.Instances))
	for i := range t.Instances {
		in := &t.Instances[i]
		if in.Address == "" {
			continue
		}
		if first, dup := byAddress[in.Address]; dup {
			r.addFault(r.rangeOf(blockInstance, string(in.ID), ""), "Duplicate address",
				"Instances %q and %q have the same address %s.", first, in.ID, in.Address)
			continue
		}
		byAddress[in.Address] = in.ID
	}
}

// checkCycles reports the dependency cycles that a depth-first search in order of
// name finds, each once, at the service by which the search entered the cycle.
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
				r.addCycleFault(path[slices.Index(path, name):])
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

func (r *reader) addCycleFault(cycle []fleet.ServiceName) {
	route := ""
	for _, name := range cycle {
		route += string(name) + " -> "
	}
	r.addFault(r.rangeOf(blockService, string(cycle[0]), attrDependsOn), "Dependency cycle",
		"Services depend on each other in a cycle: %s%s.", route, cycle[0])
}
