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

// record is one record of a topic, with its key and value.
type record struct {
	key   string
	value []byte
}

type append3 struct {
	seq    int64
	offset int
	end    int
}

type producer struct {
	epoch int64
	seq   int64
	last  []append3
}

// topic is partition 0 of a keyed topic. All records are kept.
type topic struct {
	records   []record
	newest    map[string]int
	producers map[string]*producer
	changed   chan struct{}
}

// store is a stand-in of the platform's store for keyed topics.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	answer time.Duration
	// leader is the name of the machine that last wrote under a condition.
	leader string
	// turnedAway holds until when machines are turned away.
	turnedAway map[string]time.Time
}

func newStore() *store {
	return &store{topics: make(map[string]*topic), turnedAway: make(map[string]time.Time), answer: 3 * time.Millisecond}
}

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]int), producers: make(map[string]*producer), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(records []record) {
	for _, r := range records {
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = len(t.records)
		}
		t.records = append(t.records, r)
	}
	if len(records) > 0 {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// put appends a record as the operator or a runner does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add([]record{{key: key, value: value}})
}

func (s *store) get(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if i, ok := t.newest[key]; ok {
		return t.records[i].value
	}
	return nil
}

// handler serves the store to one machine, which it may turn away with 503.
func (s *store) handler(machine string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newestOf)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away := time.Now().Before(s.turnedAway[machine])
		if !away && r.URL.Path == "/log-append" && (r.URL.Query().Has("at") || r.URL.Query().Has("producer")) {
			s.leader = machine
		}
		s.mu.Unlock()
		if away {
			writeJSON(w, http.StatusServiceUnavailable, map[string]any{})
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// turnLeaderAway turns the machine away that last wrote under a condition, and returns its name.
func (s *store) turnLeaderAway(d time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnedAway[s.leader] = time.Now().Add(d)
	return s.leader
}

func (s *store) leaderNow() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // only values that encode are passed
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func decodeRecords(b []byte) ([]record, bool) {
	var out []record
	for len(b) > 0 {
		if len(b) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(b))
		b = b[4:]
		if n < 1 || n > len(b) || n < 1+int(b[0]) || n > 262144 {
			return nil, false
		}
		k := 1 + int(b[0])
		out = append(out, record{key: string(b[1:k]), value: append([]byte(nil), b[k:n]...)})
		b = b[n:]
	}
	return out, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("topic")
	body, err := io.ReadAll(io.LimitReader(r.Body, 2<<20+1))
	records, ok := decodeRecords(body)
	switch {
	case err != nil || !ok || q.Get("part") != "0":
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	case len(body) > 2<<20:
		writeJSON(w, http.StatusRequestEntityTooLarge, map[string]any{})
		return
	case name == names.Operators || name == names.Runners:
		writeJSON(w, http.StatusForbidden, map[string]any{})
		return
	}
	time.Sleep(s.answer)
	status, answer := s.appendLocked(q.Get("topic"), q.Get("at"), q.Get("producer"), q.Get("epoch"), q.Get("seq"), records)
	writeJSON(w, status, answer)
}

func (s *store) appendLocked(name, at, who, epochText, seqText string, records []record) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if at != "" && at != strconv.Itoa(len(t.records)) {
		return http.StatusPreconditionFailed, map[string]any{"end": len(t.records)}
	}
	if who == "" {
		offset := len(t.records)
		t.add(records)
		return http.StatusOK, map[string]any{"offset": offset, "end": len(t.records)}
	}
	epoch, _ := strconv.ParseInt(epochText, 10, 64)
	seq, _ := strconv.ParseInt(seqText, 10, 64)
	p, ok := t.producers[who]
	if !ok {
		p = &producer{epoch: -1}
		t.producers[who] = p
	}
	if epoch < p.epoch {
		return http.StatusConflict, map[string]any{"reason": "fenced"}
	}
	if len(records) == 0 {
		if epoch > p.epoch {
			p.epoch, p.seq, p.last = epoch, 0, nil
		}
		return http.StatusOK, map[string]any{"offset": len(t.records), "end": len(t.records)}
	}
	if epoch == p.epoch {
		for _, a := range p.last {
			if a.seq == seq {
				return http.StatusOK, map[string]any{"offset": a.offset, "end": a.end}
			}
		}
		if seq != p.seq+1 {
			return http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1}
		}
	} else {
		p.epoch, p.last = epoch, nil
	}
	p.seq = seq
	offset := len(t.records)
	t.add(records)
	p.last = append(p.last, append3{seq: seq, offset: offset, end: len(t.records)})
	if len(p.last) > 5 {
		p.last = p.last[1:]
	}
	return http.StatusOK, map[string]any{"offset": offset, "end": len(t.records)}
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		limit = 1024
	}
	time.Sleep(s.answer)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		n, changed := len(t.records), t.changed
		var out []byte
		if n > from || wait == 0 {
			out = binary.BigEndian.AppendUint64(out, uint64(n))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < n && len(out) < limit<<10; i++ {
				rec := t.records[i]
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(out, byte(len(rec.key)))
				out = append(out, rec.key...)
				out = append(out, rec.value...)
			}
		}
		s.mu.Unlock()
		if out != nil {
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-end:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newestOf(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(s.answer)
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	var keys []string
	for k := range t.newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	size, truncated := 0, false
	for _, k := range keys {
		if len(items) == 500 || size > 1<<20 {
			truncated = true
			break
		}
		i := t.newest[k]
		size += len(t.records[i].value)
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(t.records[i].value), "offset": i})
	}
	end := len(t.records)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "end": end})
}
