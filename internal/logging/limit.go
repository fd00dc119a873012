package logging

import (
	"context"
	"log/slog"
)

// rateLimitedHandler drops lines below level Warn that exceed the rate limit of the sink.
type rateLimitedHandler struct {
	slog.Handler
	sink *Sink
}

// Handle implements slog.Handler.
func (h *rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelWarn && !h.sink.limiter.Allow() {
		h.sink.dropped.Add(1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithAttrs(attrs), sink: h.sink}
}

// WithGroup implements slog.Handler.
func (h *rateLimitedHandler) WithGroup(name string) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithGroup(name), sink: h.sink}
}
