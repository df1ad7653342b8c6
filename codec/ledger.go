package codec

import (
	"bytes"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/banyanrail/banyanrail/reduce/runtimes"
	"github.com/banyanrail/banyanrail/reduce/tenure"
	"github.com/banyanrail/banyanrail/storage"
	"github.com/samber/oops"
)

// Keys and prefixes of keys of the ledger's records.
const (
	definitionPrefix   = "d/"
	progressPrefix     = "p/"
	partPrefix         = "P/"
	wavePrefix         = "w/"
	holdPrefix         = "h/"
	recentlyOrderedKey = "instances"
	unreachedKey       = "unreached"
	restartedKey       = "restarted"
	runTimesKey        = "runtimes"
	// tenureKey is the key of the records of the tenure log.
	tenureKey = "owner"
)

// EncodeTenure returns the encoded record of a tenure.
func EncodeTenure(r tenure.Record) (storage.Record, error) {
	raw, err := json.Marshal(r)
	return storage.Record{Key: tenureKey, Value: raw}, oops.In("codec").With("step", "encode tenure").Wrap(err)
}

// DecodeTenure returns the newest tenure record, or false if there is none.
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

// jobSpec is the stored form of fleet.JobSpec. Its JSON names are short, since the
// ledger holds many specs.
type jobSpec struct {
	Text     string    `json:"t,omitempty"`
	Steps    []jobStep `json:"s"`
	Repeats  int       `json:"r,omitempty"`
	FirstAt  int64     `json:"f,omitempty"`
	Interval int64     `json:"i,omitempty"`
}

type jobStep struct {
	Count          int    `json:"n"`
	CPU            int64  `json:"c,omitempty"`
	Memory         int64  `json:"m,omitempty"`
	Accelerators   int64  `json:"g,omitempty"`
	Estimate       int64  `json:"e,omitempty"`
	After          []int  `json:"a,omitempty"`
	Checkpoints    bool   `json:"k,omitempty"`
	Gang           bool   `json:"G,omitempty"`
	SameRack       bool   `json:"R,omitempty"`
	Label          string `json:"l,omitempty"`
	Affinity       string `json:"A,omitempty"`
	MaxPerRunner   int    `json:"x,omitempty"`
	Speculative    bool   `json:"S,omitempty"`
	LongRunning    bool   `json:"L,omitempty"`
	Image          string `json:"I,omitempty"`
	LatencyTarget  int64  `json:"T,omitempty"`
	BestEffort     bool   `json:"F,omitempty"`
	MaxUnavailable int    `json:"M,omitempty"`
}

// EncodeSpec returns the encoded spec of a job.
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
			Speculative: st.Speculative, LongRunning: st.LongRunning, Image: st.Image, LatencyTarget: st.LatencyTarget.Milliseconds(),
			BestEffort: st.BestEffort, MaxUnavailable: st.MaxUnavailable,
		})
	}
	raw, err := json.Marshal(w)
	return raw, oops.In("codec").With("step", "encode job").Wrap(err)
}

// DecodeSpec returns the spec in raw.
func DecodeSpec(raw []byte) (*fleet.JobSpec, error) {
	// The slices are made in one piece: growing ones would take four times the memory.
	w := jobSpec{Steps: make([]jobStep, 0, min(bytes.Count(raw, []byte{'{'}), fleet.MaxJobTasks))}
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, oops.In("codec").With("step", "decode job").Wrap(err)
	}
	s := &fleet.JobSpec{Text: w.Text, Repeats: w.Repeats, FirstAt: time.UnixMilli(w.FirstAt), Interval: fleet.Milliseconds(w.Interval)}
	s.Steps = make([]fleet.Step, 0, len(w.Steps))
	for i := range w.Steps {
		st := &w.Steps[i]
		s.Steps = append(s.Steps, fleet.Step{
			Count: st.Count, Needs: storedNeeds(st),
			Estimate: fleet.Milliseconds(st.Estimate), After: st.After, Checkpoints: st.Checkpoints, Gang: st.Gang,
			SameRack: st.SameRack, Label: st.Label, Affinity: fleet.Rack(st.Affinity), MaxPerRunner: st.MaxPerRunner,
			Speculative: st.Speculative, LongRunning: st.LongRunning, Image: st.Image, LatencyTarget: fleet.Milliseconds(st.LatencyTarget),
			BestEffort: st.BestEffort, MaxUnavailable: st.MaxUnavailable,
		})
	}
	if err := s.Validate(); err != nil {
		return nil, oops.In("codec").With("step", "decode job").Wrap(err)
	}
	return s, nil
}

