package entry

import (
	"sync"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/reduce/claims"
)

const (
	// maxAnswer is the largest answer that the claims stream keeps, in bytes. A
	// full group of them fits a record of the log.
	maxAnswer = 8 << 10
	// maxAnswers bounds the answers held in memory, in bytes. Older ones are
	// read from the log.
	maxAnswers = 4 << 20
	// answerOverhead is counted for each answer beside its content, in bytes.
	answerOverhead = 512
)

// answers holds the latest answers of claimed requests.
type answers struct {
	mu    sync.Mutex
	byRef map[claims.Ref]codec.Answer
	// order lists the answers from the oldest on.
	order []claims.Ref
	size  int
}

func newAnswers() *answers {
	return &answers{byRef: make(map[claims.Ref]codec.Answer)}
}

// put keeps an answer unless it is too large.
func (t *answers) put(ref claims.Ref, a codec.Answer) {
	if answerSize(a) > maxAnswer {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.byRef[ref]; known {
		return
	}
	t.byRef[ref] = a
	t.order = append(t.order, ref)
	t.size += answerSize(a)
	for t.size > maxAnswers {
		t.dropOldest()
	}
}

func (t *answers) dropOldest() {
	ref := t.order[0]
	t.order = t.order[1:]
	t.size -= answerSize(t.byRef[ref])
	delete(t.byRef, ref)
}

func answerSize(a codec.Answer) int {
	size := len(a.Body) + answerOverhead
	for name, values := range a.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

func (t *answers) get(ref claims.Ref) (codec.Answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.byRef[ref]
	return a, ok
}

// of returns the answers that the items of a group refer to.
func (t *answers) of(g claims.Group) map[claims.Ref]codec.Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := make(map[claims.Ref]codec.Answer)
	for _, it := range g.Items {
		answered, ok := it.(claims.Answered)
		if !ok {
			continue
		}
		if a, ok := t.byRef[answered.Ref]; ok {
			found[answered.Ref] = a
		}
	}
	return found
}
