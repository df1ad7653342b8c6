package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/services"
)

// publishPollInterval is the time between status polls while a version comes into
// force at the entries.
const publishPollInterval = 200 * time.Millisecond

type publishCmd struct {
	File string        `arg:"positional,required" help:"services text"`
	Base int64         `arg:"--base" default:"-1" help:"version the text was made from, as plan shows it; the version in force when absent"`
	Wait time.Duration `arg:"--wait" default:"10s" help:"longest wait until the version is in force at all entries; 0 does not wait"`
}

// publishResult is the JSON output of publish.
type publishResult struct {
	Record  fleet.RecordID `json:"record"`
	Version fleet.Version  `json:"version"`
	// Entries is the number of live entries, and InForce the number of those at
	// which the version is in force, as seen by the entry that was called.
	Entries int `json:"entries"`
	InForce int `json:"in_force"`
}

func (c *publishCmd) run(ctx context.Context, s *settings) error {
	text, err := readText(c.File)
	if err != nil {
		return err
	}
	cl := newClient(s)
	sent, err := c.send(ctx, cl, text)
	if err != nil {
		return err
	}
	res := publishResult{Record: sent.Record, Version: sent.Version}
	if c.Wait > 0 {
		if err := c.follow(ctx, s, cl, &res); err != nil {
			return err
		}
	}
	if s.JSON {
		return json.NewEncoder(s.out).Encode(res)
	}
	_, err = fmt.Fprintf(s.out, "version %d is in force\n", res.Version)
	return err
}

// send publishes the changes from the text in force. Without a text in force, or
// with a base other than the version in force, it publishes the whole text.
func (c *publishCmd) send(ctx context.Context, cl *client, text *fleet.Text) (entry.OperatorResult, error) {
	current, version, err := cl.Text(ctx)
	if err != nil {
		return entry.OperatorResult{}, err
	}
	base := fleet.Version(c.Base)
	if c.Base < 0 {
		base = version
	}
	if current == nil || base != version {
		return cl.Publish(ctx, base, services.Print(text))
	}
	return cl.PublishDelta(ctx, base, fleet.Compare(current, text))
}

// follow reports progress until the version is in force at all live entries, or
// until the wait is over.
func (c *publishCmd) follow(ctx context.Context, s *settings, cl *client, res *publishResult) error {
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	shown := -1
	for {
		st, err := cl.Status(ctx)
		if err != nil {
			return err
		}
		res.Entries, res.InForce = len(st.Versions), countInForce(st, res.Version)
		if res.InForce != shown {
			shown = res.InForce
			fmt.Fprintf(s.progress, "version %d: in force at %d of %d entries\n", res.Version, res.InForce, res.Entries)
		}
		if res.InForce == res.Entries || loop.Sleep(ctx, publishPollInterval) != nil {
			return nil
		}
	}
}

func countInForce(st effect.Status, version fleet.Version) int {
	n := 0
	for _, v := range st.Versions {
		if v >= version {
			n++
		}
	}
	return n
}
