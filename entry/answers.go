package entry

import (
	"sync"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/reduce/claims"
)

const (
	// maxAnswerBytes is the size of the largest answer that is kept in the claims
	// stream. A full group of such answers fits into one record of the log.
	maxAnswerBytes = 8 << 10
	// maxCacheBytes is the limit for the size of all answers in memory. Older
	// answers are read from the log.
	maxCacheBytes = 4 << 20
	// answerOverheadBytes is added to the size of the content of each answer.
	answerOverheadBytes = 512
)

// answerCache holds the most recent answers of claimed requests.
type answerCache struct {
	mu    sync.Mutex
	byRef map[claims.Ref]codec.Answer
	// order lists the answers, the oldest first.
	order []claims.Ref
	size  int
}

func newAnswerCache() *answerCache {
	return &answerCache{byRef: make(map[claims.Ref]codec.Answer)}
}

// put stores an answer unless it is too large.
func (t *answerCache) put(ref claims.Ref, a codec.Answer) {
	if answerSize(a) > maxAnswerBytes {
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
	for t.size > maxCacheBytes {
		t.dropOldest()
	}
}

func (t *answerCache) dropOldest() {
	ref := t.order[0]
	t.order = t.order[1:]
	t.size -= answerSize(t.byRef[ref])
	delete(t.byRef, ref)
}

func answerSize(a codec.Answer) int {
	size := len(a.Body) + answerOverheadBytes
	for name, values := range a.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

func (t *answerCache) get(ref claims.Ref) (codec.Answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.byRef[ref]
	return a, ok
}

// answersOf returns the cached answers to which the items of a group refer.
func (t *answerCache) answersOf(g claims.Group) map[claims.Ref]codec.Answer {
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
