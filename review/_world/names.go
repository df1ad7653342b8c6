package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// namesFile maps words of this project to names of the users' protocol, which stand in no
// Go file outside the platform's folder.
//
//go:embed names.txt
var namesFile string

var names = readNames()

func readNames() map[string]string {
	out := make(map[string]string)
	for _, line := range strings.Split(strings.TrimSpace(namesFile), "\n") {
		word, name, _ := strings.Cut(line, " ")
		out[word] = name
	}
	return out
}

// decodeOrder decodes the body of a call to a runner.
func decodeOrder(raw []byte) (order, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return order{}, err
	}
	var o order
	for name, into := range map[string]any{
		"task": &o.task, "attempt": &o.attempt, "spec": &o.spec, "wait_ms": &o.waitMS,
		names["deadline"]: &o.deadline, names["fence"]: &o.fence, names["acknowledged"]: &o.acknowledged,
	} {
		if v, ok := fields[name]; ok {
			if err := json.Unmarshal(v, into); err != nil {
				return order{}, err
			}
		}
	}
	return o, nil
}
