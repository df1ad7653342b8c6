package codec_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/services"
	"github.com/shoenig/test/must"
)

// Sizes of the planned fleet, which is expected in two years.
const (
	planInstances   = 27_000
	planPools       = 37
	planDataCentres = 23
	planMembers     = 850
	planServices    = 37
	rackSize        = 4
)

// planText returns a services text of the planned fleet.
func planText() *fleet.Text {
	text := &fleet.Text{Maintenance: fleet.Maintenance{DrainLimit: time.Second, MaxStep: 1, Probation: time.Second}}
	for i := range planDataCentres {
		text.DataCentres = append(text.DataCentres, fleet.DataCentre(fmt.Sprintf("dc-%02d", i)))
	}
	for i := range planPools {
		name := fleet.PoolName(fmt.Sprintf("pool-%02d", i))
		text.Pools = append(text.Pools, fleet.Pool{Name: name, Slots: 8, Connections: 64, MaxSize: 100})
		text.Services = append(text.Services, fleet.Service{
			Name: fleet.ServiceName(fmt.Sprintf("service-%02d", i)), Pool: name, Availability: 0.999, Idempotent: true,
			TimeLimit: time.Second, MaxBody: 1, MaxQueue: 1, MaxAttempts: 1,
		})
	}
	for i := range planMembers {
		text.Members = append(text.Members, fleet.Member{Name: fleet.MemberName(fmt.Sprintf("member-%03d", i)), Weight: 1})
	}
	for i := range planInstances {
		rack := i / rackSize
		text.Instances = append(text.Instances, fleet.Instance{
			ID:         fleet.InstanceID(fmt.Sprintf("worker-%05d", i)),
			Address:    fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			DataCentre: text.DataCentres[rack%planDataCentres],
			Rack:       fleet.Rack(fmt.Sprintf("rack-%04d", rack)),
			Pool:       text.Pools[rack%planPools].Name,
		})
	}
	return text
}

// withMove returns the text with one instance in another pool.
func withMove(text *fleet.Text) *fleet.Text {
	in := text.Instances[planInstances/2]
	in.Pool = text.Pools[0].Name
	return text.With(&fleet.Delta{Instances: []fleet.Instance{in}})
}

func roundTrip(t *testing.T, rec control.Record) control.Record {
	t.Helper()
	data, err := codec.Encode(rec)
	must.NoError(t, err)
	got, err := codec.Decode(data)
	must.NoError(t, err)
	return got
}

func TestRecordsRoundTrip(t *testing.T) {
	text, err := services.Parse("a.hcl", []byte(`
data_centre "d" {
  rack "r" {
    pool      = "p"
    instances = { "i" = "10.0.0.1:80" }
  }
}
pool "p" {}
service "s" { pool = "p" }
member "m" {}
`))
	must.NoError(t, err)
	at := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	for name, body := range map[string]control.Body{
		"whole text": control.Publish{Base: 3, Text: text},
		"delta": control.Publish{Base: 3, Delta: &fleet.Delta{
			DataCentres:        []fleet.DataCentre{"d"},
			RemovedDataCentres: []fleet.DataCentre{"e"},
			Services:           text.Services,
			RemovedServices:    []fleet.ServiceName{"old"},
			Pools:              text.Pools,
			RemovedPools:       []fleet.PoolName{"old"},
			Instances:          text.Instances,
			RemovedInstances:   []fleet.InstanceID{"old"},
			Members:            text.Members,
			RemovedMembers:     []fleet.MemberName{"old"},
			Prices:             &fleet.Prices{Move: 2},
			Maintenance:        &text.Maintenance,
		}},
		"void": control.Void{Record: "r-1"},
		"snapshot": control.Snapshot{
			Offset: 4, Version: 3, Text: text,
			Moved: map[fleet.InstanceID]fleet.PoolName{"i": "q"},
			Seen:  []control.SeenRecord{{ID: "a", Outcome: control.Duplicate}, {ID: "b", Outcome: control.Voided}},
		},
		"empty delta": control.Publish{Base: 3, Delta: &fleet.Delta{}},
	} {
		t.Run(name, func(t *testing.T) {
			rec := control.Record{ID: "r", Time: at, Author: "operator", Body: body}
			must.Eq(t, rec, roundTrip(t, rec))
		})
	}
}

func TestUnreadableRecords(t *testing.T) {
	for name, data := range map[string]string{
		"no JSON":       "{",
		"unknown kind":  `{"kind":"other","id":"r","body":{}}`,
		"faulty text":   `{"kind":"publish","id":"r","body":{"source":"pool {"}}`,
		"faulty delta":  `{"kind":"publish","id":"r","body":{"delta":{"blocks":"pool {"}}}`,
		"wrong content": `{"kind":"publish","id":"r","body":[]}`,
		"no gzip":       `{"kind":"snapshot","id":"r","body":{"gzip":"AAAA"}}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := codec.Decode([]byte(data))
			must.Error(t, err)
		})
	}
}

func TestUnknownRecordTypeIsNotEncoded(t *testing.T) {
	_, err := codec.Encode(control.Record{ID: "r", Body: control.Unreadable{}})
	must.Error(t, err)
}

// BenchmarkChange compares the two ways to publish a change of one instance in
// the text of the planned fleet: the whole text, or a delta. It includes encoding
// at one entry and decoding and folding at another.
func BenchmarkChange(b *testing.B) {
	before := planText()
	after := withMove(before)
	delta := fleet.Compare(before, after)
	for name, body := range map[string]control.Publish{
		"whole": {Base: 1, Text: after},
		"delta": {Base: 1, Delta: delta},
	} {
		b.Run(name, func(b *testing.B) {
			first := control.Record{ID: "first", Body: control.Publish{Text: before}}
			var size int
			for b.Loop() {
				b.StopTimer()
				state := control.New()
				state.Apply(control.Positioned{Offset: 1, Record: first})
				b.StartTimer()
				data, err := codec.Encode(control.Record{ID: "change", Body: body})
				must.NoError(b, err)
				size = len(data)
				rec, err := codec.Decode(data)
				must.NoError(b, err)
				res := state.Apply(control.Positioned{Offset: 2, Record: rec})
				must.EqOp(b, control.Accepted, res.Outcome)
			}
			b.ReportMetric(float64(size), "B/change")
		})
	}
}

// BenchmarkSnapshot measures the snapshot that a starting entry reads from the
// log, for the planned fleet.
func BenchmarkSnapshot(b *testing.B) {
	state := control.New()
	state.Apply(control.Positioned{Offset: 1, Record: control.Record{ID: "first", Body: control.Publish{Text: planText()}}})
	rec := control.Record{ID: "snapshot", Body: state.Snapshot()}
	var size int
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			data, err := codec.Encode(rec)
			must.NoError(b, err)
			size = len(data)
		}
		b.ReportMetric(float64(size), "B/snapshot")
	})
	data, err := codec.Encode(rec)
	must.NoError(b, err)
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			_, err := codec.Decode(data)
			must.NoError(b, err)
		}
	})
}
