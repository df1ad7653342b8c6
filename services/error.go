package services

import (
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

// Error lists all faults of a services text.
type Error struct {
	Diagnostics hcl.Diagnostics
}

// Fault is a fault with its position in the text.
type Fault struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Summary string `json:"summary"`
	Detail  string `json:"detail"`
}

// Error returns all faults, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Diagnostics))
	for _, d := range e.Diagnostics {
		lines = append(lines, d.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the diagnostics of the HCL library.
func (e *Error) Unwrap() error { return e.Diagnostics }

// Faults returns the faults in a form that can be encoded as JSON.
func (e *Error) Faults() []Fault {
	faults := make([]Fault, 0, len(e.Diagnostics))
	for _, d := range e.Diagnostics {
		f := Fault{Summary: d.Summary, Detail: d.Detail}
		if d.Subject != nil {
			f.Line, f.Column = d.Subject.Start.Line, d.Subject.Start.Column
		}
		faults = append(faults, f)
	}
	return faults
}

func (r *reader) addFault(at hcl.Range, summary, format string, args ...any) {
	r.diags = append(r.diags, &hcl.Diagnostic{
		Severity: hcl.DiagError,
		Summary:  summary,
		Detail:   fmt.Sprintf(format, args...),
		Subject:  &at,
	})
}
