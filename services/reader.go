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

// reader decodes blocks and collects all faults on the way.
type reader struct {
	diags  hcl.Diagnostics
	places map[place]hcl.Range
}

// place names a block, or a setting in it.
type place struct{ block, name, attr string }

// Names appear in URLs, headers and metrics.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func (r *reader) content(body hcl.Body, schema *hcl.BodySchema) *hcl.BodyContent {
	content, diags := body.Content(schema)
	r.diags = append(r.diags, diags...)
	return content
}

// enter notes where a named block stands and reads what is in it. It returns
// false when a block of this type and name came before.
func (r *reader) enter(b *hcl.Block, schema *hcl.BodySchema) (*hcl.BodyContent, bool) {
	name := b.Labels[0]
	content := r.content(b.Body, schema)
	if !r.declare(b.Type, name, b.LabelRanges[0]) {
		return content, false
	}
	for attr, a := range content.Attributes {
		r.places[place{b.Type, name, attr}] = a.Range
	}
	return content, true
}

// declare notes a name once and reports it when it came before.
func (r *reader) declare(block, name string, at hcl.Range) bool {
	if !validName.MatchString(name) {
		r.fault(at, "Invalid name", "The name %q of a %s must be 1 to 63 letters, digits, dots, hyphens or underscores, and start with a letter or digit.", name, block)
	}
	key := place{block: block, name: name}
	if first, dup := r.places[key]; dup {
		r.fault(at, "Duplicate "+block, "A %s %q was declared on line %d.", block, name, first.Start.Line)
		return false
	}
	r.places[key] = at
	return true
}

// at returns the place of a setting, or that of its block when the setting is
// absent.
func (r *reader) at(block, name, attr string) hcl.Range {
	if rng, ok := r.places[place{block, name, attr}]; ok {
		return rng
	}
	return r.places[place{block: block, name: name}]
}

// rule returns what is wrong with a value, or an empty string.
type rule[T any] func(T) string

// setting reads a setting, or returns its default when it is absent or faulty.
func setting[T any](r *reader, attrs hcl.Attributes, name string, def T, rules ...rule[T]) T {
	a, ok := attrs[name]
	if !ok {
		return def
	}
	var v T
	if diags := gohcl.DecodeExpression(a.Expr, nil, &v); diags.HasErrors() {
		r.diags = append(r.diags, diags...)
		return def
	}
	for _, broken := range rules {
		if problem := broken(v); problem != "" {
			r.fault(a.Expr.Range(), "Invalid "+name, "%s: %s.", name, problem)
			return def
		}
	}
	return v
}

func (r *reader) duration(attrs hcl.Attributes, name string, def time.Duration) time.Duration {
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

func atLeast[T int | int64 | float64](low T) rule[T] {
	return func(v T) string {
		if v < low || math.IsInf(float64(v), 0) {
			return fmt.Sprintf("%v is not a finite number of at least %v", v, low)
		}
		return ""
	}
}

func share(v float64) string {
	if v <= 0 || v >= 1 {
		return fmt.Sprintf("%v is not between 0 and 1", v)
	}
	return ""
}

func address(v string) string {
	ap, err := netip.ParseAddrPort(v)
	if err != nil || ap.Port() == 0 || ap.String() != v {
		return fmt.Sprintf("%q is not an IP address and port such as 10.0.0.1:8080", v)
	}
	return ""
}
