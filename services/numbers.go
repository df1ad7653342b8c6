package services

import (
	"fmt"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

const (
	// maxExponent is the largest accepted binary exponent, that of the largest
	// float64.
	maxExponent = 1024
	// minExponent is the smallest accepted binary exponent, that of the smallest
	// positive float64.
	minExponent = -1074
)

// checkNumbers reports numbers whose exponent is out of range. Where a string is
// expected, the HCL library converts a number to decimal digits, which takes time
// quadratic in the exponent.
func checkNumbers(body *hclsyntax.Body) hcl.Diagnostics {
	return hclsyntax.VisitAll(body, func(node hclsyntax.Node) hcl.Diagnostics {
		literal, ok := node.(*hclsyntax.LiteralValueExpr)
		if !ok || isBounded(literal.Val) {
			return nil
		}
		at := literal.SrcRange
		return hcl.Diagnostics{{
			Severity: hcl.DiagError,
			Summary:  "Number out of range",
			Detail:   fmt.Sprintf("A number must lie between 2^%d and 2^%d.", minExponent, maxExponent),
			Subject:  &at,
		}}
	})
}

func isBounded(v cty.Value) bool {
	if v.IsNull() || !v.IsKnown() || v.Type() != cty.Number {
		return true
	}
	f := v.AsBigFloat()
	exponent := f.MantExp(nil)
	return f.Sign() == 0 || !f.IsInf() && exponent <= maxExponent && exponent >= minExponent
}
