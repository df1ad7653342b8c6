// Package codec encodes and decodes the records that are kept in the platform's
// log and in the ledger. The reducer never uses the encoded form.
package codec

import (
	"encoding/json"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/samber/oops"
)

// Kinds of records.
const (
	kindPublish  = "publish"
	kindVoid     = "void"
	kindSnapshot = "snapshot"
)

type envelope struct {
	Kind   string          `json:"kind"`
	ID     fleet.RecordID  `json:"id"`
	Time   time.Time       `json:"time"`
	Author string          `json:"author,omitempty"`
	Body   json.RawMessage `json:"body"`
}

type void struct {
	Record fleet.RecordID `json:"record"`
}

// Encode returns the encoded record. It fails for an unknown record type.
func Encode(r control.Record) ([]byte, error) {
	kind, body, err := encodeBody(r.Body)
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, oops.In("codec").With("step", "encode", "record", r.ID).Wrap(err)
	}
	return json.Marshal(envelope{Kind: kind, ID: r.ID, Time: r.Time, Author: r.Author, Body: raw})
}

func encodeBody(body control.Body) (string, any, error) {
	switch b := body.(type) {
	case control.Publish:
		return kindPublish, encodePublish(b), nil
	case control.Void:
		return kindVoid, void{Record: b.Record}, nil
	case control.Snapshot:
		p, err := encodeSnapshot(b)
		return kindSnapshot, p, err
	default:
		return encodeMaintenance(body)
	}
}

// Decode returns the record in data. It fails if data is not a valid record, or if
// its services text does not parse.
func Decode(data []byte) (control.Record, error) {
	fail := oops.In("codec").With("step", "decode")
	var env envelope
	if err := json.Unmarshal(data, &env); err != nil {
		return control.Record{}, fail.Wrap(err)
	}
	rec := control.Record{ID: env.ID, Time: env.Time, Author: env.Author}
	body, err := decodeBody(env)
	if err != nil {
		return rec, fail.With("record", env.ID).Wrap(err)
	}
	rec.Body = body
	return rec, nil
}

func decodeBody(env envelope) (control.Body, error) {
	switch env.Kind {
	case kindPublish:
		return decodePublish(env.Body)
	case kindVoid:
		var b void
		err := json.Unmarshal(env.Body, &b)
		return control.Void{Record: b.Record}, err
	case kindSnapshot:
		return decodeSnapshot(env.Body)
	default:
		return decodeMaintenance(env)
	}
}
