package codec

import (
	"encoding/json"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/services"
)

// textName is the file name in errors of texts that were read from the log.
const textName = "services.hcl"

// publish holds either a whole text or a delta against the text of version Base.
// Both are in the canonical form of the services text.
type publish struct {
	Base   fleet.Version `json:"base"`
	Source string        `json:"source,omitempty"`
	Delta  *delta        `json:"delta,omitempty"`
}

type delta struct {
	// Blocks holds the blocks that were added or changed.
	Blocks             string              `json:"blocks,omitempty"`
	RemovedDataCentres []fleet.DataCentre  `json:"gone_data_centres,omitempty"`
	RemovedServices    []fleet.ServiceName `json:"gone_services,omitempty"`
	RemovedPools       []fleet.PoolName    `json:"gone_pools,omitempty"`
	RemovedInstances   []fleet.InstanceID  `json:"gone_instances,omitempty"`
	RemovedMembers     []fleet.MemberName  `json:"gone_members,omitempty"`
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

// EncodeDelta returns the encoded change of a services text.
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
		RemovedDataCentres: d.RemovedDataCentres,
		RemovedServices:    d.RemovedServices,
		RemovedPools:       d.RemovedPools,
		RemovedInstances:   d.RemovedInstances,
		RemovedMembers:     d.RemovedMembers,
	}
}

// dataCentres returns the data centres of a delta and those of its instances,
// since the canonical form has instances inside the blocks of data centres.
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
		RemovedDataCentres: d.RemovedDataCentres,
		Services:           f.Text.Services,
		RemovedServices:    d.RemovedServices,
		Pools:              f.Text.Pools,
		RemovedPools:       d.RemovedPools,
		Instances:          f.Text.Instances,
		RemovedInstances:   d.RemovedInstances,
		Members:            f.Text.Members,
		RemovedMembers:     d.RemovedMembers,
		Prices:             f.Prices,
		Maintenance:        f.Maintenance,
	}, nil
}
