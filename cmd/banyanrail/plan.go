package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/services"
)

type planCmd struct {
	File string `arg:"positional,required" help:"services text"`
}

// planResult is the JSON output of plan.
type planResult struct {
	// Base is the version that the text was compared with. Publishing the text with
	// this base changes nothing that the plan does not show.
	Base    fleet.Version     `json:"base"`
	Summary services.Summary  `json:"summary"`
	Changes []services.Change `json:"changes"`
}

func (c *planCmd) run(ctx context.Context, s *settings) error {
	after, err := readText(c.File)
	if err != nil {
		return err
	}
	before, base, err := newClient(s).Text(ctx)
	if err != nil {
		return err
	}
	changes := services.Diff(before, after)
	res := planResult{Base: base, Summary: services.Summarise(changes), Changes: changes}
	if s.JSON {
		return json.NewEncoder(s.out).Encode(res)
	}
	return res.print(s.out)
}

func (r planResult) print(out io.Writer) error {
	if len(r.Changes) == 0 {
		_, err := fmt.Fprintf(out, "no changes against version %d\n", r.Base)
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ACTION\tBLOCK\tNAME\tSETTING\tBEFORE\tAFTER")
	for _, ch := range r.Changes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", ch.Action, ch.Block, ch.Name, ch.Setting, ch.Before, ch.After)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "\nagainst version %d: %s\n", r.Base, r.Summary)
	return err
}
