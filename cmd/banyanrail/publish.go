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

// followInterval is the time between looks at how far a version has come.
const followInterval = 200 * time.Millisecond

type publishCmd struct {
	File string        `arg:"positional,required" help:"services text"`
	Base int64         `arg:"--base" default:"-1" help:"version the text was made from, as plan shows it; the version in force when absent"`
	Wait time.Duration `arg:"--wait" default:"10s" help:"longest wait until the version is in force at all entries; 0 does not wait"`
}

// publishResult is the JSON of a publish.
type publishResult struct {
	Record  fleet.RecordID `json:"record"`
	Version fleet.Version  `json:"version"`
	// Entries is the number of entries alive and InForce that of those which
	// have the version, as the asked entry sees them.
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

// send publishes what changes against the text in force. Without one, or when
// another version is asked for as the base, the whole text is sent.
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

// follow waits until all entries alive have the version, and reports progress.
func (c *publishCmd) follow(ctx context.Context, s *settings, cl *client, res *publishResult) error {
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	shown := -1
	for {
		st, err := cl.Status(ctx)
		if err != nil {
			return err
		}
		res.Entries, res.InForce = len(st.Versions), inForce(st, res.Version)
		if res.InForce != shown {
			shown = res.InForce
			fmt.Fprintf(s.progress, "version %d: in force at %d of %d entries\n", res.Version, res.InForce, res.Entries)
		}
		if res.InForce == res.Entries || loop.Sleep(ctx, followInterval) != nil {
			return nil
		}
	}
}

func inForce(st effect.Status, version fleet.Version) int {
	n := 0
	for _, v := range st.Versions {
		if v >= version {
			n++
		}
	}
	return n
}