// storedNeeds returns what a task needs. Versions without MaxNeeds accepted more.
func storedNeeds(st *jobStep) fleet.Capacity {
	return fleet.Capacity{
		CPU: min(st.CPU, fleet.MaxNeeds), Memory: min(st.Memory, fleet.MaxNeeds), Accelerators: min(st.Accelerators, fleet.MaxNeeds),
	}
}

type definition struct {
	Queue       fleet.QueueName   `json:"q"`
	Service     fleet.ServiceName `json:"v,omitempty"`
	MaxAttempts int               `json:"a,omitempty"`
	Accepted    int64             `json:"t"`
	Spec        json.RawMessage   `json:"s"`
	Tenant      fleet.TenantName  `json:"n,omitempty"`
	// ExpectedPath is in milliseconds.
	ExpectedPath int64 `json:"e,omitempty"`
}

type progress struct {
	Queue       fleet.QueueName `json:"q"`
	State       fleet.JobState  `json:"s"`
	Ended       int64           `json:"e,omitempty"`
	Begun       int             `json:"b,omitempty"`
	NotBegun    bool            `json:"n,omitempty"`
	Generation  int64           `json:"g,omitempty"`
	Parts       int             `json:"k,omitempty"`
	Occurrences []occurrence    `json:"o,omitempty"`
	// Stopping holds CPU, memory and accelerators.
	Stopping *[3]int64        `json:"x,omitempty"`
	Tenant   fleet.TenantName `json:"t,omitempty"`
}

type progressPart struct {
	Generation  int64        `json:"g"`
	Occurrences []occurrence `json:"o"`
}

type occurrence struct {
	Number int `json:"n,omitempty"`
	// Done is a bitmap with one bit for each task, the lowest bit first.
	Done  []byte         `json:"d,omitempty"`
	Tasks []taskProgress `json:"t,omitempty"`
}

type wave struct {
	Done []fleet.InstanceID `json:"d"`
}

type recentlyOrdered struct {
	Instances []fleet.InstanceID `json:"i"`
}

type unreached struct {
	Epoch    int64                    `json:"e"`
	LeasedBy map[fleet.RunnerID]int64 `json:"l"`
}

type restarted struct {
	Runners []fleet.RunnerID `json:"r"`
}

type runTimes struct {
	Entries []runTime `json:"e"`
}

type runTime struct {
	Queue      fleet.QueueName `json:"q,omitempty"`
	Step       int             `json:"s,omitempty"`
	Image      string          `json:"i,omitempty"`
	WholeQueue bool            `json:"w,omitempty"`
	// Values are those of runtimes.Values in order.
	Values [7]int64 `json:"v"`
}

type taskProgress struct {
	Number         int               `json:"n"`
	Attempt        int64             `json:"a"`
	Failures       int               `json:"f,omitempty"`
	FailedAttempts []int64           `json:"F,omitempty"`
	Crashes        int               `json:"c,omitempty"`
	CertainCrashes int               `json:"C,omitempty"`
	Trial          time.Duration     `json:"m,omitempty"` // in nanoseconds
	CrashedOn      fleet.InstanceID  `json:"i,omitempty"`
	Runner         fleet.RunnerID    `json:"r,omitempty"`
	Incarnation    fleet.Incarnation `json:"b,omitempty"`
	Address        string            `json:"h,omitempty"`
	Instance       fleet.InstanceID  `json:"o,omitempty"`
	StaleLeases    bool              `json:"l,omitempty"`
	Settled        bool              `json:"d,omitempty"`
	StartEpoch     int64             `json:"e,omitempty"`
	Checkpoint     string            `json:"s,omitempty"`
	Unresolved     []ledger.Run      `json:"u,omitempty"`
	LateStarts     []ledger.Run      `json:"w,omitempty"`
}

