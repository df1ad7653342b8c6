package main

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime/debug"
)

type versionCmd struct{}

// versionResult is the JSON output of version.
type versionResult struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func (*versionCmd) run(_ context.Context, s *settings) error {
	res := versionResult{Version: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		res.Version, res.Go = info.Main.Version, info.GoVersion
		for _, set := range info.Settings {
			if set.Key == "vcs.revision" {
				res.Revision = set.Value
			}
		}
	}
	if s.JSON {
		return json.NewEncoder(s.out).Encode(res)
	}
	_, err := fmt.Fprintf(s.out, "banyanrail %s %s %s\n", res.Version, res.Revision, res.Go)
	return err
}
