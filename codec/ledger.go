package codec

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/banyanrail/banyanrail/reduce/tenure"
	"github.com/banyanrail/banyanrail/storage"
	"github.com/samber/oops"
)

// Keys of the ledger's records.
const (
	definitionKeys = "d/"
	progressKeys   = "p/"
	waveKeys       = "w/"
	ordersKey      = "instances"
	// tenureKey is the key of the tenure log's records.
	tenureKey = "owner"
)

// EncodeTenure returns the record of a tenure.
func EncodeTenure(r tenure.Record) (storage.Record, error) {
	raw, err := json.Marshal(r)
	return storage.Record{Key: tenureKey, Value: raw}, oops.In("codec").With("step", "encode tenure").Wrap(err)
}

// DecodeTenure returns the newest tenure among records, or the zero value.
func DecodeTenure(records []storage.Record) (tenure.Record, bool, error) {
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].Key != tenureKey {
			continue
		}
		var r tenure.Record
		err := json.Unmarshal(records[i].Value, &r)
		return r, true, oops.In("codec").With("step", "decode tenure").Wrap(err)
	}
	return tenure.Record{}, false, nil
}

// jobSpec and jobStep have short names, since the ledger holds many of them.
type jobSpec struct {
	Text     string    `json:"t,omitempty"`
	Steps    []jobStep `json:"s"`
	Repeats  int       `json:"r,omitempty"`
	FirstAt  int64     `json:"f,omitempty"`
	Interval int64     `json:"i,omitempty"`
}

type jobStep struct {
	Count        int    `json:"n"`
	CPU          int64  `json:"c,omitempty"`
	Memory       int64  `json:"m,omitempty"`
	Accelerators int64  `json:"g,omitempty"`
	Estimate     int64  `json:"e,omitempty"`
	After        []int  `json:"a,omitempty"`
	Checkpoints  bool   `json:"k,omitempty"`
	Gang         bool   `json:"G,omitempty"`
	SameRack     bool   `json:"R,omitempty"`
	Label        string `json:"l,omitempty"`
	Affinity     string `json:"A,omitempty"`
	MaxPerRunner int    `json:"x,omitempty"`
	Speculative  bool   `json:"S,omitempty"`
	Lasting      bool   `json:"L,omitempty"`
	Image        string `json:"I,omitempty"`
	Target       int64  `json:"T,omitempty"`
	Filling      bool   `json:"F,omitempty"`
	MayMiss      int    `json:"M,omitempty"`
}

// EncodeSpec returns the bytes of a job's spec.
func EncodeSpec(s *fleet.JobSpec) ([]byte, error) {
	w := jobSpec{Text: s.Text, Repeats: s.Repeats, Interval: s.Interval.Milliseconds()}
	if s.Repeats > 0 {
		w.FirstAt = s.FirstAt.UnixMilli()
	}
	for i := range s.Steps {
		st := &s.Steps[i]
		w.Steps = append(w.Steps, jobStep{
			Count: st.Count, CPU: st.Needs.CPU, Memory: st.Needs.Memory, Accelerators: st.Needs.Accelerators,
			Estimate: st.Estimate.Milliseconds(), After: st.After, Checkpoints: st.Checkpoints, Gang: st.Gang,
			SameRack: st.SameRack, Label: st.Label, Affinity: string(st.Affinity), MaxPerRunner: st.MaxPerRunner,
			Speculative: st.Speculative, Lasting: st.LongRunning, Image: st.Image, Target: st.LatencyTarget.Milliseconds(),
			Filling: st.BestEffort, MayMiss: st.MaxUnavailable,
		})
	}
	raw, err := json.Marshal(w)
	return raw, oops.In("codec").With("step", "encode job").Wrap(err)
}

