package gate

import (
	"context"
	"log/slog"
	"time"

	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// logForwarded logs an attempt that was forwarded to the backend server.
func (c *call) logForwarded(ctx context.Context, backend *Backend, serviceTime time.Duration, err error) {
	load := c.gate.Load()
	attrs := append(c.logAttrs("gate_ran", load), slog.String("endpoint", backend.ID), slog.Int("status", c.backendStatus),
		slog.Duration("waited", c.queueTime), slog.Duration("ran", serviceTime), slog.Float64("slowness", c.slowness))
	if err != nil {
		e := verdict.As(err)
		attrs = append(attrs, slog.Any("verdict", e.Verdict), slog.Any("reason", e.Reason), slog.String("detail", e.Detail))
	}
	c.gate.logger.LogAttrs(ctx, slog.LevelInfo, "request forwarded", attrs...)
}

// logRefused logs an attempt that was refused or failed, with the load of the gate at that time.
func (c *call) logRefused(e *verdict.Error, load *wire.Load) {
	attrs := append(c.logAttrs("gate_refused", load), slog.Any("verdict", e.Verdict), slog.Any("reason", e.Reason),
		slog.String("detail", e.Detail))
	c.gate.logger.LogAttrs(context.Background(), slog.LevelInfo, "request refused", attrs...)
}

func (c *call) logAttrs(event string, load *wire.Load) []slog.Attr {
	attrs := []slog.Attr{
		slog.String("event", event), slog.String("id", c.gate.protocol.RequestID(c.head.Headers)),
		slog.String("route", c.head.Route), slog.Int("in_flight", int(load.InFlight)),
		slog.Int("queued", int(load.QueuedShort+load.QueuedLong)), slog.Int("slots", int(load.Slots)),
		slog.Duration("service_time", time.Duration(load.ServiceTimeUs)*time.Microsecond),
		slog.Int("deadline_ms", int(c.head.DeadlineMs)), slog.Bool("long", c.head.Long),
	}
	if c.head.Account != "" {
		attrs = append(attrs, slog.String("account", c.head.Account), slog.Bool("returning", c.head.Returning))
	}
	return attrs
}