// EncodeLedger returns the encoded record of the ledger. A dropped definition or
// progress is encoded as an empty value.
func EncodeLedger(r *ledger.Record) (storage.Record, error) {
	switch {
	case r.RecentlyOrdered != nil:
		return encodeList(recentlyOrderedKey, r.Part, recentlyOrdered{Instances: r.RecentlyOrdered.Instances}, len(r.RecentlyOrdered.Instances))
	case r.Unreached != nil:
		return encodeList(unreachedKey, r.Part, unreached(*r.Unreached), len(r.Unreached.LeasedBy))
	case r.Restarted != nil:
		return encodeList(restartedKey, r.Part, restarted(*r.Restarted), len(r.Restarted.Runners))
	case r.RunTimes != nil:
		return encodeList(runTimesKey, 0, encodeRunTimes(r.RunTimes), len(r.RunTimes.Entries))
	case r.Wave != nil:
		return encodeList(wavePrefix+strconv.FormatInt(r.Wave.ID, 10), r.Part, wave{Done: r.Wave.Done}, len(r.Wave.Done))
	case r.Hold != nil:
		return encodeHold(r)
	case r.DropPart:
		return storage.Record{Key: partKey(r.Job, r.DropGeneration, r.Part)}, nil
	case r.ProgressPart != nil:
		raw, err := json.Marshal(progressPart{Generation: r.ProgressPart.Generation, Occurrences: encodeOccurrences(r.ProgressPart.Occurrences)})
		return storage.Record{Key: partKey(r.Job, r.ProgressPart.Generation, r.Part), Value: raw}, oops.In("codec").With("step", "encode progress", "job", r.Job).Wrap(err)
	case r.DropDefinition:
		return storage.Record{Key: definitionPrefix + string(r.Job)}, nil
	case r.DropProgress:
		return storage.Record{Key: progressPrefix + string(r.Job)}, nil
	case r.Definition != nil:
		return encodeDefinition(r)
	default:
		return encodeProgress(r)
	}
}

// encodeList returns the record with a part of a list. An empty part other than the first
// one is removed.
func encodeList(key string, part int, list any, length int) (storage.Record, error) {
	if part > 0 {
		key += partSeparator + strconv.Itoa(part)
	}
	if part > 0 && length == 0 {
		return storage.Record{Key: key}, nil
	}
	raw, err := json.Marshal(list)
	return storage.Record{Key: key, Value: raw}, oops.In("codec").With("step", "encode list", "peer", key).Wrap(err)
}

func encodeRunTimes(t *ledger.RunTimes) runTimes {
	w := runTimes{Entries: make([]runTime, 0, len(t.Entries))}
	for i := range t.Entries {
		e := &t.Entries[i]
		v := &e.Values
		w.Entries = append(w.Entries, runTime{
			Queue: e.Queue, Step: e.Step, Image: e.Image, WholeQueue: e.WholeQueue,
			Values: [...]int64{v.Weight, v.MeanX, v.MeanY, v.SumXX, v.SumXY, v.SumYY, v.Activity},
		})
	}
	return w
}

func decodeRunTimes(raw []byte) (*ledger.RunTimes, error) {
	var w runTimes
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	out := &ledger.RunTimes{Entries: make([]runtimes.Entry, 0, len(w.Entries))}
	for i := range w.Entries {
		e := &w.Entries[i]
		v := e.Values
		out.Entries = append(out.Entries, runtimes.Entry{
			Key: runtimes.Key{Queue: e.Queue, Step: e.Step, Image: e.Image}, WholeQueue: e.WholeQueue,
			Values: runtimes.Values{Weight: v[0], MeanX: v[1], MeanY: v[2], SumXX: v[3], SumXY: v[4], SumYY: v[5], Activity: v[6]},
		})
	}
	return out, nil
}

// partSeparator is between a key and the number of a part.
const partSeparator = "/"

// cutPart returns the key without the number of its part, and the number; zero without one.
func cutPart(key string) (string, int, error) {
	base, number, ok := strings.Cut(key, partSeparator)
	if !ok {
		return key, 0, nil
	}
	n, err := strconv.Atoi(number)
	if err == nil && (n <= 0 || n > maxParts) {
		err = errPartNumber
	}
	return base, n, err
}

// maxParts bounds the number of a part. Progress of that many parts exceeds what the store
// holds.
const maxParts = 100_000

// errPartNumber means that the key of a part has no valid number.
var errPartNumber = errors.New("codec: invalid number of a part")

// partKey returns the key of a part of a job's progress.
func partKey(job fleet.JobID, generation int64, part int) string {
	return partPrefix + string(job) + partSeparator + strconv.FormatInt(generation%ledger.GenerationSlots, 10) + partSeparator + strconv.Itoa(part)
}

