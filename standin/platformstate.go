package standin

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/infra"
)

// maxPage is the largest number of records in one page.
const maxPage = 256

// Events of the log.
type (
	platformEvent interface{ isPlatformEvent() }

	appendAsked struct {
		call   uint64
		stream string
		data   []byte
	}
	readAsked struct {
		call   uint64
		stream string
		from   fleet.Offset
		wait   time.Duration
	}
	logFaultSet struct{ fault LogFault }
	logTrimmed  struct {
		stream string
		oldest fleet.Offset
	}
	listAsked     struct{ call uint64 }
	listSet       struct{ rows []infra.ListedInstance }
	platformTimer struct{}
)

func (appendAsked) isPlatformEvent()   {}
func (readAsked) isPlatformEvent()     {}
func (logFaultSet) isPlatformEvent()   {}
func (logTrimmed) isPlatformEvent()    {}
func (listAsked) isPlatformEvent()     {}
func (listSet) isPlatformEvent()       {}
func (platformTimer) isPlatformEvent() {}

// Effects of the log.
type (
	platformEffect interface{ isPlatformEffect() }

	replyAppend struct {
		call   uint64
		result appendResult
	}
	replyRead struct {
		call   uint64
		result readResult
	}
	replyList struct {
		call uint64
		rows []infra.ListedInstance
	}
	platformSetTimer struct{ at time.Time }
)

func (replyAppend) isPlatformEffect()      {}
func (replyRead) isPlatformEffect()        {}
func (replyList) isPlatformEffect()        {}
func (platformSetTimer) isPlatformEffect() {}

type appendResult struct {
	offset fleet.Offset
	// down refuses the append; lost hides that it took effect.
	down, lost bool
}

type readResult struct {
	page infra.Page
	down bool
}

// LogFault is what goes wrong at the log.
type LogFault struct {
	// Down refuses all appends and reads.
	Down bool
	// LoseAnswers is how many of the next appends take effect but are answered
	// with an error.
	LoseAnswers int
}

type platformState struct {
	streams map[string]*logStream
	readers []logReader
	fault   LogFault
	listed  []infra.ListedInstance
	workers workerState
	out     []platformEffect
}

type logStream struct {
	oldest fleet.Offset
	data   [][]byte
}

type logReader struct {
	readAsked
	until time.Time
}

func newPlatformState() *platformState {
	return &platformState{streams: make(map[string]*logStream), workers: newWorkerState()}
}

func (s *platformState) stream(name string) *logStream {
	st, ok := s.streams[name]
	if !ok {
		st = &logStream{oldest: 1}
		s.streams[name] = st
	}
	return st
}

func (st *logStream) next() fleet.Offset { return st.oldest + fleet.Offset(len(st.data)) }

func (st *logStream) page(from fleet.Offset) infra.Page {
	from = max(from, st.oldest)
	page := infra.Page{Next: from, Oldest: st.oldest, End: st.next()}
	for at := from; at < st.next() && len(page.Records) < maxPage; at++ {
		page.Records = append(page.Records, infra.Record{Offset: at, Data: st.data[at-st.oldest]})
		page.Next = at + 1
	}
	return page
}

func (s *platformState) reduce(now time.Time, ev platformEvent) []platformEffect {
	s.out = s.out[:0]
	switch e := ev.(type) {
	case appendAsked:
		s.append(e)
	case readAsked:
		s.read(now, e)
	case logFaultSet:
		s.fault = e.fault
	case listAsked:
		s.out = append(s.out, replyList{call: e.call, rows: s.listed})
	case listSet:
		s.listed = e.rows
	case logTrimmed:
		s.trim(e)
	case commandAsked:
		s.command(now, e)
	case workerFaultSet:
		s.workers.fault = e.fault
	case orderedAsked:
		s.out = append(s.out, replyOrdered{call: e.call, ordered: slices.Clone(s.workers.ordered)})
	}
	s.finishReboots(now)
	s.serveReaders(now)
	s.armTimer()
	return s.out
}

func (s *platformState) append(e appendAsked) {
	if s.fault.Down {
		s.out = append(s.out, replyAppend{call: e.call, result: appendResult{down: true}})
		return
	}
	st := s.stream(e.stream)
	at := st.next()
	st.data = append(st.data, e.data)
	lost := s.fault.LoseAnswers > 0
	if lost {
		s.fault.LoseAnswers--
	}
	s.out = append(s.out, replyAppend{call: e.call, result: appendResult{offset: at, lost: lost}})
}

func (s *platformState) read(now time.Time, e readAsked) {
	s.readers = append(s.readers, logReader{readAsked: e, until: now.Add(e.wait)})
}

func (s *platformState) trim(e logTrimmed) {
	st := s.stream(e.stream)
	drop := min(e.oldest-st.oldest, fleet.Offset(len(st.data)))
	if drop <= 0 {
		return
	}
	st.data = st.data[drop:]
	st.oldest += drop
}

// serveReaders answers the reads that have records or have waited long enough.
func (s *platformState) serveReaders(now time.Time) {
	kept := s.readers[:0]
	for _, r := range s.readers {
		st := s.stream(r.stream)
		switch {
		case s.fault.Down:
			s.out = append(s.out, replyRead{call: r.call, result: readResult{down: true}})
		case r.from < st.next() || !now.Before(r.until):
			s.out = append(s.out, replyRead{call: r.call, result: readResult{page: st.page(r.from)}})
		default:
			kept = append(kept, r)
		}
	}
	s.readers = kept
}

// armTimer asks for a wake-up at the end of the next read or reboot.
func (s *platformState) armTimer() {
	var next time.Time
	for _, r := range s.readers {
		next = earlier(next, r.until)
	}
	for _, r := range s.workers.reboots {
		next = earlier(next, r.done)
	}
	if !next.IsZero() {
		s.out = append(s.out, platformSetTimer{at: next})
	}
}

// earlier returns the earlier of two times; zero means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
