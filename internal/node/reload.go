package node

import (
	"net/http"

	"dandelionspoke/internal/settings"
)

// Reload applies the settings that can change while the node runs: backend.service and retry. The log level can change
// as well, but is set by the caller. Reload reports whether any other setting differs, which requires a restart.
func (n *Node) Reload(s settings.Settings) (needsRestart bool) {
	if n.adapter.Configure != nil {
		n.adapter.Configure(&s)
	}
	service, retry := s.Backend.Service, s.Retry
	n.serviceName.Store(&service)
	n.retrySettings.Store(&retry)
	if b := n.bundles.inForce.Load(); b != nil {
		n.applyRetryBudget(b.Policy)
	}
	current := n.settings
	current.Backend.Service, current.Retry, current.Log = s.Backend.Service, s.Retry, s.Log
	// Start may have filled in the identifier and the advertised address.
	current.NodeID, current.Peer.Advertise = s.NodeID, s.Peer.Advertise
	needsRestart = !settings.Equal(current, s)
	n.logger.Info("settings reloaded", "event", "settings_reloaded", "service", service, "retry_share", retry.Share,
		"retry_floor", retry.Floor, "log_level", s.Log.Level, "needs_restart", needsRestart)
	return needsRestart
}

// metricsHandler serves counters and histograms as text on any path.
func (n *Node) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		if err := n.metrics.Write(w, n.Metrics()); err != nil {
			n.logger.Debug("failed to send metrics", "event", "metrics_not_sent", "error", err)
		}
	})
}
