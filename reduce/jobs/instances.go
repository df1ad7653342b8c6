package jobs

import (
	"github.com/banyanrail/banyanrail/reduce/event"
)

// instances is what the owner knows of the platform's machines.
type instances struct{}

func newInstances() instances { return instances{} }

// planner decides which pool needs instances.
type planner struct{}

func newPlanner() planner { return planner{} }

func (o *ownership) tickInstances()                          {}
func (o *ownership) onInstancesRead(event.InstancesRead)     {}
func (o *ownership) onInstanceOrdered(event.InstanceOrdered) {}
func (o *ownership) onStatusWritten(event.StatusWritten)     {}