// DecodeSpec reads a job's spec.
func DecodeSpec(raw []byte) (*fleet.JobSpec, error) {
	var w jobSpec
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, oops.In("codec").With("step", "decode job").Wrap(err)
	}
	s := &fleet.JobSpec{Text: w.Text, Repeats: w.Repeats, FirstAt: time.UnixMilli(w.FirstAt), Interval: milliseconds(w.Interval)}
	for i := range w.Steps {
		st := &w.Steps[i]
		s.Steps = append(s.Steps, fleet.Step{
			Count: st.Count, Needs: fleet.Capacity{CPU: st.CPU, Memory: st.Memory, Accelerators: st.Accelerators},
			Estimate: milliseconds(st.Estimate), After: st.After, Checkpoints: st.Checkpoints, Gang: st.Gang,
			SameRack: st.SameRack, Label: st.Label, Affinity: fleet.Rack(st.Affinity), MaxPerRunner: st.MaxPerRunner,
			Speculative: st.Speculative, LongRunning: st.Lasting, Image: st.Image, LatencyTarget: milliseconds(st.Target),
			BestEffort: st.Filling, MaxUnavailable: st.MayMiss,
		})
	}
	return s, nil
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

type definition struct {
	Queue    fleet.QueueName   `json:"q"`
	Service  fleet.ServiceName `json:"v,omitempty"`
	Attempts int               `json:"a,omitempty"`
	Accepted int64             `json:"t"`
	Spec     json.RawMessage   `json:"s"`
}

type progress struct {
	Queue       fleet.QueueName `json:"q"`
	State       fleet.JobState  `json:"s"`
	Ended       int64           `json:"e,omitempty"`
	Occurrences []occurrence    `json:"o,omitempty"`
}

type occurrence struct {
	Number int `json:"n,omitempty"`
	// Done has a bit for each task.
	Done  []byte         `json:"d,omitempty"`
	Tasks []taskProgress `json:"t,omitempty"`
}

type wave struct {
	Done []fleet.InstanceID `json:"d"`
}

type orders struct {
	Instances []fleet.InstanceID `json:"i"`
}

type taskProgress struct {
	Number      int               `json:"n"`
	Attempt     int64             `json:"a"`
	Failures    int               `json:"f,omitempty"`
	Runner      fleet.RunnerID    `json:"r,omitempty"`
	Incarnation fleet.Incarnation `json:"b,omitempty"`
	Checkpoint  string            `json:"s,omitempty"`
	Unresolved  []ledger.Run      `json:"u,omitempty"`
}

// EncodeLedger returns the record of a job.
func EncodeLedger(r *ledger.Record) (storage.Record, error) {
	switch {
	case r.RecentlyOrdered != nil:
		raw, err := json.Marshal(orders{Instances: r.RecentlyOrdered.Instances})
		return storage.Record{Key: ordersKey, Value: raw}, err
	case r.Wave != nil:
		raw, err := json.Marshal(wave{Done: r.Wave.Done})
		return storage.Record{Key: waveKeys + strconv.FormatInt(r.Wave.ID, 10), Value: raw}, err
	case r.DropDefinition:
		return storage.Record{Key: definitionKeys + string(r.Job)}, nil
	case r.DropProgress:
		return storage.Record{Key: progressKeys + string(r.Job)}, nil
	case r.Definition != nil:
		return encodeDefinition(r)
	default:
		return encodeProgress(r)
	}
}

func encodeDefinition(r *ledger.Record) (storage.Record, error) {
	spec, err := EncodeSpec(r.Definition.Spec)
	if err != nil {
		return storage.Record{}, err
	}
	d := r.Definition
	raw, err := json.Marshal(definition{
		Queue: d.Queue, Service: d.Service, Attempts: d.MaxAttempts, Accepted: d.Accepted.UnixMilli(), Spec: spec,
	})
	return storage.Record{Key: definitionKeys + string(r.Job), Value: raw}, oops.In("codec").With("step", "encode definition", "job", r.Job).Wrap(err)
}

func encodeProgress(r *ledger.Record) (storage.Record, error) {
	p := r.Progress
	w := progress{Queue: p.Queue, State: p.State}
	if !p.Ended.IsZero() {
		w.Ended = p.Ended.UnixMilli()
	}
	for i := range p.Occurrences {
		occ := &p.Occurrences[i]
		o := occurrence{Number: occ.Number, Done: packBits(occ.Done)}
		for _, t := range occ.Tasks {
			o.Tasks = append(o.Tasks, taskProgress(t))
		}
		w.Occurrences = append(w.Occurrences, o)
	}
	raw, err := json.Marshal(w)
	return storage.Record{Key: progressKeys + string(r.Job), Value: raw}, oops.In("codec").With("step", "encode progress", "job", r.Job).Wrap(err)
}