func encodeDefinition(r *ledger.Record) (storage.Record, error) {
	spec, err := EncodeSpec(r.Definition.Spec)
	if err != nil {
		return storage.Record{}, err
	}
	d := r.Definition
	raw, err := json.Marshal(definition{
		Queue: d.Queue, Service: d.Service, MaxAttempts: d.MaxAttempts, Accepted: d.Accepted.UnixMilli(), Spec: spec, Tenant: d.Tenant,
		ExpectedPath: d.ExpectedPath.Milliseconds(),
	})
	return storage.Record{Key: definitionPrefix + string(r.Job), Value: raw}, oops.In("codec").With("step", "encode definition", "job", r.Job).Wrap(err)
}

func encodeProgress(r *ledger.Record) (storage.Record, error) {
	p := r.Progress
	w := progress{
		Queue: p.Queue, State: p.State, Begun: p.Begun, NotBegun: p.NotBegun, Generation: p.Generation, Parts: p.Parts, Occurrences: encodeOccurrences(p.Occurrences),
	}
	if !p.Ended.IsZero() {
		w.Ended = p.Ended.UnixMilli()
	}
	if c := p.Stopping; c != (fleet.Capacity{}) {
		w.Stopping, w.Tenant = &[...]int64{c.CPU, c.Memory, c.Accelerators}, p.Tenant
	}
	var body any = w
	if p.Parts > 0 {
		// Versions that know no parts would read an object as a job that has not begun.
		body = []progress{w}
	}
	raw, err := json.Marshal(body)
	return storage.Record{Key: progressPrefix + string(r.Job), Value: raw}, oops.In("codec").With("step", "encode progress", "job", r.Job).Wrap(err)
}

func encodeOccurrences(list []ledger.Occurrence) []occurrence {
	out := make([]occurrence, 0, len(list))
	for i := range list {
		occ := &list[i]
		o := occurrence{Number: occ.Number, Done: packBits(occ.Done)}
		for _, t := range occ.Tasks {
			o.Tasks = append(o.Tasks, taskProgress(t))
		}
		out = append(out, o)
	}
	return out
}

func decodeOccurrences(list []occurrence) []ledger.Occurrence {
	var out []ledger.Occurrence
	for i := range list {
		o := ledger.Occurrence{Number: list[i].Number, Done: unpackBits(list[i].Done)}
		for _, t := range list[i].Tasks {
			o.Tasks = append(o.Tasks, ledger.Task(t))
		}
		out = append(out, o)
	}
	return out
}

const bitsPerByte = 8

func packBits(bits []bool) []byte {
	out := make([]byte, (len(bits)+bitsPerByte-1)/bitsPerByte)
	for i, b := range bits {
		if b {
			out[i/bitsPerByte] |= 1 << (i % bitsPerByte)
		}
	}
	return out
}

