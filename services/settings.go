package services

import (
	"strconv"
	"strings"

	"github.com/banyanrail/banyanrail/fleet"
)

// namedValue is a setting with its canonical value.
type namedValue struct{ name, value string }

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func serviceSettings(s *fleet.Service) []namedValue {
	return []namedValue{
		{attrPool, strconv.Quote(string(s.Pool))},
		{attrDependsOn, nameList(s.DependsOn)},
		{attrAvailability, formatNumber(s.Availability)},
		{attrIdempotent, strconv.FormatBool(s.Idempotent)},
		{attrUrgent, strconv.FormatBool(s.Urgent)},
		{attrTimeLimit, strconv.Quote(s.TimeLimit.String())},
		{attrMaxBody, strconv.FormatInt(s.MaxBody, 10)},
		{attrMaxQueue, strconv.Itoa(s.MaxQueue)},
		{attrMaxAttempts, strconv.Itoa(s.MaxAttempts)},
		{attrDemand, formatNumber(s.Demand)},
	}
}

func nameList(names []fleet.ServiceName) string {
	quoted := make([]string, 0, len(names))
	for _, name := range names {
		quoted = append(quoted, strconv.Quote(string(name)))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}

func poolSettings(p *fleet.Pool) []namedValue {
	return []namedValue{
		{attrSpare, strconv.FormatBool(p.Spare)},
		{attrSlots, strconv.Itoa(p.Slots)},
		{attrConnections, strconv.Itoa(p.Connections)},
		{attrMaxSize, strconv.FormatInt(p.MaxSize, 10)},
	}
}

func memberSettings(m *fleet.Member) []namedValue {
	return []namedValue{
		{attrWeight, strconv.Itoa(m.Weight)},
		{attrQuota, strconv.Itoa(m.Quota)},
	}
}

func instanceSettings(in *fleet.Instance) []namedValue {
	return []namedValue{
		{attrAddress, strconv.Quote(in.Address)},
		{attrPool, strconv.Quote(string(in.Pool))},
		{blockDataCentre, strconv.Quote(string(in.DataCentre))},
		{blockRack, strconv.Quote(string(in.Rack))},
	}
}

func priceSettings(p *fleet.Prices) []namedValue {
	return []namedValue{
		{attrBuffer, formatNumber(p.Buffer)},
		{attrMove, formatNumber(p.Move)},
	}
}

func maintenanceSettings(m *fleet.Maintenance) []namedValue {
	return []namedValue{
		{attrDrainLimit, strconv.Quote(m.DrainLimit.String())},
		{attrMaxStep, strconv.Itoa(m.MaxStep)},
		{attrProbation, strconv.Quote(m.Probation.String())},
	}
}
