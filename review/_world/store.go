package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: logs of keyed records with conditional
// appends, producers and long polls. It loses nothing and is linearizable.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// lastConditional is the entry that last appended under a condition, and
	// conditionalAt the time of that.
	lastConditional string
	conditionalAt   time.Time
}

type topic struct {
	records   []keyed
	newest    map[string]int
	producers map[string]*producer
	changed   chan struct{}
}

type keyed struct {
	key   string
	value []byte
}

type producer struct {
	epoch, seq int64
	// answers holds the offsets of the last appends by their sequence numbers.
	answers map[int64]int
}

func newStore() *store { return &store{topics: make(map[string]*topic)} }

// topic returns a topic. The caller holds mu.
func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]int), producers: make(map[string]*producer), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) append(records []keyed) int {
	first := len(t.records)
	for _, r := range records {
		t.newest[r.key] = len(t.records)
		if r.value == nil {
			delete(t.newest, r.key)
		}
		t.records = append(t.records, r)
	}
	if len(records) > 0 {
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return first
}

// put appends a record of the operator or of a runner; a nil value drops the key.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).append([]keyed{{key, value}})
}

// owner returns the entry that last appended under a condition.
func (s *store) owner() (string, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastConditional, s.conditionalAt
}

// handler serves the store's protocol to one entry.
func (s *store) handler(entry string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", func(w http.ResponseWriter, r *http.Request) { s.serveAppend(entry, w, r) })
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	return mux
}

const appendTime = 4 * time.Millisecond

func decodeRecords(body []byte) ([]keyed, bool) {
	var out []keyed
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n < 1 || n > len(body) || 1+int(body[0]) > n {
			return nil, false
		}
		k := 1 + int(body[0])
		r := keyed{key: string(body[1:k])}
		if n > k {
			r.value = append([]byte{}, body[k:n]...)
		}
		out = append(out, r)
		body = body[n:]
	}
	return out, true
}

func (s *store) serveAppend(entry string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(appendTime)
	q := r.URL.Query()
	records, ok := decodeRecords(body)
	if !ok || q.Get("topic") == names["operators"] || q.Get("topic") == names["runners"] {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	if at := q.Get("at"); at != "" {
		if n, err := strconv.Atoi(at); err != nil || n != len(t.records) {
			reply(w, http.StatusPreconditionFailed, map[string]any{"end": len(t.records)})
			return
		}
		s.lastConditional, s.conditionalAt = entry, time.Now()
	}
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		seq, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
		p, known := t.producers[name]
		if known && epoch < p.epoch {
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if !known || epoch > p.epoch {
			p = &producer{epoch: epoch, seq: seq - 1, answers: make(map[int64]int)}
			t.producers[name] = p
		}
		if len(records) == 0 {
			reply(w, http.StatusOK, map[string]any{"offset": len(t.records), "end": len(t.records)})
			return
		}
		if p.seq < 0 && len(p.answers) == 0 {
			p.seq = seq - 1 // the epoch was set by an empty append
		}
		if first, repeated := p.answers[seq]; repeated {
			reply(w, http.StatusOK, map[string]any{"offset": first, "end": len(t.records)})
			return
		}
		if seq != p.seq+1 {
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1})
			return
		}
		p.seq = seq
		p.answers[seq] = len(t.records)
		delete(p.answers, seq-5)
	}
	first := t.append(records)
	reply(w, http.StatusOK, map[string]any{"offset": first, "end": len(t.records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, changed := len(t.records), t.changed
		var out []byte
		if from < end {
			out = encodeFrom(t.records[from:])
		}
		s.mu.Unlock()
		expired := false
		if len(out) == 0 && waitMS > 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if expired || len(out) > 0 || waitMS == 0 {
			head := binary.BigEndian.AppendUint64(nil, uint64(end))
			head = binary.BigEndian.AppendUint64(head, 0)
			_, _ = w.Write(append(head, out...))
			return
		}
	}
}

func encodeFrom(records []keyed) []byte {
	var out []byte
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(out, r.key...)
		out = append(out, r.value...)
	}
	return out
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("after")
	keys := make([]string, 0, len(t.newest))
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	truncated := len(keys) > 500
	keys = keys[:min(500, len(keys))]
	items := make([]map[string]any, 0, len(keys))
	for _, k := range keys {
		at := t.newest[k]
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(t.records[at].value), "offset": at})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "end": len(t.records)})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