const byteBits = 8

func packBits(bits []bool) []byte {
	out := make([]byte, (len(bits)+byteBits-1)/byteBits)
	for i, b := range bits {
		if b {
			out[i/byteBits] |= 1 << (i % byteBits)
		}
	}
	return out
}

func unpackBits(b []byte) []bool {
	out := make([]bool, len(b)*byteBits)
	for i := range out {
		out[i] = b[i/byteBits]&(1<<(i%byteBits)) != 0
	}
	return out
}

// Ledger is what the ledger holds.
type Ledger struct {
	Jobs  []ledger.StoredJob
	Waves []ledger.Wave
	// RecentlyOrdered are the instances that were ordered about lately.
	RecentlyOrdered []fleet.InstanceID
}

// DecodeLedger collects the records of each job, in the order of the records.
func DecodeLedger(records []storage.Record) (Ledger, error) {
	d := ledgerDecoder{index: make(map[fleet.JobID]int)}
	for i := range records {
		r := &records[i]
		if len(r.Value) == 0 {
			continue
		}
		if err := d.take(r); err != nil {
			return Ledger{}, oops.In("codec").With("step", "decode ledger", "key", r.Key).Wrap(err)
		}
	}
	return d.out, nil
}

type ledgerDecoder struct {
	out   Ledger
	index map[fleet.JobID]int
}

// job returns the entry of a job, which may be new.
func (d *ledgerDecoder) job(id string) *ledger.StoredJob {
	i, ok := d.index[fleet.JobID(id)]
	if !ok {
		i = len(d.out.Jobs)
		d.index[fleet.JobID(id)] = i
		d.out.Jobs = append(d.out.Jobs, ledger.StoredJob{Job: fleet.JobID(id)})
	}
	return &d.out.Jobs[i]
}

func (d *ledgerDecoder) take(r *storage.Record) (err error) {
	if id, ok := strings.CutPrefix(r.Key, definitionKeys); ok {
		d.job(id).Definition, err = decodeDefinition(r.Value)
		return err
	}
	if id, ok := strings.CutPrefix(r.Key, progressKeys); ok {
		d.job(id).Progress, err = decodeProgress(r.Value)
		return err
	}
	if id, ok := strings.CutPrefix(r.Key, waveKeys); ok {
		return d.takeWave(id, r.Value)
	}
	if r.Key == ordersKey {
		var w orders
		err = json.Unmarshal(r.Value, &w)
		d.out.RecentlyOrdered = w.Instances
	}
	return err
}

func (d *ledgerDecoder) takeWave(id string, raw []byte) error {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return err
	}
	var w wave
	if err := json.Unmarshal(raw, &w); err != nil {
		return err
	}
	d.out.Waves = append(d.out.Waves, ledger.Wave{ID: n, Done: w.Done})
	return nil
}

func decodeDefinition(raw []byte) (*ledger.Definition, error) {
	var w definition
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	spec, err := DecodeSpec(w.Spec)
	return &ledger.Definition{
		Queue: w.Queue, Service: w.Service, MaxAttempts: w.Attempts, Accepted: time.UnixMilli(w.Accepted), Spec: spec,
	}, err
}

func decodeProgress(raw []byte) (*ledger.Progress, error) {
	var w progress
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	p := &ledger.Progress{Queue: w.Queue, State: w.State}
	if w.Ended != 0 {
		p.Ended = time.UnixMilli(w.Ended)
	}
	for i := range w.Occurrences {
		o := ledger.Occurrence{Number: w.Occurrences[i].Number, Done: unpackBits(w.Occurrences[i].Done)}
		for _, t := range w.Occurrences[i].Tasks {
			o.Tasks = append(o.Tasks, ledger.Task(t))
		}
		p.Occurrences = append(p.Occurrences, o)
	}
	return p, nil
}
