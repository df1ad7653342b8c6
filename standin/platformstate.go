package standin

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/infra"
)

// maxPage is the largest number of records in one page.
const maxPage = 256

// Events of the platform.
type (
	platformEvent interface{ isPlatformEvent() }

	appendRequested struct {
		call   uint64
		stream string
		data   []byte
	}
	readRequested struct {
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
	listRequested struct{ call uint64 }
	listSet       struct{ rows []infra.ListedInstance }
	platformTimer struct{}
)

func (appendRequested) isPlatformEvent() {}
func (readRequested) isPlatformEvent()   {}
func (logFaultSet) isPlatformEvent()     {}
func (logTrimmed) isPlatformEvent()      {}
func (listRequested) isPlatformEvent()   {}
func (listSet) isPlatformEvent()         {}
func (platformTimer) isPlatformEvent()   {}

// Effects of the platform.
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
	// down means that the append was refused, lost that it took effect but is
	// answered with an error.
	down, lost bool
}

type readResult struct {
	page infra.Page
	down bool
}

// LogFault holds the faults of the log.
type LogFault struct {
	// Down refuses all appends and reads.
	Down bool
	// LoseAnswers is the number of next appends that take effect but are answered
	// with an error.
	LoseAnswers int
}

type platformState struct {
	streams      map[string]*logStream
	pendingReads []pendingRead
	fault        LogFault
	listed       []infra.ListedInstance
	workers      workerState
	out          []platformEffect
}

type logStream struct {
	oldest fleet.Offset
	data   [][]byte
}

type pendingRead struct {
	readRequested
	deadline time.Time
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
	case appendRequested:
		s.append(e)
	case readRequested:
		s.read(now, e)
	case logFaultSet:
		s.fault = e.fault
	case listRequested:
		s.out = append(s.out, replyList{call: e.call, rows: s.listed})
	case listSet:
		s.listed = e.rows
	case logTrimmed:
		s.trim(e)
	case commandRequested:
		s.command(now, e)
	case workerFaultSet:
		s.workers.fault = e.fault
	case executedRequested:
		s.out = append(s.out, replyExecuted{call: e.call, executed: slices.Clone(s.workers.executed)})
	}
	s.finishReboots(now)
	s.answerReads(now)
	s.armTimer()
	return s.out
}

func (s *platformState) append(e appendRequested) {
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

func (s *platformState) read(now time.Time, e readRequested) {
	s.pendingReads = append(s.pendingReads, pendingRead{readRequested: e, deadline: now.Add(e.wait)})
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

// answerReads answers the reads that have records or whose wait has ended. While
// the log is down, it refuses all reads.
func (s *platformState) answerReads(now time.Time) {
	kept := s.pendingReads[:0]
	for _, r := range s.pendingReads {
		st := s.stream(r.stream)
		switch {
		case s.fault.Down:
			s.out = append(s.out, replyRead{call: r.call, result: readResult{down: true}})
		case r.from < st.next() || !now.Before(r.deadline):
			s.out = append(s.out, replyRead{call: r.call, result: readResult{page: st.page(r.from)}})
		default:
			kept = append(kept, r)
		}
	}
	s.pendingReads = kept
}

// armTimer sets the timer to the end of the next pending read or reboot.
func (s *platformState) armTimer() {
	var next time.Time
	for _, r := range s.pendingReads {
		next = earlier(next, r.deadline)
	}
	for _, r := range s.workers.reboots {
		next = earlier(next, r.done)
	}
	if !next.IsZero() {
		s.out = append(s.out, platformSetTimer{at: next})
	}
}

// earlier returns the earlier of two times. A zero a stands for no time.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
