package dev_test

import (
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// claimOp is an operation in the history of a key: a run at an endpoint, or a
// request with its answer.
type claimOp struct {
	key string
	// attempt is set for a run, the other fields for a request.
	attempt string
	request string
	ran     string
	answer  string
	sent    string
	run     string
}

// claimState is the model's state of a key.
type claimState struct {
	// attempt is the attempt that ran, if any.
	attempt string
	// refused holds the ids of requests that were refused as not run, each followed
	// by a space.
	refused string
}

// claimModel accepts a history if each key runs at most once, no request that is
// refused as not run has run or runs later, and every answer is complete and comes
// from the only run.
func claimModel() porcupine.Model {
	return porcupine.Model{
		Partition: partitionByKey,
		Init:      func() any { return claimState{} },
		Step: func(state, input, _ any) (bool, any) {
			return stepClaim(state.(claimState), input.(claimOp))
		},
	}
}

func stepClaim(s claimState, op claimOp) (bool, any) {
	switch {
	case op.attempt != "":
		ok := s.attempt == "" && !strings.Contains(s.refused, requestOf(op.attempt)+" ")
		s.attempt = op.attempt
		return ok, s
	case op.ran == "no":
		s.refused += op.request + " "
		return op.request != "" && requestOf(s.attempt) != op.request, s
	case op.ran == "yes":
		return s.attempt != "" && s.attempt == op.run && op.answer == op.sent, s
	default:
		return true, s
	}
}

// requestOf returns the request id that is part of an attempt id.
func requestOf(attempt string) string {
	at := strings.LastIndexByte(attempt, '.')
	if at < 0 {
		return ""
	}
	return attempt[:at]
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	parts := make(map[string][]porcupine.Operation)
	for _, op := range history {
		key := op.Input.(claimOp).key
		parts[key] = append(parts[key], op)
	}
	out := make([][]porcupine.Operation, 0, len(parts))
	for _, part := range parts {
		out = append(out, part)
	}
	return out
}

// claimCheckLimit bounds the duration of the check. A history that takes longer
// fails the test.
const claimCheckLimit = time.Minute

func checkClaims(history []porcupine.Operation) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(claimModel(), history, claimCheckLimit)
}
