package codec_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/claims"
	"github.com/shoenig/test/must"
)

func claimsRecord() codec.ClaimsRecord {
	at := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	scope := claims.Scope{Service: "permit", Member: "lawa", Key: "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"}
	ref := claims.Ref{Scope: scope, Record: "entry-1-1-1"}
	return codec.ClaimsRecord{
		Group: claims.Group{ID: "entry-1-1-2", Entry: "entry-1", Incarnation: 1, Time: at, Items: []claims.Item{
			claims.Claim{Scope: scope, BodyHash: 1<<64 - 1, Deadline: at.Add(time.Second)},
			claims.Answered{Ref: ref, Kept: true},
			claims.Released{Ref: ref},
			claims.InDoubt{Ref: ref},
			claims.Marker{},
		}},
		Answers: map[claims.Ref]codec.Answer{
			ref: {Status: 201, Header: map[string][]string{"Etag": {"a"}}, Body: []byte("filed")},
		},
	}
}

func TestClaimsRecordRoundTrip(t *testing.T) {
	want := claimsRecord()
	data, err := codec.EncodeClaims(want)
	must.NoError(t, err)
	got, err := codec.DecodeClaims(data)
	must.NoError(t, err)
	must.Eq(t, want, got)
}

func TestInvalidClaimsRecordIsRejectedAsAWhole(t *testing.T) {
	for _, data := range []string{
		``, `{}`, `{"id":"a","items":[{"kind":"marker"},{"kind":"later"}]}`,
		`{"id":"a","items":[{"kind":"claim","body_hash":"1"}]}`,
		`{"id":"a","items":[{"kind":"claim","deadline":"2026-12-04T08:00:00Z"}]}`,
	} {
		got, err := codec.DecodeClaims([]byte(data))
		must.Error(t, err)
		must.Len(t, 0, got.Group.Items)
	}
}

func FuzzDecodeClaims(f *testing.F) {
	data, err := codec.EncodeClaims(claimsRecord())
	must.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		rec, err := codec.DecodeClaims(data)
		if err != nil {
			return
		}
		again, err := codec.EncodeClaims(rec)
		must.NoError(t, err)
		_, err = codec.DecodeClaims(again)
		must.NoError(t, err)
	})
}

// BenchmarkClaimsRecord measures the bytes and the time for a claim and its
// outcome, with an answer of 100 bytes, in a group of 64 claims.
func BenchmarkClaimsRecord(b *testing.B) {
	const claimsInGroup = 64
	one := claimsRecord()
	rec := codec.ClaimsRecord{Group: one.Group, Answers: make(map[claims.Ref]codec.Answer)}
	rec.Group.Items = nil
	for i := range claimsInGroup {
		scope := one.Group.Items[0].(claims.Claim).Scope
		scope.Key = scope.Key[:33] + fleet.Key(fmt.Sprintf("%03x", i))
		ref := claims.Ref{Scope: scope, Record: rec.Group.ID}
		rec.Group.Items = append(rec.Group.Items, claims.Claim{Scope: scope, Deadline: rec.Group.Time}, claims.Answered{Ref: ref})
		rec.Answers[ref] = codec.Answer{Status: 200, Body: make([]byte, 100)}
	}
	var data []byte
	for b.Loop() {
		var err error
		data, err = codec.EncodeClaims(rec)
		must.NoError(b, err)
		_, err = codec.DecodeClaims(data)
		must.NoError(b, err)
	}
	b.ReportMetric(float64(len(data))/claimsInGroup, "bytes/claim")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*claimsInGroup), "ns/claim")
}
