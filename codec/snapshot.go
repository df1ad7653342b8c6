package codec

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/services"
)

// maxSnapshotBytes is the limit for the size of an uncompressed snapshot.
const maxSnapshotBytes = 64 << 20

// compressedSnapshot holds the gzip-compressed JSON of a snapshot.
type compressedSnapshot struct {
	Gzip []byte `json:"gzip"`
}

type snapshot struct {
	Offset  fleet.Offset  `json:"offset"`
	Version fleet.Version `json:"version"`
	// Blocks holds the settings in the canonical form of the services text, so
	// that a later release applies the defaults of settings that it adds.
	// Instances are listed separately, since parsing HCL takes far longer than
	// parsing JSON.
	Blocks    string                              `json:"blocks,omitempty"`
	Instances []fleet.Instance                    `json:"instances,omitempty"`
	Moved     map[fleet.InstanceID]fleet.PoolName `json:"moved,omitempty"`
	Drains    control.Drains                      `json:"drains,omitempty"`
	Waves     control.Waves                       `json:"waves"`
	Moves     uint64                              `json:"moves,omitempty"`
	Seen      []control.SeenRecord                `json:"seen,omitempty"`

	Rehearsals control.Rehearsals `json:"rehearsals"`
}

func encodeSnapshot(s control.Snapshot) (compressedSnapshot, error) {
	body := snapshot{
		Offset: s.Offset, Version: s.Version, Moved: s.Moved, Seen: s.Seen,
		Drains: s.Drains, Waves: s.Waves, Moves: s.Moves, Rehearsals: s.Rehearsals,
	}
	if s.Text != nil {
		settings := *s.Text
		settings.Instances = nil
		body.Blocks = string(services.Print(&settings))
		body.Instances = s.Text.Instances
	}
	var out bytes.Buffer
	zip := gzip.NewWriter(&out)
	if err := json.NewEncoder(zip).Encode(body); err != nil {
		return compressedSnapshot{}, err
	}
	if err := zip.Close(); err != nil {
		return compressedSnapshot{}, err
	}
	return compressedSnapshot{Gzip: out.Bytes()}, nil
}

func decodeSnapshot(raw json.RawMessage) (control.Body, error) {
	var p compressedSnapshot
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, err
	}
	zip, err := gzip.NewReader(bytes.NewReader(p.Gzip))
	if err != nil {
		return nil, err
	}
	var body snapshot
	if err := json.NewDecoder(io.LimitReader(zip, maxSnapshotBytes)).Decode(&body); err != nil {
		return nil, err
	}
	snap := control.Snapshot{
		Offset: body.Offset, Version: body.Version, Moved: body.Moved, Seen: body.Seen,
		Drains: body.Drains, Waves: body.Waves, Moves: body.Moves, Rehearsals: body.Rehearsals,
	}
	if body.Version == 0 {
		return snap, nil
	}
	f, err := services.ParseFragment(textName, []byte(body.Blocks))
	if err != nil {
		return nil, err
	}
	snap.Text = f.Text
	snap.Text.Instances = body.Instances
	return snap, nil
}
