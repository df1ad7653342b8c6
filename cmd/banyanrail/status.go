package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/banyanrail/banyanrail/reduce/effect"
)

type statusCmd struct{}

func (*statusCmd) run(ctx context.Context, s *settings) error {
	st, err := newClient(s).status(ctx)
	if err != nil {
		return err
	}
	if s.JSON {
		return json.NewEncoder(s.out).Encode(st)
	}
	return printStatus(s.out, st)
}

func printStatus(out io.Writer, st effect.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "entry\t%s\nready\t%t\nlog\t%s\nversion\t%d\noffset\t%d\nrequests\t%d\nqueued\t%d\nrunning\t%d\n",
		st.Entry, st.Ready, logState(st), st.Version, st.Offset, st.Requests, st.Queued, st.Running)
	fmt.Fprintln(w, "\nENTRY\tVERSION")
	for _, id := range slices.Sorted(maps.Keys(st.Versions)) {
		fmt.Fprintf(w, "%s\t%d\n", id, st.Versions[id])
	}
	fmt.Fprintln(w, "\nPOOL\tINSTANCES")
	for _, name := range slices.Sorted(maps.Keys(st.Pools)) {
		fmt.Fprintf(w, "%s\t%d\n", name, st.Pools[name])
	}
	printServices(w, st.Services)
	printMeasures(w, st.Measures)
	fmt.Fprintln(w, "\nINSTANCE\tPOOL\tPHASE\tRUNNING")
	for _, in := range st.Instances {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", in.ID, in.Pool, in.Phase, in.Running)
	}
	return w.Flush()
}

func logState(st effect.Status) string {
	switch {
	case st.Gap:
		return "records have expired and no snapshot was found"
	case st.LogDown:
		return "unavailable"
	default:
		return "available"
	}
}

func printServices(w io.Writer, services []effect.ServiceStatus) {
	fmt.Fprintln(w, "\nSERVICE\tDEMAND\tOBSERVED\tANSWERED\tFAILED\tBUDGET BURNT\tBURN RATE")
	for _, v := range services {
		fmt.Fprintf(w, "%s\t%.1f\t%t\t%d\t%d\t%.1f %%\t%.1f\n",
			v.Name, v.Demand, v.Observed, v.Answered, v.Failed, percent(v.Burnt), v.Burn)
	}
}

func printMeasures(w io.Writer, m effect.Measures) {
	fmt.Fprintf(w, "\nidle instances\t%d\nbuffer cost\t%.2f for %.2f instance hours\n",
		m.Buffer.Idle, m.Buffer.Cost, m.Buffer.InstanceHours)
	fmt.Fprintf(w, "roll-outs\t%d, last %s, longest %s, %d pending\nmoves\t%d\n",
		m.RollOuts.Count, m.RollOuts.Last, m.RollOuts.Longest, m.RollOuts.Pending, m.Moves)
}
