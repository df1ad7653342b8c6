package codec

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/claims"
	"github.com/samber/oops"
)

// Answer is an endpoint's answer in its stored form in the claims stream.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// ClaimsRecord is a record of the claims stream: a group, and the answers of its
// items.
type ClaimsRecord struct {
	Group   claims.Group
	Answers map[claims.Ref]Answer
}

// Kinds of items.
const (
	kindClaim    = "claim"
	kindAnswered = "answered"
	kindReleased = "released"
	kindInDoubt  = "in-doubt"
	kindMarker   = "marker"
)

type claimsGroup struct {
	ID          fleet.RecordID `json:"id"`
	Entry       fleet.EntryID  `json:"entry"`
	Incarnation uint64         `json:"incarnation"`
	Time        time.Time      `json:"time"`
	Items       []claimsItem   `json:"items"`
}

type claimsItem struct {
	Kind     string            `json:"kind"`
	Service  fleet.ServiceName `json:"service,omitempty"`
	Member   fleet.MemberName  `json:"member,omitempty"`
	Key      fleet.Key         `json:"key,omitempty"`
	Record   fleet.RecordID    `json:"record,omitempty"`
	BodyHash string            `json:"body_hash,omitempty"`
	Deadline *time.Time        `json:"deadline,omitempty"`
	Answer   *Answer           `json:"answer,omitempty"`
}

// bodyHashBase is the number base of body hashes.
const bodyHashBase = 16

// EncodeClaims returns the encoded record of the claims stream.
func EncodeClaims(r ClaimsRecord) ([]byte, error) {
	g := claimsGroup{ID: r.Group.ID, Entry: r.Group.Entry, Incarnation: r.Group.Incarnation, Time: r.Group.Time}
	for _, it := range r.Group.Items {
		wire, err := encodeItem(it, r.Answers)
		if err != nil {
			return nil, err
		}
		g.Items = append(g.Items, wire)
	}
	return json.Marshal(g)
}

func encodeItem(it claims.Item, answers map[claims.Ref]Answer) (claimsItem, error) {
	switch it := it.(type) {
	case claims.Claim:
		wire := itemOf(kindClaim, claims.Ref{Scope: it.Scope})
		wire.BodyHash = strconv.FormatUint(it.BodyHash, bodyHashBase)
		wire.Deadline = &it.Deadline
		return wire, nil
	case claims.Answered:
		wire := itemOf(kindAnswered, it.Ref)
		if a, ok := answers[it.Ref]; ok {
			wire.Answer = &a
		}
		return wire, nil
	case claims.Released:
		return itemOf(kindReleased, it.Ref), nil
	case claims.InDoubt:
		return itemOf(kindInDoubt, it.Ref), nil
	case claims.Marker:
		return claimsItem{Kind: kindMarker}, nil
	default:
		return claimsItem{}, oops.In("codec").With("step", "encode").Errorf("unknown item type %T", it)
	}
}

func itemOf(kind string, ref claims.Ref) claimsItem {
	return claimsItem{
		Kind:    kind,
		Service: ref.Scope.Service,
		Member:  ref.Scope.Member,
		Key:     ref.Scope.Key,
		Record:  ref.Record,
	}
}

// DecodeClaims returns the record in data. If any item is invalid, it rejects the
// whole record.
func DecodeClaims(data []byte) (ClaimsRecord, error) {
	fail := oops.In("codec").With("step", "decode")
	var g claimsGroup
	if err := json.Unmarshal(data, &g); err != nil {
		return ClaimsRecord{}, fail.Wrap(err)
	}
	if g.ID == "" {
		return ClaimsRecord{}, fail.Errorf("the record has no id")
	}
	r := ClaimsRecord{
		Group:   claims.Group{ID: g.ID, Entry: g.Entry, Incarnation: g.Incarnation, Time: g.Time},
		Answers: make(map[claims.Ref]Answer),
	}
	for _, wire := range g.Items {
		it, err := decodeItem(wire)
		if err != nil {
			return ClaimsRecord{}, fail.With("record", g.ID).Wrap(err)
		}
		r.Group.Items = append(r.Group.Items, it)
		if wire.Answer != nil {
			r.Answers[wire.ref()] = *wire.Answer
		}
	}
	return r, nil
}

func (it claimsItem) ref() claims.Ref {
	return claims.Ref{
		Scope:  claims.Scope{Service: it.Service, Member: it.Member, Key: it.Key},
		Record: it.Record,
	}
}

func decodeItem(wire claimsItem) (claims.Item, error) {
	switch wire.Kind {
	case kindClaim:
		return decodeClaim(wire)
	case kindAnswered:
		return claims.Answered{Ref: wire.ref(), Kept: wire.Answer != nil}, nil
	case kindReleased:
		return claims.Released{Ref: wire.ref()}, nil
	case kindInDoubt:
		return claims.InDoubt{Ref: wire.ref()}, nil
	case kindMarker:
		return claims.Marker{}, nil
	default:
		return nil, oops.Errorf("unknown item kind %q", wire.Kind)
	}
}

func decodeClaim(wire claimsItem) (claims.Item, error) {
	hash, err := strconv.ParseUint(wire.BodyHash, bodyHashBase, 64)
	if err != nil {
		return nil, err
	}
	if wire.Deadline == nil {
		return nil, oops.Errorf("the claim has no deadline")
	}
	return claims.Claim{Scope: wire.ref().Scope, BodyHash: hash, Deadline: *wire.Deadline}, nil
}
