package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/rehearsal"
)

type reportCmd struct{}

// report is what the command prints as JSON.
type report struct {
	Entry      fleet.EntryID            `json:"entry"`
	Version    fleet.Version            `json:"version"`
	Rehearsals []effect.RehearsalStatus `json:"rehearsals"`
}

func (*reportCmd) run(ctx context.Context, s *settings) error {
	st, err := newClient(s).status(ctx)
	if err != nil {
		return err
	}
	r := report{Entry: st.Entry, Version: st.Version, Rehearsals: st.Rehearsals}
	if s.JSON {
		return json.NewEncoder(s.out).Encode(r)
	}
	for i := range r.Rehearsals {
		if err := printRehearsal(s.out, &r.Rehearsals[i]); err != nil {
			return err
		}
	}
	return nil
}

// printRehearsal shows the forecast of each service beside what happened.
func printRehearsal(out io.Writer, r *effect.RehearsalStatus) error {
	observed := make(map[fleet.ServiceName]rehearsal.Observed, len(r.Observed))
	for _, o := range r.Observed {
		observed[o.Name] = o
	}
	fmt.Fprintf(out, "rehearsal %d of %s, %d instances, %s: %s %s %s\n",
		r.ID, r.Domain, len(r.Instances), lasted(r), r.Phase, r.Reason, r.Detail)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tFORECAST\tHAPPENED\tANSWERED\tFAILED\tSLOTS FORECAST\tLEAST SLOTS\tHIGHEST BURN")
	for i := range r.Forecast {
		f := &r.Forecast[i]
		o := observed[f.Name]
		fmt.Fprintf(w, "%s\t%.2f %%\t%.2f %%\t%d\t%d\t%d\t%d\t%.1f\n", f.Name, percent(f.Availability),
			percent(o.Availability()), o.Answered, o.Failed, f.Slots, o.LeastSlots, o.MaxBurn)
	}
	return w.Flush()
}
