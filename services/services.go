// Package services reads the services text: the one text in which operators
// list their services, pools, instances and members. Its format is HCL.
package services

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// file is the services text as it stands in HCL.
type file struct {
	DataCentres []dataCentre `hcl:"data_centre,block"`
	Members     []member     `hcl:"member,block"`
	Pools       []pool       `hcl:"pool,block"`
	Services    []service    `hcl:"service,block"`
	Prices      *prices      `hcl:"prices,block"`
	Maintenance *maintenance `hcl:"maintenance,block"`
}

type dataCentre struct {
	Name  string `hcl:"name,label"`
	Racks []rack `hcl:"rack,block"`
}

type rack struct {
	Name      string     `hcl:"name,label"`
	Instances []instance `hcl:"instance,block"`
}

type instance struct {
	ID      string `hcl:"id,label"`
	Address string `hcl:"address"`
	Pool    string `hcl:"pool"`
}

type member struct {
	Name   string `hcl:"name,label"`
	Weight *int   `hcl:"weight"`
	Quota  *int   `hcl:"quota"`
}

type pool struct {
	Name        string `hcl:"name,label"`
	Spare       *bool  `hcl:"spare"`
	Slots       *int   `hcl:"slots"`
	Connections *int   `hcl:"connections"`
	MaxSize     *int64 `hcl:"max_size"`
}

type service struct {
	Name         string   `hcl:"name,label"`
	Pool         string   `hcl:"pool"`
	DependsOn    []string `hcl:"depends_on,optional"`
	Availability *float64 `hcl:"availability"`
	Idempotent   *bool    `hcl:"idempotent"`
	Urgent       *bool    `hcl:"urgent"`
	TimeLimit    *string  `hcl:"time_limit"`
	MaxBody      *int64   `hcl:"max_body"`
	MaxQueue     *int     `hcl:"max_queue"`
	MaxAttempts  *int     `hcl:"max_attempts"`
	Demand       *float64 `hcl:"demand"`
}

type prices struct {
	Buffer float64 `hcl:"buffer"`
	Move   float64 `hcl:"move"`
}

type maintenance struct {
	DrainLimit *string `hcl:"drain_limit"`
	MaxStep    *int    `hcl:"max_step"`
	Probation  *string `hcl:"probation"`
}

// Defaults of the text's settings.
const (
	defaultAvailability = 0.999
	defaultMaxAttempts  = 3
	defaultMaxSize      = 100
	defaultDrainLimit   = 30 * time.Second
	defaultMaxStep      = 1
	defaultProbation    = 5 * time.Second
)

// Parse reads a services text. The error lists every fault with its line and
// column; name stands for the text in it.
func Parse(name string, src []byte) (*fleet.Text, error) {
	parsed, diags := hclsyntax.ParseConfig(src, name, hcl.InitialPos)
	if diags.HasErrors() {
		return nil, diags
	}
	var f file
	if diags := gohcl.DecodeBody(parsed.Body, nil, &f); diags.HasErrors() {
		return nil, diags
	}
	text, err := f.text()
	if err != nil {
		return nil, err
	}
	return text, nil
}
