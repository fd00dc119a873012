package gate

import (
	"context"
	"log/slog"
	"time"

	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// logRan writes the line of an attempt that was passed on to the backend server.
func (c *call) logRan(ctx context.Context, backend *Backend, ran time.Duration, err error) {
	load := c.gate.Load()
	attrs := append(c.logAttrs("gate_ran", load), slog.String("endpoint", backend.ID), slog.Int("status", c.status),
		slog.Duration("waited", c.waited), slog.Duration("ran", ran), slog.Float64("slowness", c.slowness))
	if err != nil {
		e := verdict.As(err)
		attrs = append(attrs, slog.Any("verdict", e.Verdict), slog.Any("reason", e.Reason), slog.String("detail", e.Detail))
	}
	c.gate.logger.LogAttrs(ctx, slog.LevelInfo, "request passed on", attrs...)
}

// logRefused writes the line of an attempt that was turned away or failed, with the load at that moment.
func (c *call) logRefused(e *verdict.Error, load *wire.Load) {
	attrs := append(c.logAttrs("gate_refused", load), slog.Any("verdict", e.Verdict), slog.Any("reason", e.Reason),
		slog.String("detail", e.Detail))
	c.gate.logger.LogAttrs(context.Background(), slog.LevelInfo, "request refused", attrs...)
}

func (c *call) logAttrs(event string, load *wire.Load) []slog.Attr {
	return []slog.Attr{
		slog.String("event", event), slog.String("id", c.gate.protocol.RequestID(c.head.Headers)),
		slog.String("route", c.head.Route), slog.Int("in_flight", int(load.InFlight)),
		slog.Int("queued", int(load.QueuedShort+load.QueuedLong)), slog.Int("slots", int(load.Slots)),
		slog.Duration("service_time", time.Duration(load.ServiceTimeUs)*time.Microsecond),
		slog.Int("deadline_ms", int(c.head.DeadlineMs)), slog.Bool("long", c.head.Long),
	}
}
