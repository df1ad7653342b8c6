package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/rehearsal"
)

type reportCmd struct{}

// report is the JSON output of report.
type report struct {
	Entry      fleet.EntryID            `json:"entry"`
	Version    fleet.Version            `json:"version"`
	Measures   effect.Measures          `json:"measures"`
	Services   []effect.ServiceStatus   `json:"services"`
	Waves      []effect.WaveStatus      `json:"waves"`
	Rehearsals []effect.RehearsalStatus `json:"rehearsals"`
}

func (*reportCmd) run(ctx context.Context, s *settings) error {
	st, err := newClient(s).Status(ctx)
	if err != nil {
		return err
	}
	r := report{
		Entry: st.Entry, Version: st.Version, Measures: st.Measures,
		Services: st.Services, Waves: st.Waves, Rehearsals: st.Rehearsals,
	}
	if s.JSON {
		return json.NewEncoder(s.out).Encode(r)
	}
	return r.print(s.out)
}

func (r *report) print(out io.Writer) error {
	fmt.Fprintf(out, "%s at version %d\n", r.Entry, r.Version)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printMeasures(w, r.Measures)
	printServices(w, r.Services)
	fmt.Fprintln(w, "\nWAVE\tPHASE\tTOOK\tDONE\tFAILED\tSKIPPED")
	for i := range r.Waves {
		v := &r.Waves[i]
		fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%d\t%d\n", v.ID, v.Phase, waveDuration(v), v.Done, len(v.Failed), len(v.Skipped))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for i := range r.Rehearsals {
		fmt.Fprintln(out)
		if err := printRehearsal(out, &r.Rehearsals[i]); err != nil {
			return err
		}
	}
	return nil
}

// waveDuration returns the duration of a wave, or an empty string while it runs.
func waveDuration(v *effect.WaveStatus) string {
	if v.Ended.IsZero() {
		return ""
	}
	return v.Ended.Sub(v.Started).Round(time.Millisecond).String()
}

// printRehearsal prints the forecast of each service together with what was
// observed.
func printRehearsal(out io.Writer, r *effect.RehearsalStatus) error {
	observed := make(map[fleet.ServiceName]rehearsal.Observed, len(r.Observed))
	for _, o := range r.Observed {
		observed[o.Name] = o
	}
	fmt.Fprintf(out, "rehearsal %d of %s, %d instances, %s: %s %s %s\n",
		r.ID, r.Domain, len(r.Instances), rehearsalDuration(r), r.Phase, r.Reason, r.Detail)
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
