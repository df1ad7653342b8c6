package services

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

const (
	// maxNumber is the longest number literal, in bytes.
	maxNumber = 40
	// maxExponent is the largest power of ten in a number literal.
	maxExponent = 308
)

// checkNumbers reports number literals of unbounded size. Where a string is
// expected, the HCL library writes a number in decimal digits, in a time that
// grows with the square of the exponent.
func checkNumbers(name string, src []byte) hcl.Diagnostics {
	tokens, diags := hclsyntax.LexConfig(src, name, hcl.InitialPos)
	if diags.HasErrors() {
		return diags
	}
	for _, tok := range tokens {
		if tok.Type != hclsyntax.TokenNumberLit || isNumberBounded(tok.Bytes) {
			continue
		}
		diags = append(diags, &hcl.Diagnostic{
			Severity: hcl.DiagError,
			Summary:  "Number out of range",
			Detail:   fmt.Sprintf("A number has at most %d characters and an exponent of at most %d.", maxNumber, maxExponent),
			Subject:  tok.Range.Ptr(),
		})
	}
	return diags
}

func isNumberBounded(literal []byte) bool {
	if len(literal) > maxNumber {
		return false
	}
	at := bytes.IndexAny(literal, "eE")
	if at < 0 {
		return true
	}
	exponent, err := strconv.Atoi(string(literal[at+1:]))
	return err == nil && exponent <= maxExponent && exponent >= -maxExponent
}
