package codec

import (
	"encoding/json"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/services"
)

// textName stands for texts from the log in errors.
const textName = "services.hcl"

// publish holds either a whole text or what changes in the text of its base.
// Both are in the canonical form of the services text.
type publish struct {
	Base   fleet.Version `json:"base"`
	Source string        `json:"source,omitempty"`
	Delta  *delta        `json:"delta,omitempty"`
}

type delta struct {
	// Blocks holds what was added or changed.
	Blocks      string              `json:"blocks,omitempty"`
	DataCentres []fleet.DataCentre  `json:"gone_data_centres,omitempty"`
	Services    []fleet.ServiceName `json:"gone_services,omitempty"`
	Pools       []fleet.PoolName    `json:"gone_pools,omitempty"`
	Instances   []fleet.InstanceID  `json:"gone_instances,omitempty"`
	Members     []fleet.MemberName  `json:"gone_members,omitempty"`
}

func encodePublish(b control.Publish) publish {
	p := publish{Base: b.Base}
	switch {
	case b.Delta != nil:
		p.Delta = encodeDelta(b.Delta)
	case b.Text != nil:
		p.Source = string(services.Print(b.Text))
	}
	return p
}

// EncodeDelta returns the bytes of a change of a services text.
func EncodeDelta(d *fleet.Delta) ([]byte, error) { return json.Marshal(encodeDelta(d)) }

// DecodeDelta returns the change in data.
func DecodeDelta(data []byte) (*fleet.Delta, error) {
	var d delta
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, err
	}
	return decodeDelta(&d)
}

func encodeDelta(d *fleet.Delta) *delta {
	return &delta{
		Blocks: string(services.PrintFragment(services.Fragment{
			Text: &fleet.Text{
				DataCentres: dataCentres(d),
				Services:    d.Services,
				Pools:       d.Pools,
				Instances:   d.Instances,
				Members:     d.Members,
			},
			Prices:      d.Prices,
			Maintenance: d.Maintenance,
		})),
		DataCentres: d.RemovedDataCentres,
		Services:    d.RemovedServices,
		Pools:       d.RemovedPools,
		Instances:   d.RemovedInstances,
		Members:     d.RemovedMembers,
	}
}

// dataCentres returns the data centres of a delta and those of its instances,
// whose blocks hold them.
func dataCentres(d *fleet.Delta) []fleet.DataCentre {
	all := append([]fleet.DataCentre(nil), d.DataCentres...)
	seen := make(map[fleet.DataCentre]bool, len(all))
	for _, dc := range all {
		seen[dc] = true
	}
	for i := range d.Instances {
		dc := d.Instances[i].DataCentre
		if !seen[dc] {
			seen[dc] = true
			all = append(all, dc)
		}
	}
	return all
}

func decodePublish(raw json.RawMessage) (control.Body, error) {
	var p publish
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, err
	}
	if p.Delta != nil {
		d, err := decodeDelta(p.Delta)
		return control.Publish{Base: p.Base, Delta: d}, err
	}
	text, err := services.Parse(textName, []byte(p.Source))
	if err != nil {
		return nil, err
	}
	return control.Publish{Base: p.Base, Text: text}, nil
}

func decodeDelta(d *delta) (*fleet.Delta, error) {
	f, err := services.ParseFragment(textName, []byte(d.Blocks))
	if err != nil {
		return nil, err
	}
	return &fleet.Delta{
		DataCentres:        f.Text.DataCentres,
		RemovedDataCentres: d.DataCentres,
		Services:           f.Text.Services,
		RemovedServices:    d.Services,
		Pools:              f.Text.Pools,
		RemovedPools:       d.Pools,
		Instances:          f.Text.Instances,
		RemovedInstances:   d.Instances,
		Members:            f.Text.Members,
		RemovedMembers:     d.Members,
		Prices:             f.Prices,
		Maintenance:        f.Maintenance,
	}, nil
}
