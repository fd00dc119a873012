package ingress

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/table"
	"dandelionspoke/internal/verdict"
)

// logServed writes the line that closes a request, with what decided its outcome.
func (in *Ingress) logServed(ctx context.Context, q *request, err error) {
	attrs := []slog.Attr{
		slog.String("event", "request_end"), slog.String("id", q.id), slog.String("route", q.route.Name),
		slog.String("service", q.to), slog.Int("status", q.status), slog.Uint64("bundle", q.snapshot.Bundle.Version),
		slog.Int("attempts", q.sent), slog.Int("moves", q.moved), slog.Duration("took", time.Since(q.started)),
		slog.Duration("left", time.Until(q.deadline)),
	}
	if q.last != nil {
		attrs = append(attrs, slog.String("endpoint", q.last.ID), slog.String("node", q.last.NodeID))
	}
	switch {
	case errors.Is(err, http.ErrAbortHandler):
		attrs = append(attrs, slog.String("outcome", "answer-broken"))
	case err != nil:
		e := verdict.As(err)
		attrs = append(attrs, slog.String("outcome", "failed"), slog.Any("verdict", e.Verdict),
			slog.Any("reason", e.Reason), slog.String("detail", e.Detail))
	default:
		attrs = append(attrs, slog.String("outcome", "answered"))
	}
	in.Logger.LogAttrs(ctx, slog.LevelInfo, "request ended", attrs...)
}

// logChoice writes the line of a choice of endpoint with the figures that it rested on and their age.
func (in *Ingress) logChoice(ctx context.Context, q *request, t *tries, ep *table.Endpoint) {
	if !in.Logger.Enabled(ctx, slog.LevelDebug) {
		return
	}
	s := ep.Stats
	in.Logger.LogAttrs(ctx, slog.LevelDebug, "endpoint chosen", slog.String("event", "endpoint_chosen"),
		slog.String("id", q.id), slog.String("service", q.to), slog.String("endpoint", ep.ID), slog.String("node", ep.NodeID),
		slog.Int("attempt", t.started), slog.Int("own", int(s.OwnInFlight.Load())),
		slog.Int("reported", int(s.ReportedInFlight.Load())), slog.Int("queued", int(s.ReportedQueue.Load())),
		slog.Duration("report_age", time.Duration(now()-s.ReportedAt.Load())), slog.Uint64("snapshot", q.snapshot.Version))
}

// logFailed writes the line of a failed attempt with the decision on another one.
func (in *Ingress) logFailed(ctx context.Context, q *request, t *tries, e *verdict.Error, next string) {
	node := ""
	if t.endpoint != nil {
		node = t.endpoint.NodeID
	}
	in.Logger.LogAttrs(ctx, slog.LevelInfo, "attempt failed", slog.String("event", "attempt_failed"),
		slog.String("id", q.id), slog.String("service", q.to), slog.String("node", node), slog.Int("attempt", t.started),
		slog.Any("verdict", e.Verdict), slog.Any("reason", e.Reason), slog.String("detail", e.Detail),
		slog.String("next", next), slog.Duration("took", time.Since(q.started)), slog.Duration("left", time.Until(q.deadline)))
}
