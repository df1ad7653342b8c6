package codec

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/banyanrail/banyanrail/storage"
	"github.com/samber/oops"
)

type hold struct {
	Runner fleet.RunnerID `json:"r"`
	Epoch  int64          `json:"e"`
}

// encodeHold returns the record of a hold, whose key has the task and the attempt.
func encodeHold(r *ledger.Record) (storage.Record, error) {
	h := r.Hold
	key := holdPrefix + h.Task.String() + partSeparator + strconv.FormatInt(h.Attempt, 10)
	if r.DropHold {
		return storage.Record{Key: key}, nil
	}
	raw, err := json.Marshal(hold{Runner: h.Runner, Epoch: h.Epoch})
	return storage.Record{Key: key, Value: raw}, oops.In("codec").With("step", "encode hold", "peer", key).Wrap(err)
}

// decodeHold returns the hold of a key, without its prefix, and a value.
func decodeHold(name string, raw []byte) (ledger.Hold, error) {
	task, attempt, _ := strings.Cut(name, partSeparator)
	id, err := fleet.ParseTaskID(task)
	if err != nil {
		return ledger.Hold{}, err
	}
	n, err := strconv.ParseInt(attempt, 10, 64)
	if err != nil {
		return ledger.Hold{}, err
	}
	var w hold
	err = json.Unmarshal(raw, &w)
	return ledger.Hold{Task: id, Attempt: n, Runner: w.Runner, Epoch: w.Epoch}, err
}