func unpackBits(b []byte) []bool {
	out := make([]bool, len(b)*bitsPerByte)
	for i := range out {
		out[i] = b[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0
	}
	return out
}

// Ledger is the content of the ledger.
type Ledger struct {
	Jobs  []ledger.StoredJob
	Waves []ledger.Wave
	// Holds holds the ends that were not to be acknowledged.
	Holds []ledger.Hold
	// RecentlyOrdered holds the instances about which the owner may recently have
	// given orders.
	RecentlyOrdered []fleet.InstanceID
	// Unreached holds the runners that an owner did not reach.
	Unreached ledger.Unreached
	// Restarted holds the runners that have restarted lately.
	Restarted []fleet.RunnerID
	// RunTimes is what an owner has learned of run times; nil without a record.
	RunTimes *ledger.RunTimes
	// Parts holds the number of records of each list.
	Parts ledger.ListParts
	// OrdersUnreadable is set if RecentlyOrdered cannot be decoded: orders may have been
	// given about any instance.
	OrdersUnreadable bool
	// Unreadable holds an error for each record that cannot be decoded. The records
	// stay in the store.
	Unreadable []error
}

// DecodeLedger collects the records of each job, in the order of the records. A record
// that cannot be decoded does not keep an owner from loading the others. A job of which
// one record is unreadable is left out: without its progress it would run again.
func DecodeLedger(records []storage.Record) Ledger {
	d := ledgerDecoder{index: make(map[fleet.JobID]int), unreadable: make(map[fleet.JobID]bool), parts: make(map[partID]*ledger.ProgressPart)}
	for i := range records {
		r := &records[i]
		if len(r.Value) == 0 {
			continue
		}
		if err := d.add(r); err != nil {
			d.out.Unreadable = append(d.out.Unreadable, oops.In("codec").With("step", "decode ledger", "peer", r.Key).Wrap(err))
		}
	}
	d.joinParts()
	d.out.Jobs = slices.DeleteFunc(d.out.Jobs, func(j ledger.StoredJob) bool { return d.unreadable[j.Job] })
	return d.out
}

type ledgerDecoder struct {
	out   Ledger
	index map[fleet.JobID]int
	// unreadable holds the jobs with a record that cannot be decoded.
	unreadable map[fleet.JobID]bool
	// parts holds the parts of jobs' progress.
	parts map[partID]*ledger.ProgressPart
}

// partID identifies a part of a job's progress.
type partID struct {
	job    fleet.JobID
	slot   int64
	number int
}

// joinParts completes the progress that consists of parts. A part of another generation
// than its job's progress is left from an owner that did not finish.
func (d *ledgerDecoder) joinParts() {
	for i := range d.out.Jobs {
		j := &d.out.Jobs[i]
		if j.Progress == nil || j.Progress.Parts == 0 {
			continue
		}
		var parts []*ledger.ProgressPart
		for n := range min(j.Progress.Parts, maxParts) {
			p := d.parts[partID{job: j.Job, slot: j.Progress.Generation % ledger.GenerationSlots, number: n}]
			if p == nil || p.Generation != j.Progress.Generation {
				d.unreadable[j.Job] = true
				d.out.Unreadable = append(d.out.Unreadable, oops.In("codec").With("step", "join progress", "job", j.Job, "part", n).Wrap(errPartMissing))
				break
			}
			parts = append(parts, p)
		}
		j.Progress.Occurrences = ledger.JoinOccurrences(parts)
	}
}

// errPartMissing means that the ledger lacks a part of a job's progress.
var errPartMissing = errors.New("codec: a part of the progress is missing")

// addPart adds the part of a job's progress with the rest of a key after its prefix.
func (d *ledgerDecoder) addPart(rest string, raw []byte) error {
	id, number, ok := strings.Cut(rest, partSeparator)
	slot, part, ok2 := strings.Cut(number, partSeparator)
	n, err := strconv.Atoi(part)
	s, err2 := strconv.ParseInt(slot, 10, 64)
	if !ok || !ok2 || err != nil || err2 != nil || n < 0 || n > maxParts || s < 0 || s >= ledger.GenerationSlots {
		return errPartNumber
	}
	j := d.job(id)
	j.Parts[s] = max(j.Parts[s], n+1)
	var w progressPart
	if err := json.Unmarshal(raw, &w); err != nil {
		return err // the job is left out if its progress needs the part
	}
	d.parts[partID{job: fleet.JobID(id), slot: s, number: n}] = &ledger.ProgressPart{Generation: w.Generation, Occurrences: decodeOccurrences(w.Occurrences)}
	return nil
}

// job returns the stored job with an id, which it adds if necessary.
func (d *ledgerDecoder) job(id string) *ledger.StoredJob {
	i, ok := d.index[fleet.JobID(id)]
	if !ok {
		i = len(d.out.Jobs)
		d.index[fleet.JobID(id)] = i
		d.out.Jobs = append(d.out.Jobs, ledger.StoredJob{Job: fleet.JobID(id)})
	}
	return &d.out.Jobs[i]
}

func (d *ledgerDecoder) add(r *storage.Record) (err error) {
	if id, ok := strings.CutPrefix(r.Key, definitionPrefix); ok {
		def, err := decodeDefinition(r.Value)
		d.job(id).Definition = def
		d.unreadable[fleet.JobID(id)] = d.unreadable[fleet.JobID(id)] || err != nil
		return err
	}
	if id, ok := strings.CutPrefix(r.Key, progressPrefix); ok {
		p, err := decodeProgress(r.Value)
		d.job(id).Progress = p
		d.unreadable[fleet.JobID(id)] = d.unreadable[fleet.JobID(id)] || err != nil
		return err
	}
	if rest, ok := strings.CutPrefix(r.Key, partPrefix); ok {
		return d.addPart(rest, r.Value)
	}
	if id, ok := strings.CutPrefix(r.Key, wavePrefix); ok {
		return d.addWave(id, r.Value)
	}
	if name, ok := strings.CutPrefix(r.Key, holdPrefix); ok {
		h, err := decodeHold(name, r.Value)
		if err == nil {
			d.out.Holds = append(d.out.Holds, h)
		}
		return err
	}
	return d.addList(r)
}

// addList adds a part of a list.
func (d *ledgerDecoder) addList(r *storage.Record) error {
	key, part, err := cutPart(r.Key)
	if err != nil {
		return err
	}
	switch key {
	case unreachedKey:
		d.out.Parts.Unreached = max(d.out.Parts.Unreached, part+1)
		var w unreached
		err = json.Unmarshal(r.Value, &w)
		if err == nil {
			d.addUnreached(ledger.Unreached(w))
		}
	case restartedKey:
		d.out.Parts.Restarted = max(d.out.Parts.Restarted, part+1)
		var w restarted
		err = json.Unmarshal(r.Value, &w)
		d.out.Restarted = append(d.out.Restarted, w.Runners...)
	case runTimesKey:
		d.out.RunTimes, err = decodeRunTimes(r.Value)
	case recentlyOrderedKey:
		d.out.Parts.RecentlyOrdered = max(d.out.Parts.RecentlyOrdered, part+1)
		var w recentlyOrdered
		err = json.Unmarshal(r.Value, &w)
		d.out.RecentlyOrdered = append(d.out.RecentlyOrdered, w.Instances...)
		d.out.OrdersUnreadable = d.out.OrdersUnreadable || err != nil
	}
	return err
}

// addUnreached adds a part of the list of unreached runners. A part of an earlier owner
// says nothing beside one of a later owner.
func (d *ledgerDecoder) addUnreached(w ledger.Unreached) {
	u := &d.out.Unreached
	switch {
	case len(w.LeasedBy) == 0 && len(u.LeasedBy) > 0 || w.Epoch < u.Epoch:
	case w.Epoch > u.Epoch || u.LeasedBy == nil:
		*u = w
	default:
		maps.Copy(u.LeasedBy, w.LeasedBy)
	}
}

func (d *ledgerDecoder) addWave(key string, raw []byte) error {
	id, _, err := cutPart(key)
	if err != nil {
		return err
	}
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return err
	}
	var w wave
	if err := json.Unmarshal(raw, &w); err != nil {
		return err
	}
	i := slices.IndexFunc(d.out.Waves, func(other ledger.Wave) bool { return other.ID == n })
	if i < 0 {
		d.out.Waves = append(d.out.Waves, ledger.Wave{ID: n, Done: w.Done})
	} else {
		d.out.Waves[i].Done = append(d.out.Waves[i].Done, w.Done...)
	}
	return nil
}

