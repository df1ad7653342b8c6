package ledger

// SplitProgress returns the records that store a job's progress, each of at most a number
// of bytes. Progress that needs several records is in parts, which are to be stored before
// the record that names them: a reader sees the progress of one generation as a whole.
func SplitProgress(r Record, generation int64, limit int) []Record {
	if r.Size() <= limit {
		return []Record{r}
	}
	parts := splitOccurrences(r.Progress.Occurrences, limit-partOverhead-len(r.Job))
	out := make([]Record, 0, len(parts)+1)
	for n, occurrences := range parts {
		out = append(out, Record{Job: r.Job, Part: n, ProgressPart: &ProgressPart{Generation: generation, Occurrences: occurrences}})
	}
	head := *r.Progress
	head.Occurrences, head.Generation, head.Parts = nil, generation, len(parts)
	return append(out, Record{Job: r.Job, Progress: &head})
}

// partOverhead is more than the size of a part of a job's progress without its occurrences.
const partOverhead = 128

// splitOccurrences distributes occurrences over groups of at most a number of bytes. An
// occurrence may be in several groups: its first one has the marks of the tasks that are
// done, and each has some of the other tasks.
func splitOccurrences(list []Occurrence, limit int) [][]Occurrence {
	var out [][]Occurrence
	var group []Occurrence
	room := limit
	next := func() {
		if len(group) > 0 {
			out = append(out, group)
		}
		group, room = nil, limit
	}
	for i := range list {
		occ := &list[i]
		piece := Occurrence{Number: occ.Number, Done: occ.Done}
		if piece.size() > room {
			next()
		}
		room -= piece.size()
		for j := range occ.Tasks {
			if size := occ.Tasks[j].size(); size > room {
				group = append(group, piece)
				next()
				piece = Occurrence{Number: occ.Number}
				room -= piece.size()
			}
			room -= occ.Tasks[j].size()
			piece.Tasks = append(piece.Tasks, occ.Tasks[j])
		}
		group = append(group, piece)
	}
	next()
	return out
}

// JoinOccurrences restores the occurrences from the parts of a job's progress, in order.
func JoinOccurrences(parts []*ProgressPart) []Occurrence {
	var out []Occurrence
	for _, p := range parts {
		for _, piece := range p.Occurrences {
			if n := len(out); n > 0 && out[n-1].Number == piece.Number {
				out[n-1].Tasks = append(out[n-1].Tasks, piece.Tasks...)
				continue
			}
			out = append(out, piece)
		}
	}
	return out
}

// SplitIDs distributes ids over lists of which each fits a record of at most a number of
// bytes. It returns at least one list.
func SplitIDs[T ~string](ids []T, limit int) [][]T {
	out := [][]T{nil}
	room := limit - partOverhead
	for _, id := range ids {
		size := textSize(string(id)) + 1
		if size > room && len(out[len(out)-1]) > 0 {
			out, room = append(out, nil), limit-partOverhead
		}
		room -= size
		out[len(out)-1] = append(out[len(out)-1], id)
	}
	return out
}
