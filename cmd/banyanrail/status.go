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
	fmt.Fprintln(w, "\nINSTANCE\tPOOL\tRUNNING")
	for _, in := range st.Instances {
		fmt.Fprintf(w, "%s\t%s\t%d\n", in.ID, in.Pool, in.Running)
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
