package services

import (
	"fmt"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

const (
	// maxExponent is the largest power of two in a number, that of the largest
	// floating point number.
	maxExponent = 1024
	// minExponent is the least one.
	minExponent = -1074
)

// checkNumbers reports numbers of unbounded size. Where a string is expected,
// the HCL library writes a number in decimal digits, in a time that grows with
// the square of the exponent.
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
