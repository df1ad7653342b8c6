package main

import (
	_ "embed"
	"encoding/json"
	"io"
)

// names holds the platform's names of some fields, headers and topics, which the project's Go
// code has in platform/ only.
var names struct {
	Lasts, Deadline, Fence, Acked, Clock, Target, Patience, Operators, Runners string
}

//go:embed names.json
var namesJSON []byte

func init() {
	if err := json.Unmarshal(namesJSON, &names); err != nil {
		panic(err)
	}
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *runnerCall) UnmarshalJSON(raw []byte) error {
	type plain runnerCall
	if err := json.Unmarshal(raw, (*plain)(c)); err != nil {
		return err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return err
	}
	for name, to := range map[string]*int64{names.Deadline: &c.Deadline, names.Fence: &c.Fence, names.Acked: &c.Acked} {
		if field, ok := fields[name]; ok {
			if err := json.Unmarshal(field, to); err != nil {
				return err
			}
		}
	}
	return nil
}

func decodeCall(r io.Reader) (c runnerCall, err error) {
	err = json.NewDecoder(r).Decode(&c)
	return c, err
}

// MarshalJSON implements json.Marshaler.
func (s stepSpec) MarshalJSON() ([]byte, error) {
	type plain stepSpec
	raw, err := json.Marshal(plain(s))
	if err != nil || !s.Lasts {
		return raw, err
	}
	fields := make(map[string]any)
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, err
	}
	fields[names.Lasts] = true
	return json.Marshal(fields)
}
