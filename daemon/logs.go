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
	// maxBufferBytes is the capacity of the buffer for log lines, in bytes. It holds
	// about ten seconds of the busiest entry's lines.
	maxBufferBytes = 2 << 20
	// flushInterval is the minimum time between two writes. Lines that are logged in
	// between are written together.
	flushInterval = 100 * time.Millisecond
)

// LogWriter buffers log lines and writes them in the background, so that logging
// never blocks. If the buffer is full, lines are dropped and counted.
type LogWriter struct {
	out     io.Writer
	wake    chan struct{}
	done    chan struct{}
	dropped atomic.Int64

	mu     sync.Mutex
	buffer bytes.Buffer
}

// NewLogWriter returns a LogWriter that writes lines to out until Close.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer for one line. It never fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	full := w.buffer.Len()+len(line) > maxBufferBytes
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
	default: // run has been signalled already
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the buffer was
// full. Each failed write counts as one dropped line.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the buffered lines and stops the writer. Write must not be called
// after Close.
func (w *LogWriter) Close() {
	close(w.wake)
	<-w.done
}

func (w *LogWriter) run() {
	defer close(w.done)
	var chunk bytes.Buffer
	for range w.wake {
		w.flush(&chunk)
		time.Sleep(flushInterval)
	}
	w.flush(&chunk)
}

// flush writes the buffered lines. If the write fails, the lines are lost.
func (w *LogWriter) flush(chunk *bytes.Buffer) {
	chunk.Reset()
	w.mu.Lock()
	_, _ = w.buffer.WriteTo(chunk) // a buffer's write does not fail
	w.mu.Unlock()
	if _, err := w.out.Write(chunk.Bytes()); err != nil {
		w.dropped.Add(1)
	}
}

// Logger returns a logger that writes JSON lines with the name of the entry.
func (w *LogWriter) Logger(entry string) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, nil)).With("entry", entry)
}

// LogDropped logs the number of newly dropped lines every ten seconds, if there
// are any, until the context ends.
func (w *LogWriter) LogDropped(ctx context.Context, logger *slog.Logger) {
	const interval = 10 * time.Second
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var reported int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if n := w.Dropped(); n > reported {
				logger.Warn("log lines dropped", "count", n-reported)
				reported = n
			}
		}
	}
}
