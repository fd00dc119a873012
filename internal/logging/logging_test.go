package logging

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// blockingWriter blocks each write until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// Guards against blocking callers, or buffering without bound, while the output accepts no writes.
func TestLogDoesNotBlock(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	s := New(w, slog.LevelInfo)
	done := make(chan struct{})
	go func() {
		defer close(done)
		text := strings.Repeat("x", 1000)
		for range 10_000 {
			s.Logger().Warn("line", "text", text)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks while the output accepts no writes")
	}
	if s.Dropped() == 0 {
		t.Error("no line was dropped, so 10 MB of lines were buffered in memory")
	}
	close(w.release)
	s.Close()
}

// Guards against a log volume that grows with the load, and against a rate limit that also drops warnings.
func TestLogVolumeIsBounded(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	close(w.release)
	s := New(w, slog.LevelInfo)
	for range 3 * lineBurst {
		s.Logger().With("node", "a").Info("request ended")
	}
	s.Logger().Warn("store lost")
	s.Close()
	text := w.text.String()
	if lines := strings.Count(text, "request ended"); lines > lineBurst+linesPerSecond {
		t.Errorf("%d lines", lines)
	}
	if !strings.Contains(text, "store lost") || s.Dropped() == 0 {
		t.Errorf("warning written: %v, lines dropped: %d", strings.Contains(text, "store lost"), s.Dropped())
	}
}

// Guards against stack traces in the log, which would break an entry into several lines.
func TestErrorsAreOneLine(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	close(w.release)
	s := New(w, slog.LevelInfo)
	s.Logger().Info("failed", "error", errors.Wrap(errors.New("cause"), "call"))
	s.Close()
	if got := w.text.String(); strings.Count(got, "\n") != 1 || strings.Contains(got, ".go") || !strings.Contains(got, `error="call: cause"`) {
		t.Errorf("line %q", got)
	}
}
