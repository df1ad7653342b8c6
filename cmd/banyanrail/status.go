package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
)

type statusCmd struct{}

func (*statusCmd) run(ctx context.Context, s *settings) error {
	st, err := newClient(s).status(ctx)
	if err != nil {
		return err
	}
	if s.JSON {
		return json.NewEncoder(os.Stdout).Encode(st)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "entry\t%s\nready\t%t\nversion\t%d\noffset\t%d\nrequests\t%d\nqueued\t%d\nrunning\t%d\n",
		st.Entry, st.Ready, st.Version, st.Offset, st.Requests, st.Queued, st.Running)
	fmt.Fprintln(w, "\nINSTANCE\tPOOL\tRUNNING")
	for _, in := range st.Instances {
		fmt.Fprintf(w, "%s\t%s\t%d\n", in.ID, in.Pool, in.Running)
	}
	return w.Flush()
}
