package daemon

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// logBuffer is the number of bytes of log lines that wait to be written:
	// about ten seconds of the busiest entry's lines.
	logBuffer = 2 << 20
	// logInterval groups lines into one write.
	logInterval = 100 * time.Millisecond
)

// LogWriter takes lines without ever waiting for the reader of the log: when
// the buffer is full, lines are dropped and counted.
type LogWriter struct {
	out     io.Writer
	wake    chan struct{}
	done    chan struct{}
	dropped atomic.Int64

	mu     sync.Mutex
	buffer bytes.Buffer
}

// NewLogWriter returns a writer that passes lines on until Close.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer for one line. It never fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	full := w.buffer.Len()+len(line) > logBuffer
	if !full {
		w.buffer.Write(line)
	}
	w.mu.Unlock()
	if full {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.wake <- struct{}{}:
	default: // run has been woken already
	}
	return len(line), nil
}

// Dropped returns the number of lines that found the buffer full.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits and ends the writer. Nothing may be written after.
func (w *LogWriter) Close() {
	close(w.wake)
	<-w.done
}

func (w *LogWriter) run() {
	defer close(w.done)
	var chunk bytes.Buffer
	for range w.wake {
		w.pass(&chunk)
		time.Sleep(logInterval)
	}
	w.pass(&chunk)
}

// pass writes what waits. A reader that has gone loses the lines.
func (w *LogWriter) pass(chunk *bytes.Buffer) {
	chunk.Reset()
	w.mu.Lock()
	_, _ = w.buffer.WriteTo(chunk) // a buffer's write does not fail
	w.mu.Unlock()
	if _, err := w.out.Write(chunk.Bytes()); err != nil {
		w.dropped.Add(1)
	}
}

// Logger returns a logger of JSON lines with the process's name.
func (w *LogWriter) Logger(entry string) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, nil)).With("entry", entry)
}

// LogDropped writes now and then how many lines were dropped, until the context
// ends.
func (w *LogWriter) LogDropped(ctx context.Context, logger *slog.Logger) {
	const interval = 10 * time.Second
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var told int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if n := w.Dropped(); n > told {
				logger.Warn("log lines dropped", "count", n-told)
				told = n
			}
		}
	}
}
