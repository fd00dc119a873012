// Package logging writes structured log lines without ever making a caller wait: lines go through a bounded
// buffer, and what does not fit is counted instead of written.
package logging

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// flushInterval groups lines into one write, since each write costs a system call.
	flushInterval = 100 * time.Millisecond
	// maxBuffered bounds the lines that wait for the writer.
	maxBuffered = 1 << 20
	// linesPerSecond and lineBurst bound the lines below the level of a warning. A node at its share of the
	// design load logs about 100 requests a second.
	linesPerSecond = 500
	lineBurst      = 2000
)

// Sink is the destination of a logger. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	level   slog.LevelVar
	limit   *rate.Limiter
	dropped atomic.Int64 // lines since start that were not written
	logger  *slog.Logger

	mu       sync.Mutex
	buffer   []byte
	closed   bool
	pending  chan struct{} // holds a value while the buffer is not empty
	finished chan struct{}
}

// New returns a sink that writes lines of key=value pairs to out in the background until Close.
func New(out io.Writer, level slog.Level) *Sink {
	s := &Sink{
		out: out, limit: rate.NewLimiter(linesPerSecond, lineBurst),
		pending: make(chan struct{}, 1), finished: make(chan struct{}),
	}
	s.level.Set(level)
	text := slog.NewTextHandler((*lineWriter)(s), &slog.HandlerOptions{Level: &s.level, ReplaceAttr: shortErrors})
	s.logger = slog.New(&limitedHandler{Handler: text, sink: s})
	go s.run()
	return s
}

// Logger returns the logger that writes to the sink.
func (s *Sink) Logger() *slog.Logger { return s.logger }

// SetLevel changes the least level that is written.
func (s *Sink) SetLevel(level slog.Level) { s.level.Set(level) }

// Dropped returns the number of lines since the start that were not written.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what is buffered and ends the sink. Later lines are dropped.
func (s *Sink) Close() {
	s.mu.Lock()
	already := s.closed
	s.closed = true
	s.mu.Unlock()
	if !already {
		s.wake()
	}
	<-s.finished
}

func (s *Sink) wake() {
	select {
	case s.pending <- struct{}{}:
	default:
	}
}

// shortErrors writes errors as their message. The text handler would print the stack trace of errors that
// carry one.
func shortErrors(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// lineWriter takes the lines of the text handler.
type lineWriter Sink

// Write implements io.Writer. It never waits and reports no error.
func (w *lineWriter) Write(line []byte) (int, error) {
	s := (*Sink)(w)
	s.mu.Lock()
	fits := !s.closed && len(s.buffer)+len(line) <= maxBuffered
	if fits {
		s.buffer = append(s.buffer, line...)
	}
	s.mu.Unlock()
	if fits {
		s.wake()
	} else {
		s.dropped.Add(1)
	}
	return len(line), nil
}

func (s *Sink) run() {
	defer close(s.finished)
	reported := int64(0)
	for range s.pending {
		if s.flush() {
			return
		}
		time.Sleep(flushInterval)
		if dropped := s.dropped.Load(); dropped > reported {
			s.logger.Warn("log lines dropped", "event", "log_dropped", "lines", dropped-reported, "total", dropped)
			reported = dropped
		}
	}
}

// flush writes the buffer and reports whether the sink has been closed.
func (s *Sink) flush() (closed bool) {
	s.mu.Lock()
	lines := s.buffer
	s.buffer = nil
	closed = s.closed
	s.mu.Unlock()
	if len(lines) > 0 {
		// There is nowhere to report that the log itself can't be written.
		_, _ = s.out.Write(lines)
	}
	return closed
}
