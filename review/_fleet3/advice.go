package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

type ticket struct {
	text  string
	until time.Time
}

// adviceService is a stand-in of the advice service. Its policy allows all runners of the
// service for every step; it answers one call after the other.
type adviceService struct {
	f       *fleet
	decide  time.Duration
	each    time.Duration
	valid   time.Duration
	turn    sync.Mutex
	mu      sync.Mutex
	waiting int
	n       int
	tickets map[string]ticket
}

func newAdvice(f *fleet) *adviceService {
	return &adviceService{f: f, decide: 10 * time.Millisecond, each: time.Millisecond, valid: 3 * time.Second, tickets: make(map[string]ticket)}
}

func (a *adviceService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if r.URL.Path != "/advise" || json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Workers) > 100 {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	a.mu.Lock()
	full := a.waiting >= 32
	a.waiting++
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.waiting--
		a.mu.Unlock()
	}()
	if full {
		writeJSON(w, http.StatusTooManyRequests, map[string]any{})
		return
	}
	a.turn.Lock()
	defer a.turn.Unlock()
	time.Sleep(a.decide + time.Duration(len(body.Workers))*a.each)
	good := [][]string{}
	a.mu.Lock()
	for _, id := range body.Workers {
		a.n++
		t := fmt.Sprintf("ticket-%d", a.n)
		a.tickets[body.Step+" "+id] = ticket{text: t, until: time.Now().Add(a.valid)}
		good = append(good, []string{id, t})
	}
	a.mu.Unlock()
	a.f.log("advice for %s about %v: good %v", body.Step, body.Workers, good)
	writeJSON(w, http.StatusOK, map[string]any{"good": good, "valid_ms": a.valid.Milliseconds()})
}

// ticketValid reports whether a ticket lets a step start on a runner.
func (f *fleet) ticketValid(step, runner, text string) bool {
	a := f.advice
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.tickets[step+" "+runner]
	return ok && t.text == text && time.Now().Before(t.until)
}
