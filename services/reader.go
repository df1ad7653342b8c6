package services

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
)

// reader decodes blocks and collects their faults.
type reader struct {
	diags  hcl.Diagnostics
	ranges map[location]hcl.Range
}

// location identifies a block, or a setting in a block.
type location struct{ block, name, attr string }

// validName restricts names to characters that are safe in URLs, headers and
// metrics.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func (r *reader) content(body hcl.Body, schema *hcl.BodySchema) *hcl.BodyContent {
	content, diags := body.Content(schema)
	r.diags = append(r.diags, diags...)
	return content
}

// readNamedBlock returns the content of a named block and records the ranges of
// the block and its settings. It returns false when a block of this type and name
// was declared before.
func (r *reader) readNamedBlock(b *hcl.Block, schema *hcl.BodySchema) (*hcl.BodyContent, bool) {
	name := b.Labels[0]
	content := r.content(b.Body, schema)
	if !r.declare(b.Type, name, b.LabelRanges[0]) {
		return content, false
	}
	for attr, a := range content.Attributes {
		r.ranges[location{b.Type, name, attr}] = a.Range
	}
	return content, true
}

// declare records the range of a block's name. It reports a fault and returns
// false when the name was declared before. An invalid name is reported too.
func (r *reader) declare(block, name string, at hcl.Range) bool {
	if !validName.MatchString(name) {
		r.addFault(at, "Invalid name", "The name %q of a %s must be 1 to 63 letters, digits, dots, hyphens or underscores, and start with a letter or digit.", name, block)
	}
	key := location{block: block, name: name}
	if first, dup := r.ranges[key]; dup {
		r.addFault(at, "Duplicate "+block, "A %s %q was declared on line %d.", block, name, first.Start.Line)
		return false
	}
	r.ranges[key] = at
	return true
}

// rangeOf returns the range of a setting, or that of its block when the setting
// is absent.
func (r *reader) rangeOf(block, name, attr string) hcl.Range {
	if rng, ok := r.ranges[location{block, name, attr}]; ok {
		return rng
	}
	return r.ranges[location{block: block, name: name}]
}

// validator describes what is wrong with a value. It returns an empty string for a
// valid one.
type validator[T any] func(T) string

// setting returns the value of a setting, or its default when it is absent or
// invalid.
func setting[T any](r *reader, attrs hcl.Attributes, name string, def T, validators ...validator[T]) T {
	a, ok := attrs[name]
	if !ok {
		return def
	}
	var v T
	if diags := gohcl.DecodeExpression(a.Expr, nil, &v); diags.HasErrors() {
		r.diags = append(r.diags, diags...)
		return def
	}
	for _, validate := range validators {
		if problem := validate(v); problem != "" {
			r.addFault(a.Expr.Range(), "Invalid "+name, "%s: %s.", name, problem)
			return def
		}
	}
	return v
}

func (r *reader) durationSetting(attrs hcl.Attributes, name string, def time.Duration) time.Duration {
	text := setting(r, attrs, name, def.String(), func(v string) string {
		d, err := time.ParseDuration(v)
		switch {
		case err != nil:
			return fmt.Sprintf("%q is not a duration such as 2.5s", v)
		case d <= 0:
			return fmt.Sprintf("%s is not positive", v)
		default:
			return ""
		}
	})
	d, err := time.ParseDuration(text)
	if err != nil {
		return def
	}
	return d
}

func atLeast[T int | int64 | float64](low T) validator[T] {
	return func(v T) string {
		if v < low || math.IsInf(float64(v), 0) {
			return fmt.Sprintf("%v is not a finite number of at least %v", v, low)
		}
		return ""
	}
}

func validateShare(v float64) string {
	if v <= 0 || v >= 1 {
		return fmt.Sprintf("%v is not between 0 and 1", v)
	}
	return ""
}

func validateAddress(v string) string {
	ap, err := netip.ParseAddrPort(v)
	if err != nil || ap.Port() == 0 || ap.String() != v {
		return fmt.Sprintf("%q is not an IP address and port such as 10.0.0.1:8080", v)
	}
	return ""
}
