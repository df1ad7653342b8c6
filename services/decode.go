package services

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
)

// decodeText converts the blocks of a text to the types of package fleet.
func (r *reader) decodeText(content *hcl.BodyContent) *fleet.Text {
	t := &fleet.Text{Maintenance: r.decodeMaintenance(hcl.Attributes{})}
	seen := make(map[string]hcl.Range)
	for _, b := range content.Blocks {
		switch b.Type {
		case blockDataCentre:
			r.decodeDataCentre(t, b)
		case blockMember:
			r.decodeMember(t, b)
		case blockPool:
			r.decodePool(t, b)
		case blockService:
			r.decodeService(t, b)
		case blockPrices:
			r.declareOnce(seen, b)
			t.Prices = r.decodePrices(b)
		case blockMaintenance:
			r.declareOnce(seen, b)
			t.Maintenance = r.decodeMaintenance(r.content(b.Body, maintenanceSchema).Attributes)
		}
	}
	return t
}

// declareOnce reports a second block of a type that may occur only once.
func (r *reader) declareOnce(seen map[string]hcl.Range, b *hcl.Block) {
	if first, dup := seen[b.Type]; dup {
		r.addFault(b.DefRange, "Duplicate "+b.Type, "A %s block was declared on line %d.", b.Type, first.Start.Line)
		return
	}
	seen[b.Type] = b.DefRange
}

func (r *reader) decodeDataCentre(t *fleet.Text, b *hcl.Block) {
	content, first := r.readNamedBlock(b, dataCentreSchema)
	name := fleet.DataCentre(b.Labels[0])
	if first {
		t.DataCentres = append(t.DataCentres, name)
	}
	for _, rb := range content.Blocks {
		r.decodeRack(t, name, rb)
	}
}

// decodeRack decodes a rack. Instances in the rack's own pool are listed in a map
// from id to address, those of other pools as blocks.
func (r *reader) decodeRack(t *fleet.Text, dc fleet.DataCentre, b *hcl.Block) {
	content := r.content(b.Body, rackSchema)
	name := b.Labels[0]
	r.declare(blockRack, string(dc)+"."+name, b.LabelRanges[0])
	in := fleet.Instance{DataCentre: dc, Rack: fleet.Rack(name)}
	in.Pool = fleet.PoolName(setting(r, content.Attributes, attrPool, ""))
	if a, ok := content.Attributes[attrInstances]; ok {
		r.decodeInstanceMap(t, in, a)
	}
	for _, ib := range content.Blocks {
		attrs := r.content(ib.Body, instanceSchema).Attributes
		in.Address = setting(r, attrs, attrAddress, "", validateAddress)
		in.Pool = fleet.PoolName(setting(r, attrs, attrPool, ""))
		r.decodeInstance(t, in, ib.Labels[0], ib.LabelRanges[0])
	}
}

func (r *reader) decodeInstanceMap(t *fleet.Text, in fleet.Instance, a *hcl.Attribute) {
	if in.Pool == "" {
		r.addFault(a.NameRange, "Missing pool", "A rack with instances needs a pool.")
	}
	pairs, diags := hcl.ExprMap(a.Expr)
	r.diags = append(r.diags, diags...)
	for _, pair := range pairs {
		var id string
		diags := gohcl.DecodeExpression(pair.Key, nil, &id)
		if diags.HasErrors() {
			r.diags = append(r.diags, diags...)
			continue
		}
		attrs := hcl.Attributes{attrAddress: {Name: attrAddress, Expr: pair.Value}}
		in.Address = setting(r, attrs, attrAddress, "", validateAddress)
		r.decodeInstance(t, in, id, pair.Key.Range())
	}
}

func (r *reader) decodeInstance(t *fleet.Text, in fleet.Instance, id string, at hcl.Range) {
	if !r.declare(blockInstance, id, at) {
		return
	}
	in.ID = fleet.InstanceID(id)
	t.Instances = append(t.Instances, in)
}

func (r *reader) decodeMember(t *fleet.Text, b *hcl.Block) {
	content, first := r.readNamedBlock(b, memberSchema)
	m := fleet.Member{
		Name:   fleet.MemberName(b.Labels[0]),
		Weight: setting(r, content.Attributes, attrWeight, 1, atLeast(1)),
		Quota:  setting(r, content.Attributes, attrQuota, 0, atLeast(0)),
	}
	if first {
		t.Members = append(t.Members, m)
	}
}

func (r *reader) decodePool(t *fleet.Text, b *hcl.Block) {
	content, first := r.readNamedBlock(b, poolSchema)
	attrs := content.Attributes
	p := fleet.Pool{
		Name:        fleet.PoolName(b.Labels[0]),
		Spare:       setting(r, attrs, attrSpare, false),
		Slots:       setting(r, attrs, attrSlots, fleet.DefaultSlots, atLeast(1)),
		Connections: setting(r, attrs, attrConnections, fleet.DefaultConnections, atLeast(1)),
		MaxSize:     setting(r, attrs, attrMaxSize, defaultMaxSize, atLeast[int64](1)),
	}
	if first {
		t.Pools = append(t.Pools, p)
	}
}

func (r *reader) decodeService(t *fleet.Text, b *hcl.Block) {
	content, first := r.readNamedBlock(b, serviceSchema)
	attrs := content.Attributes
	svc := fleet.Service{
		Name:         fleet.ServiceName(b.Labels[0]),
		Pool:         fleet.PoolName(setting(r, attrs, attrPool, "")),
		Availability: setting(r, attrs, attrAvailability, defaultAvailability, validateShare),
		Idempotent:   setting(r, attrs, attrIdempotent, true),
		Urgent:       setting(r, attrs, attrUrgent, false),
		TimeLimit:    r.durationSetting(attrs, attrTimeLimit, fleet.DefaultTimeLimit),
		MaxBody:      setting(r, attrs, attrMaxBody, fleet.DefaultMaxBody, atLeast[int64](1)),
		MaxQueue:     setting(r, attrs, attrMaxQueue, fleet.DefaultMaxQueue, atLeast(1)),
		MaxAttempts:  setting(r, attrs, attrMaxAttempts, defaultMaxAttempts, atLeast(1)),
		Demand:       setting(r, attrs, attrDemand, 0.0, atLeast(0.0)),
	}
	for _, dep := range setting(r, attrs, attrDependsOn, []string(nil)) {
		svc.DependsOn = append(svc.DependsOn, fleet.ServiceName(dep))
	}
	if first {
		t.Services = append(t.Services, svc)
	}
}

func (r *reader) decodePrices(b *hcl.Block) fleet.Prices {
	attrs := r.content(b.Body, pricesSchema).Attributes
	return fleet.Prices{
		Buffer: setting(r, attrs, attrBuffer, 0.0, atLeast(0.0)),
		Move:   setting(r, attrs, attrMove, 0.0, atLeast(0.0)),
	}
}

func (r *reader) decodeMaintenance(attrs hcl.Attributes) fleet.Maintenance {
	return fleet.Maintenance{
		DrainLimit: r.durationSetting(attrs, attrDrainLimit, defaultDrainLimit),
		MaxStep:    setting(r, attrs, attrMaxStep, defaultMaxStep, atLeast(1)),
		Probation:  r.durationSetting(attrs, attrProbation, defaultProbation),
	}
}
