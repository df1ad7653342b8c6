package services

import "github.com/hashicorp/hcl/v2"

// Types of blocks.
const (
	blockDataCentre  = "data_centre"
	blockRack        = "rack"
	blockInstance    = "instance"
	blockMember      = "member"
	blockPool        = "pool"
	blockService     = "service"
	blockPrices      = "prices"
	blockMaintenance = "maintenance"
)

// Settings in blocks.
const (
	attrAddress      = "address"
	attrAvailability = "availability"
	attrBuffer       = "buffer"
	attrConnections  = "connections"
	attrDemand       = "demand"
	attrDependsOn    = "depends_on"
	attrDrainLimit   = "drain_limit"
	attrIdempotent   = "idempotent"
	attrInstances    = "instances"
	attrMaxAttempts  = "max_attempts"
	attrMaxBody      = "max_body"
	attrMaxQueue     = "max_queue"
	attrMaxSize      = "max_size"
	attrMaxStep      = "max_step"
	attrMove         = "move"
	attrPool         = "pool"
	attrProbation    = "probation"
	attrQuota        = "quota"
	attrSlots        = "slots"
	attrSpare        = "spare"
	attrTimeLimit    = "time_limit"
	attrUrgent       = "urgent"
	attrWeight       = "weight"
)

var (
	nameLabel = []string{"name"}

	fileSchema = &hcl.BodySchema{Blocks: []hcl.BlockHeaderSchema{
		{Type: blockDataCentre, LabelNames: nameLabel},
		{Type: blockMember, LabelNames: nameLabel},
		{Type: blockPool, LabelNames: nameLabel},
		{Type: blockService, LabelNames: nameLabel},
		{Type: blockPrices},
		{Type: blockMaintenance},
	}}
	dataCentreSchema = &hcl.BodySchema{Blocks: []hcl.BlockHeaderSchema{{Type: blockRack, LabelNames: nameLabel}}}
	rackSchema       = &hcl.BodySchema{
		Attributes: optional(attrPool, attrInstances),
		Blocks:     []hcl.BlockHeaderSchema{{Type: blockInstance, LabelNames: nameLabel}},
	}
	instanceSchema = &hcl.BodySchema{Attributes: required(attrAddress, attrPool)}
	memberSchema   = &hcl.BodySchema{Attributes: optional(attrWeight, attrQuota)}
	poolSchema     = &hcl.BodySchema{Attributes: optional(attrSpare, attrSlots, attrConnections, attrMaxSize)}
	serviceSchema  = &hcl.BodySchema{Attributes: append(required(attrPool), optional(
		attrDependsOn, attrAvailability, attrIdempotent, attrUrgent, attrTimeLimit,
		attrMaxBody, attrMaxQueue, attrMaxAttempts, attrDemand)...)}
	pricesSchema      = &hcl.BodySchema{Attributes: required(attrBuffer, attrMove)}
	maintenanceSchema = &hcl.BodySchema{Attributes: optional(attrDrainLimit, attrMaxStep, attrProbation)}
)

func required(names ...string) []hcl.AttributeSchema {
	attrs := optional(names...)
	for i := range attrs {
		attrs[i].Required = true
	}
	return attrs
}

func optional(names ...string) []hcl.AttributeSchema {
	attrs := make([]hcl.AttributeSchema, 0, len(names))
	for _, name := range names {
		attrs = append(attrs, hcl.AttributeSchema{Name: name})
	}
	return attrs
}
