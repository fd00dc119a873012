// Package logging writes structured log lines without blocking the caller. Lines go through a bounded buffer; lines
// that do not fit are dropped and counted.
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
	// flushInterval is the time for which lines are collected into one write, as each write costs a system call.
	flushInterval = 100 * time.Millisecond
	// maxBufferedBytes bounds the lines that wait to be written.
	maxBufferedBytes = 1 << 20
	// linesPerSecond and lineBurst limit the rate of lines below level Warn. At its share of the design load, a node
	// logs about 100 requests per second.
	linesPerSecond = 500
	lineBurst      = 2000
)

// Sink is the destination of a logger. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	level   slog.LevelVar
	limiter *rate.Limiter
	dropped atomic.Int64 // lines dropped since the start
	logger  *slog.Logger

	mu             sync.Mutex
	buffer         []byte
	closed         bool
	flushRequested chan struct{} // holds a value if the buffer is not empty or the sink was closed
	finished       chan struct{}
}

// New returns a sink that writes lines of key=value pairs to out in the background until Close.
func New(out io.Writer, level slog.Level) *Sink {
	s := &Sink{
		out: out, limiter: rate.NewLimiter(linesPerSecond, lineBurst),
		flushRequested: make(chan struct{}, 1), finished: make(chan struct{}),
	}
	s.level.Set(level)
	text := slog.NewTextHandler((*lineWriter)(s), &slog.HandlerOptions{Level: &s.level, ReplaceAttr: errorsAsMessages})
	s.logger = slog.New(&rateLimitedHandler{Handler: text, sink: s})
	go s.run()
	return s
}

// Logger returns the logger that writes to the sink.
func (s *Sink) Logger() *slog.Logger { return s.logger }

// SetLevel sets the minimum level of the lines that are written.
func (s *Sink) SetLevel(level slog.Level) { s.level.Set(level) }

// Dropped returns the number of lines dropped since the start.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the buffered lines and stops the sink. Later lines are dropped.
func (s *Sink) Close() {
	s.mu.Lock()
	alreadyClosed := s.closed
	s.closed = true
	s.mu.Unlock()
	if !alreadyClosed {
		s.requestFlush()
	}
	<-s.finished
}

func (s *Sink) requestFlush() {
	select {
	case s.flushRequested <- struct{}{}:
	default:
	}
}

// errorsAsMessages replaces error values by their message. The text handler would otherwise print the stack trace of
// errors that carry one.
func errorsAsMessages(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// lineWriter adds the lines of the text handler to the buffer.
type lineWriter Sink

// Write implements io.Writer. It never blocks on the output and always returns a nil error.
func (w *lineWriter) Write(line []byte) (int, error) {
	s := (*Sink)(w)
	s.mu.Lock()
	fits := !s.closed && len(s.buffer)+len(line) <= maxBufferedBytes
	if fits {
		s.buffer = append(s.buffer, line...)
	}
	s.mu.Unlock()
	if fits {
		s.requestFlush()
	} else {
		s.dropped.Add(1)
	}
	return len(line), nil
}

func (s *Sink) run() {
	defer close(s.finished)
	reportedDrops := int64(0)
	for range s.flushRequested {
		if s.flush() {
			return
		}
		time.Sleep(flushInterval)
		if dropped := s.dropped.Load(); dropped > reportedDrops {
			s.logger.Warn("log lines dropped", "event", "log_dropped", "lines", dropped-reportedDrops, "total", dropped)
			reportedDrops = dropped
		}
	}
}

// flush writes the buffered lines and reports whether the sink has been closed.
func (s *Sink) flush() (closed bool) {
	s.mu.Lock()
	lines := s.buffer
	s.buffer = nil
	closed = s.closed
	s.mu.Unlock()
	if len(lines) > 0 {
		// The error is ignored: the log itself can't be written, and there is no other place to report it.
		_, _ = s.out.Write(lines)
	}
	return closed
}
