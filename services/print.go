package services

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"github.com/banyanrail/banyanrail/fleet"
)

// sortText sorts the parts of a text into canonical order.
func sortText(t *fleet.Text) {
	slices.Sort(t.DataCentres)
	slices.SortFunc(t.Services, func(a, b fleet.Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(t.Pools, func(a, b fleet.Pool) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(t.Members, func(a, b fleet.Member) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(t.Instances, func(a, b fleet.Instance) int { return cmp.Compare(a.ID, b.ID) })
}

// Print returns the canonical form of a text. Parsing it returns an equal text.
func Print(t *fleet.Text) []byte {
	return PrintFragment(Fragment{Text: t, Prices: &t.Prices, Maintenance: &t.Maintenance})
}

// PrintFragment returns the canonical form of a fragment.
func PrintFragment(f Fragment) []byte {
	var out bytes.Buffer
	printInstances(&out, f.Text)
	for i := range f.Text.Pools {
		p := &f.Text.Pools[i]
		printBlock(&out, fmt.Sprintf("%s %q", blockPool, p.Name), poolSettings(p))
	}
	for i := range f.Text.Services {
		s := &f.Text.Services[i]
		printBlock(&out, fmt.Sprintf("%s %q", blockService, s.Name), serviceSettings(s))
	}
	for i := range f.Text.Members {
		m := &f.Text.Members[i]
		printBlock(&out, fmt.Sprintf("%s %q", blockMember, m.Name), memberSettings(m))
	}
	if f.Prices != nil {
		printBlock(&out, blockPrices, priceSettings(f.Prices))
	}
	if f.Maintenance != nil {
		printBlock(&out, blockMaintenance, maintenanceSettings(f.Maintenance))
	}
	return out.Bytes()
}

// printBlock writes a block with aligned settings.
func printBlock(out *bytes.Buffer, header string, settings []namedValue) {
	width := 0
	for _, set := range settings {
		width = max(width, len(set.name))
	}
	fmt.Fprintf(out, "%s {\n", header)
	for _, set := range settings {
		fmt.Fprintf(out, "  %-*s = %s\n", width, set.name, set.value)
	}
	out.WriteString("}\n")
}

// printInstances writes the data centres with their racks and instances.
func printInstances(out *bytes.Buffer, t *fleet.Text) {
	instances := slices.Clone(t.Instances)
	slices.SortFunc(instances, func(a, b fleet.Instance) int {
		return cmp.Or(
			cmp.Compare(a.DataCentre, b.DataCentre),
			cmp.Compare(a.Rack, b.Rack),
			cmp.Compare(a.ID, b.ID))
	})
	for _, dc := range t.DataCentres {
		fmt.Fprintf(out, "data_centre %q {\n", dc)
		first, _ := slices.BinarySearchFunc(instances, dc, func(in fleet.Instance, dc fleet.DataCentre) int {
			return cmp.Compare(in.DataCentre, dc)
		})
		for rest := instances[first:]; len(rest) > 0 && rest[0].DataCentre == dc; {
			n := countSameRack(rest)
			printRack(out, rest[:n])
			rest = rest[n:]
		}
		out.WriteString("}\n")
	}
}

// countSameRack returns the number of instances at the front of a non-empty list
// that share a rack.
func countSameRack(instances []fleet.Instance) int {
	n := 1
	for n < len(instances) && instances[n].Rack == instances[0].Rack && instances[n].DataCentre == instances[0].DataCentre {
		n++
	}
	return n
}

// printRack writes a rack. The instances of its most common pool are written as a
// map, the others as blocks.
func printRack(out *bytes.Buffer, instances []fleet.Instance) {
	own := mostCommonPool(instances)
	fmt.Fprintf(out, "  rack %q {\n    pool = %q\n    instances = {\n", instances[0].Rack, own)
	for i := range instances {
		if instances[i].Pool == own {
			fmt.Fprintf(out, "      %q = %q\n", instances[i].ID, instances[i].Address)
		}
	}
	out.WriteString("    }\n")
	for i := range instances {
		in := &instances[i]
		if in.Pool != own {
			fmt.Fprintf(out, "    instance %q {\n      address = %q\n      pool    = %q\n    }\n", in.ID, in.Address, in.Pool)
		}
	}
	out.WriteString("  }\n")
}

func mostCommonPool(instances []fleet.Instance) fleet.PoolName {
	count := make(map[fleet.PoolName]int)
	best := instances[0].Pool
	for i := range instances {
		name := instances[i].Pool
		count[name]++
		if count[name] > count[best] {
			best = name
		}
	}
	return best
}