func decodeDefinition(raw []byte) (*ledger.Definition, error) {
	var w definition
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	spec, err := DecodeSpec(w.Spec)
	return &ledger.Definition{
		Queue: w.Queue, Service: w.Service, MaxAttempts: w.MaxAttempts, Accepted: time.UnixMilli(w.Accepted), Spec: spec, Tenant: w.Tenant,
		ExpectedPath: fleet.Milliseconds(w.ExpectedPath),
	}, err
}

func decodeProgress(raw []byte) (*ledger.Progress, error) {
	var w progress
	if len(raw) > 0 && raw[0] == '[' {
		var list []progress
		if err := json.Unmarshal(raw, &list); err != nil {
			return nil, err
		}
		if len(list) != 1 || list[0].Parts <= 0 {
			return nil, errPartNumber
		}
		w = list[0]
	} else if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	p := &ledger.Progress{
		Queue: w.Queue, State: w.State, Begun: w.Begun, NotBegun: w.NotBegun, Generation: w.Generation, Parts: w.Parts, Occurrences: decodeOccurrences(w.Occurrences),
	}
	if w.Ended != 0 {
		p.Ended = time.UnixMilli(w.Ended)
	}
	if c := w.Stopping; c != nil {
		p.Stopping, p.Tenant = fleet.Capacity{CPU: c[0], Memory: c[1], Accelerators: c[2]}, w.Tenant
	}
	return p, nil
}
