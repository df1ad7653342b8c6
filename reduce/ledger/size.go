package ledger

import (
	"time"
	"unicode/utf8"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/runtimes"
)

// Sizes of parts of an encoded record, in bytes.
const (
	// recordOverhead is the size of a record without its key's variable part and its
	// value: length, length of the key and prefixes of the key.
	recordOverhead = 16
	// fieldOverhead is the size of a field without its value: a name of up to nine
	// letters, quotes, colon and comma.
	fieldOverhead = 13
	// objectOverhead is the size of an object or array without its content.
	objectOverhead = 3
	// escapedSize is the size of a character that JSON escapes by its number.
	escapedSize = 6
	// bitmapBlock is the number of tasks that four characters of a bitmap cover.
	bitmapBlock = 24
)

// Size returns the size of the record in the store, in bytes, including what the store's
// protocol adds. The encoded record is no larger, and hardly smaller if it is large.
func (r *Record) Size() int {
	size := recordOverhead + len(r.Job) + intSize(int64(r.Part))
	switch {
	case r.RecentlyOrdered != nil:
		return size + listSize(r.RecentlyOrdered.Instances)
	case r.Restarted != nil:
		return size + listSize(r.Restarted.Runners)
	case r.Unreached != nil:
		return size + r.Unreached.size()
	case r.RunTimes != nil:
		return size + r.RunTimes.size()
	case r.Hold != nil:
		return size + r.Hold.size()
	case r.Wave != nil:
		return size + intSize(r.Wave.ID) + listSize(r.Wave.Done)
	case r.Definition != nil:
		return size + r.Definition.size()
	case r.Progress != nil:
		return size + r.Progress.size()
	case r.ProgressPart != nil:
		return size + intField(r.ProgressPart.Generation) + occurrencesSize(r.ProgressPart.Occurrences)
	default:
		return size
	}
}

func (u *Unreached) size() int {
	size := 3*objectOverhead + intField(u.Epoch) + fieldOverhead
	for id, epoch := range u.LeasedBy {
		size += textSize(string(id)) + intSize(epoch) + 2
	}
	return size
}

func (h *Hold) size() int {
	return objectOverhead + len(h.Task.String()) + intSize(h.Attempt) + textField(string(h.Runner)) + intField(h.Epoch)
}

func (t *RunTimes) size() int {
	size := 2*objectOverhead + fieldOverhead
	for i := range t.Entries {
		size += runTimeSize(&t.Entries[i])
	}
	return size
}

// runTimeSize returns the size of what was learned of a key in an array.
func runTimeSize(e *runtimes.Entry) int {
	size := 2*objectOverhead + fieldOverhead + textField(string(e.Queue)) + textField(e.Image) + intField(int64(e.Step))
	if e.WholeQueue {
		size += shortField + len("true")
	}
	v := &e.Values
	for _, n := range []int64{v.Weight, v.MeanX, v.MeanY, v.SumXX, v.SumXY, v.SumYY, v.Activity} {
		size += intSize(n) + 1
	}
	return size
}

// FitRunTimes returns the record with the first entries that fit into a number of bytes.
func FitRunTimes(entries []runtimes.Entry, limit int) Record {
	r := Record{RunTimes: &RunTimes{}}
	room := limit - r.Size()
	for i := range entries {
		if room -= runTimeSize(&entries[i]); room < 0 {
			break
		}
		r.RunTimes.Entries = entries[:i+1]
	}
	return r
}

func (d *Definition) size() int {
	return 2*objectOverhead + textField(string(d.Queue)) + textField(string(d.Service)) + intField(int64(d.MaxAttempts)) +
		intField(d.Accepted.UnixMilli()) + textField(string(d.Tenant)) + durationField(d.ExpectedPath) + fieldOverhead + specSize(d.Spec)
}

func specSize(s *fleet.JobSpec) int {
	size := 2*objectOverhead + textField(s.Text) + intField(int64(s.Repeats)) + intField(s.FirstAt.UnixMilli()) +
		durationField(s.Interval) + fieldOverhead
	for i := range s.Steps {
		size += stepSize(&s.Steps[i]) + 1
	}
	return size
}

