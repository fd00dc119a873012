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

// logRequestEnd logs the end of a request with its outcome and the cause.
func (in *Ingress) logRequestEnd(ctx context.Context, q *request, err error) {
	attrs := []slog.Attr{
		slog.String("event", "request_end"), slog.String("id", q.id), slog.String("route", q.route.Name),
		slog.String("service", q.serviceName), slog.Int("status", q.status), slog.Uint64("bundle", q.snapshot.Bundle.Version),
		slog.Int("attempts", q.attemptsSent), slog.Int("moves", q.moves), slog.Duration("took", time.Since(q.startedAt)),
		slog.Duration("left", time.Until(q.deadline)),
	}
	if q.lastEndpoint != nil {
		attrs = append(attrs, slog.String("endpoint", q.lastEndpoint.ID), slog.String("node", q.lastEndpoint.NodeID))
	}
	if q.accountName != "" {
		attrs = append(attrs, slog.String("account", q.accountName))
	}
	if q.hedgeWon {
		attrs = append(attrs, slog.Bool("hedge_won", true))
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

// logChoice logs the choice of an endpoint with the load values used for it and their age.
func (in *Ingress) logChoice(ctx context.Context, q *request, state *attemptState, ep *table.Endpoint) {
	if !in.Logger.Enabled(ctx, slog.LevelDebug) {
		return
	}
	s := ep.Stats
	in.Logger.LogAttrs(ctx, slog.LevelDebug, "endpoint chosen", slog.String("event", "endpoint_chosen"),
		slog.String("id", q.id), slog.String("service", q.serviceName), slog.String("endpoint", ep.ID), slog.String("node", ep.NodeID),
		slog.Int("attempt", state.startedAttempts), slog.Int("own", int(s.OwnInFlight.Load())),
		slog.Int("reported", int(s.ReportedInFlight.Load())), slog.Int("queued", int(s.ReportedQueue.Load())),
		slog.Duration("report_age", time.Duration(now()-s.ReportedAt.Load())), slog.Uint64("snapshot", q.snapshot.Version))
}

// logHedge logs a hedge: an attempt at ep in addition to the running one at the last endpoint.
func (in *Ingress) logHedge(ctx context.Context, q *request, state *attemptState, ep *table.Endpoint) {
	in.Logger.LogAttrs(ctx, slog.LevelInfo, "hedge sent", slog.String("event", "hedge"),
		slog.String("id", q.id), slog.String("service", q.serviceName), slog.String("running_at", state.lastEndpoint.ID),
		slog.String("endpoint", ep.ID), slog.String("node", ep.NodeID), slog.Duration("took", time.Since(q.startedAt)),
		slog.Duration("objective", q.route.Objective.D()))
}

// logFailedAttempt logs a failed attempt with the decision on another one.
func (in *Ingress) logFailedAttempt(ctx context.Context, q *request, state *attemptState, e *verdict.Error, next string) {
	node := ""
	if state.lastEndpoint != nil {
		node = state.lastEndpoint.NodeID
	}
	in.Logger.LogAttrs(ctx, slog.LevelInfo, "attempt failed", slog.String("event", "attempt_failed"),
		slog.String("id", q.id), slog.String("service", q.serviceName), slog.String("node", node), slog.Int("attempt", state.startedAttempts),
		slog.Any("verdict", e.Verdict), slog.Any("reason", e.Reason), slog.String("detail", e.Detail),
		slog.String("next", next), slog.Duration("took", time.Since(q.startedAt)), slog.Duration("left", time.Until(q.deadline)))
}
