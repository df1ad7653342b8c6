package services

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
)

// text maps the blocks of a text to the vocabulary types.
func (r *reader) text(content *hcl.BodyContent) *fleet.Text {
	t := &fleet.Text{Maintenance: r.maintenance(hcl.Attributes{})}
	seen := make(map[string]hcl.Range)
	for _, b := range content.Blocks {
		switch b.Type {
		case blockDataCentre:
			r.dataCentre(t, b)
		case blockMember:
			r.member(t, b)
		case blockPool:
			r.pool(t, b)
		case blockService:
			r.service(t, b)
		case blockPrices:
			r.once(seen, b)
			t.Prices = r.prices(b)
		case blockMaintenance:
			r.once(seen, b)
			t.Maintenance = r.maintenance(r.content(b.Body, maintenanceSchema).Attributes)
		}
	}
	return t
}

// once reports a second block of a type that has no name.
func (r *reader) once(seen map[string]hcl.Range, b *hcl.Block) {
	if first, dup := seen[b.Type]; dup {
		r.fault(b.DefRange, "Duplicate "+b.Type, "A %s block stands on line %d.", b.Type, first.Start.Line)
		return
	}
	seen[b.Type] = b.DefRange
}

func (r *reader) dataCentre(t *fleet.Text, b *hcl.Block) {
	content, first := r.enter(b, dataCentreSchema)
	name := fleet.DataCentre(b.Labels[0])
	if first {
		t.DataCentres = append(t.DataCentres, name)
	}
	for _, rb := range content.Blocks {
		r.rack(t, name, rb)
	}
}

// rack reads one rack: instances in the rack's own pool as a map of addresses,
// those of other pools as blocks.
func (r *reader) rack(t *fleet.Text, dc fleet.DataCentre, b *hcl.Block) {
	content := r.content(b.Body, rackSchema)
	name := b.Labels[0]
	r.declare(blockRack, string(dc)+"."+name, b.LabelRanges[0])
	in := fleet.Instance{DataCentre: dc, Rack: fleet.Rack(name)}
	in.Pool = fleet.PoolName(setting(r, content.Attributes, attrPool, ""))
	if a, ok := content.Attributes[attrInstances]; ok {
		r.instanceMap(t, in, a)
	}
	for _, ib := range content.Blocks {
		attrs := r.content(ib.Body, instanceSchema).Attributes
		in.Address = setting(r, attrs, attrAddress, "", address)
		in.Pool = fleet.PoolName(setting(r, attrs, attrPool, ""))
		r.instance(t, in, ib.Labels[0], ib.LabelRanges[0])
	}
}

func (r *reader) instanceMap(t *fleet.Text, in fleet.Instance, a *hcl.Attribute) {
	if in.Pool == "" {
		r.fault(a.NameRange, "Missing pool", "A rack with instances needs a pool.")
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
		in.Address = setting(r, attrs, attrAddress, "", address)
		r.instance(t, in, id, pair.Key.Range())
	}
}

func (r *reader) instance(t *fleet.Text, in fleet.Instance, id string, at hcl.Range) {
	if !r.declare(blockInstance, id, at) {
		return
	}
	in.ID = fleet.InstanceID(id)
	t.Instances = append(t.Instances, in)
}

func (r *reader) member(t *fleet.Text, b *hcl.Block) {
	content, first := r.enter(b, memberSchema)
	m := fleet.Member{
		Name:   fleet.MemberName(b.Labels[0]),
		Weight: setting(r, content.Attributes, attrWeight, 1, atLeast(1)),
		Quota:  setting(r, content.Attributes, attrQuota, 0, atLeast(0)),
	}
	if first {
		t.Members = append(t.Members, m)
	}
}

func (r *reader) pool(t *fleet.Text, b *hcl.Block) {
	content, first := r.enter(b, poolSchema)
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

func (r *reader) service(t *fleet.Text, b *hcl.Block) {
	content, first := r.enter(b, serviceSchema)
	attrs := content.Attributes
	svc := fleet.Service{
		Name:         fleet.ServiceName(b.Labels[0]),
		Pool:         fleet.PoolName(setting(r, attrs, attrPool, "")),
		Availability: setting(r, attrs, attrAvailability, defaultAvailability, share),
		Idempotent:   setting(r, attrs, attrIdempotent, true),
		Urgent:       setting(r, attrs, attrUrgent, false),
		TimeLimit:    r.duration(attrs, attrTimeLimit, fleet.DefaultTimeLimit),
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

func (r *reader) prices(b *hcl.Block) fleet.Prices {
	attrs := r.content(b.Body, pricesSchema).Attributes
	return fleet.Prices{
		Buffer: setting(r, attrs, attrBuffer, 0.0, atLeast(0.0)),
		Move:   setting(r, attrs, attrMove, 0.0, atLeast(0.0)),
	}
}

func (r *reader) maintenance(attrs hcl.Attributes) fleet.Maintenance {
	return fleet.Maintenance{
		DrainLimit: r.duration(attrs, attrDrainLimit, defaultDrainLimit),
		MaxStep:    setting(r, attrs, attrMaxStep, defaultMaxStep, atLeast(1)),
		Probation:  r.duration(attrs, attrProbation, defaultProbation),
	}
}