func stepSize(st *fleet.Step) int {
	size := objectOverhead + textField(st.Label) + textField(string(st.Affinity)) + textField(st.Image) +
		durationField(st.Estimate) + durationField(st.LatencyTarget)
	for _, n := range []int64{
		int64(st.Count), st.Needs.CPU, st.Needs.Memory, st.Needs.Accelerators, int64(st.MaxPerRunner), int64(st.MaxUnavailable),
	} {
		size += intField(n)
	}
	for _, set := range []bool{st.Checkpoints, st.Gang, st.SameRack, st.Speculative, st.LongRunning, st.BestEffort} {
		if set {
			size += fieldOverhead
		}
	}
	if len(st.After) > 0 {
		size += fieldOverhead + objectOverhead
	}
	for _, a := range st.After {
		size += intSize(int64(a)) + 1
	}
	return size
}

func (p *Progress) size() int {
	return 2*objectOverhead + textField(string(p.Queue)) + textField(string(p.State)) + intField(p.Ended.UnixMilli()) +
		intField(int64(p.Begun)) + fieldOverhead + len("true") + intField(p.Generation) + intField(int64(p.Parts)) + occurrencesSize(p.Occurrences) +
		textField(string(p.Tenant)) + objectOverhead + intField(p.Stopping.CPU) + intField(p.Stopping.Memory) + intField(p.Stopping.Accelerators)
}

func occurrencesSize(list []Occurrence) int {
	size := 2*objectOverhead + fieldOverhead
	for i := range list {
		size += list[i].size()
	}
	return size
}

// size returns the size of the occurrence in an array.
func (o *Occurrence) size() int {
	size := o.sizeWithoutTasks()
	for i := range o.Tasks {
		size += o.Tasks[i].size()
	}
	return size
}

func (o *Occurrence) sizeWithoutTasks() int {
	return 2*objectOverhead + intField(int64(o.Number)) + 2*fieldOverhead + 4*((len(o.Done)+bitmapBlock-1)/bitmapBlock+1)
}

// size returns the size of the task in an array.
func (t *Task) size() int {
	size := objectOverhead + fieldOverhead + textField(string(t.CrashedOn)) + textField(string(t.Runner)) + textField(string(t.Instance)) + textField(t.Address) + textField(t.Checkpoint)
	for _, n := range []int64{
		int64(t.Number), t.Attempt, int64(t.Failures), int64(t.Crashes), int64(t.CertainCrashes), int64(t.Trial), int64(t.Incarnation), t.StartEpoch,
	} {
		size += intField(n)
	}
	if len(t.FailedAttempts) > 0 {
		size += fieldOverhead
	}
	for _, n := range t.FailedAttempts {
		size += intSize(n) + 1
	}
	if t.StaleLeases {
		size += fieldOverhead + len("true")
	}
	if t.Settled {
		size += fieldOverhead + len("true")
	}
	for _, runs := range [][]Run{t.Unresolved, t.LateStarts} {
		if len(runs) > 0 {
			size += fieldOverhead + objectOverhead
		}
		for _, u := range runs {
			size += objectOverhead + 4*fieldOverhead + intSize(u.Attempt) + textSize(string(u.Runner)) + textSize(string(u.Instance)) + intSize(u.Epoch)
		}
	}
	return size
}

func listSize[T ~string](ids []T) int {
	size := 2*objectOverhead + fieldOverhead
	for _, id := range ids {
		size += textSize(string(id)) + 1
	}
	return size
}

func intField(n int64) int { return shortField + intSize(n) }

func durationField(d time.Duration) int { return intField(d.Milliseconds()) }

func textField(s string) int {
	if s == "" {
		return 0
	}
	return shortField + textSize(s)
}

// shortField is the size of a field with a name of one letter, without its value.
const shortField = 5

// intSize returns the number of characters of a number.
func intSize(n int64) int {
	size := 1
	if n < 0 {
		size++
	}
	for n /= 10; n != 0; n /= 10 {
		size++
	}
	return size
}

// textSize returns the size of a JSON string: letters of markup and control characters
// take six bytes, and so do bytes that are not UTF-8.
func textSize(s string) int {
	size := 2
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			size += 2
		case r < ' ' || r == '<' || r == '>' || r == '&' || r == utf8.RuneError || r == '\u2028' || r == '\u2029':
			size += escapedSize
		default:
			size += utf8.RuneLen(r)
		}
	}
	return size
}
