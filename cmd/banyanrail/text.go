package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/services"
)

type checkCmd struct {
	File string `arg:"positional,required" help:"services text"`
}

func (c *checkCmd) run(_ context.Context, _ *settings) error {
	src, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	text, err := services.Parse(c.File, src)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d services, %d pools, %d instances, %d members\n",
		c.File, len(text.Services), len(text.Pools), len(text.Instances), len(text.Members))
	return nil
}

type publishCmd struct {
	File string `arg:"positional,required" help:"services text"`
	Base int64  `arg:"--base" default:"-1" help:"version the text was made from; the version in force when absent"`
}

func (c *publishCmd) run(ctx context.Context, s *settings) error {
	src, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	cl := newClient(s)
	base := fleet.Version(c.Base)
	if c.Base < 0 {
		st, err := cl.status(ctx)
		if err != nil {
			return err
		}
		base = st.Version
	}
	res, err := cl.publish(ctx, base, src)
	if err != nil {
		return err
	}
	if s.JSON {
		return json.NewEncoder(os.Stdout).Encode(res)
	}
	fmt.Printf("version %d is in force\n", res.Version)
	return nil
}
