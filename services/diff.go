package services

import (
	"fmt"

	"github.com/banyanrail/banyanrail/fleet"
)

// Action says how a new text changes a block.
type Action string

// Actions.
const (
	ActionAdd    Action = "add"
	ActionRemove Action = "remove"
	ActionChange Action = "change"
	// ActionMove moves an instance to another pool.
	ActionMove Action = "move"
)

// Change is one difference between two texts.
type Change struct {
	Action Action `json:"action"`
	// Block is the type of the block and Name its name. Blocks that occur only
	// once have no name.
	Block string `json:"block"`
	Name  string `json:"name,omitempty"`
	// Setting is the changed setting, with its values Before and After.
	Setting string `json:"setting,omitempty"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
}

// Diff lists what a new text would change, in canonical order. A nil before
// stands for an empty text.
func Diff(before, after *fleet.Text) []Change {
	if before == nil {
		before = &fleet.Text{Maintenance: after.Maintenance}
	}
	d := fleet.Compare(before, after)
	var all []Change
	for _, name := range d.DataCentres {
		all = append(all, Change{Action: ActionAdd, Block: blockDataCentre, Name: string(name)})
	}
	all = append(all, removed(blockDataCentre, d.RemovedDataCentres)...)
	all = append(all, diffBlocks(blockInstance, before.Instances, d.Instances, instanceName, instanceSettings)...)
	all = append(all, removed(blockInstance, d.RemovedInstances)...)
	all = append(all, diffBlocks(blockPool, before.Pools, d.Pools, poolName, poolSettings)...)
	all = append(all, removed(blockPool, d.RemovedPools)...)
	all = append(all, diffBlocks(blockService, before.Services, d.Services, serviceName, serviceSettings)...)
	all = append(all, removed(blockService, d.RemovedServices)...)
	all = append(all, diffBlocks(blockMember, before.Members, d.Members, memberName, memberSettings)...)
	all = append(all, removed(blockMember, d.RemovedMembers)...)
	if d.Prices != nil {
		all = append(all, diffSettings(blockPrices, "", priceSettings(&before.Prices), priceSettings(d.Prices))...)
	}
	if d.Maintenance != nil {
		all = append(all, diffSettings(blockMaintenance, "", maintenanceSettings(&before.Maintenance), maintenanceSettings(d.Maintenance))...)
	}
	return all
}

func instanceName(in *fleet.Instance) string { return string(in.ID) }
func poolName(p *fleet.Pool) string          { return string(p.Name) }
func serviceName(s *fleet.Service) string    { return string(s.Name) }
func memberName(m *fleet.Member) string      { return string(m.Name) }

func removed[K ~string](block string, names []K) []Change {
	changes := make([]Change, 0, len(names))
	for _, name := range names {
		changes = append(changes, Change{Action: ActionRemove, Block: block, Name: string(name)})
	}
	return changes
}

// diffBlocks lists added blocks, and changed settings of blocks that existed
// before.
func diffBlocks[T any](block string, before, changed []T, name func(*T) string, settings func(*T) []namedValue) []Change {
	old := make(map[string]*T, len(before))
	for i := range before {
		old[name(&before[i])] = &before[i]
	}
	var changes []Change
	for i := range changed {
		id := name(&changed[i])
		was, known := old[id]
		if !known {
			changes = append(changes, Change{Action: ActionAdd, Block: block, Name: id})
			continue
		}
		changes = append(changes, diffSettings(block, id, settings(was), settings(&changed[i]))...)
	}
	return changes
}

func diffSettings(block, name string, before, after []namedValue) []Change {
	var changes []Change
	for i := range after {
		if before[i].value == after[i].value {
			continue
		}
		c := Change{
			Action:  ActionChange,
			Block:   block,
			Name:    name,
			Setting: after[i].name,
			Before:  before[i].value,
			After:   after[i].value,
		}
		if block == blockInstance && c.Setting == attrPool {
			c.Action = ActionMove
		}
		changes = append(changes, c)
	}
	return changes
}

// Summary counts changes by action.
type Summary struct {
	Added   int `json:"added"`
	Removed int `json:"removed"`
	Changed int `json:"changed"`
	Moved   int `json:"moved"`
}

// Summarise counts changes.
func Summarise(changes []Change) Summary {
	var s Summary
	for _, c := range changes {
		switch c.Action {
		case ActionAdd:
			s.Added++
		case ActionRemove:
			s.Removed++
		case ActionChange:
			s.Changed++
		case ActionMove:
			s.Moved++
		}
	}
	return s
}

// String returns the counts in a readable form.
func (s Summary) String() string {
	return fmt.Sprintf("%d to add, %d to remove, %d settings to change, %d instances to move", s.Added, s.Removed, s.Changed, s.Moved)
}
