package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/operator"
	"github.com/banyanrail/banyanrail/services"
)

type checkCmd struct {
	File string `arg:"positional,required" help:"services text"`
}

// checkResult is the JSON output of check.
type checkResult struct {
	File      string           `json:"file"`
	Valid     bool             `json:"valid"`
	Faults    []services.Fault `json:"faults,omitempty"`
	Services  int              `json:"services"`
	Pools     int              `json:"pools"`
	Instances int              `json:"instances"`
	Members   int              `json:"members"`
}

func (c *checkCmd) run(_ context.Context, s *settings) error {
	text, err := readText(c.File)
	res := checkResult{File: c.File, Valid: err == nil}
	var faulty *services.Error
	switch {
	case errors.As(err, &faulty):
		res.Faults = faulty.Faults()
	case err != nil:
		return err
	default:
		res.Services, res.Pools = len(text.Services), len(text.Pools)
		res.Instances, res.Members = len(text.Instances), len(text.Members)
	}
	if s.JSON {
		return errors.Join(json.NewEncoder(s.out).Encode(res), err)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%s: %d services, %d pools, %d instances, %d members\n",
		res.File, res.Services, res.Pools, res.Instances, res.Members)
	return err
}

// readText reads and checks a services text. For a text with faults it returns an
// error that wraps operator.ErrInvalid.
func readText(file string) (*fleet.Text, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	text, err := services.Parse(file, src)
	if err != nil {
		return nil, fmt.Errorf("%w text:\n%w", operator.ErrInvalid, err)
	}
	return text, nil
}
