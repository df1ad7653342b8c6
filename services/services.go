// Package services parses, checks, compares and prints the services text, in
// which operators declare their services, pools, instances and members. Its
// format is HCL.
//
// A text is a set of named blocks. Their order has no meaning, and Parse returns
// them sorted by name. Print writes the canonical form, in which every setting is
// explicit, so that a text means the same in every release.
package services

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Defaults of the text's settings.
const (
	defaultAvailability = 0.999
	defaultMaxAttempts  = 3
	defaultMaxSize      = 100
	defaultDrainLimit   = 30 * time.Second
	defaultMaxStep      = 1
	defaultProbation    = 5 * time.Second
)

// Parse decodes and checks a services text. Its error is an *Error that lists
// every fault with the file name given as name, the line and the column.
func Parse(name string, src []byte) (*fleet.Text, error) {
	r, text, _, err := read(name, src)
	if err != nil {
		return nil, err
	}
	r.check(text)
	if r.diags.HasErrors() {
		return nil, &Error{Diagnostics: r.diags}
	}
	return text, nil
}

// Check reports, as an *Error, the faults that can only be found in a complete
// text. It is for texts that were not parsed from a single source, so the faults
// have no line or column.
func Check(text *fleet.Text) error {
	r := &reader{ranges: make(map[location]hcl.Range)}
	r.check(text)
	if r.diags.HasErrors() {
		return &Error{Diagnostics: r.diags}
	}
	return nil
}

// Fragment is a part of a services text. It holds whole blocks, but not
// necessarily the blocks that they refer to.
type Fragment struct {
	Text *fleet.Text
	// Prices and Maintenance are nil when the fragment has no such block.
	Prices      *fleet.Prices
	Maintenance *fleet.Maintenance
}

// ParseFragment decodes blocks of a services text, without the checks that need a
// complete text.
func ParseFragment(name string, src []byte) (Fragment, error) {
	r, text, content, err := read(name, src)
	if err != nil {
		return Fragment{}, err
	}
	if r.diags.HasErrors() {
		return Fragment{}, &Error{Diagnostics: r.diags}
	}
	f := Fragment{Text: text}
	if len(content.Blocks.OfType(blockPrices)) > 0 {
		f.Prices = &text.Prices
	}
	if len(content.Blocks.OfType(blockMaintenance)) > 0 {
		f.Maintenance = &text.Maintenance
	}
	return f, nil
}

// read parses and decodes a text. It fails when the text is not HCL or has numbers
// out of range; other faults are collected in the reader.
func read(name string, src []byte) (*reader, *fleet.Text, *hcl.BodyContent, error) {
	parsed, diags := hclsyntax.ParseConfig(src, name, hcl.InitialPos)
	if diags.HasErrors() {
		return nil, nil, nil, &Error{Diagnostics: diags}
	}
	if body, ok := parsed.Body.(*hclsyntax.Body); ok {
		if diags := checkNumbers(body); diags.HasErrors() {
			return nil, nil, nil, &Error{Diagnostics: diags}
		}
	}
	r := &reader{ranges: make(map[location]hcl.Range)}
	content := r.content(parsed.Body, fileSchema)
	text := r.decodeText(content)
	sortText(text)
	return r, text, content, nil
}
