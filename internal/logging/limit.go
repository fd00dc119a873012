package logging

import (
	"context"
	"log/slog"
)

// limitedHandler drops lines below the level of a warning that exceed the rate of the sink.
type limitedHandler struct {
	slog.Handler
	sink *Sink
}

// Handle implements slog.Handler.
func (h *limitedHandler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelWarn && !h.sink.limit.Allow() {
		h.sink.dropped.Add(1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *limitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitedHandler{Handler: h.Handler.WithAttrs(attrs), sink: h.sink}
}

// WithGroup implements slog.Handler.
func (h *limitedHandler) WithGroup(name string) slog.Handler {
	return &limitedHandler{Handler: h.Handler.WithGroup(name), sink: h.sink}
}
