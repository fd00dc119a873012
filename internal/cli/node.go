package cli

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/logging"
	"dandelionspoke/internal/node"
	"dandelionspoke/internal/settings"
)

type nodeCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"TOML file with the settings of the node."`
}

// Run serves until SIGTERM or SIGINT. The first signal starts the drain, the second one ends it immediately.
func (c *nodeCommand) Run(o output) error {
	s, err := loadSettings(o, c.Settings)
	if err != nil {
		return err
	}
	setGCPercent(s.GCPercent)
	signals := catchSignals()
	defer signals.release()
	sink := logging.New(o.stdout, s.Log.Level)
	defer sink.Close()
	n, err := node.New(node.Options{Settings: s, Logger: sink.Logger(), LogsDropped: sink.Dropped})
	if err != nil {
		return err
	}
	reload := func() { c.reload(n, sink) }
	signals.onHangup(reload)
	defer watchFile(signals.ctx, c.Settings, reload)()
	if err := n.Start(signals.ctx); err != nil {
		return errors.CombineErrors(err, n.Close())
	}
	a := n.Addrs()
	fmt.Fprintf(o.stdout, "msg=listening ingress=%s peer=%s udp=%s admin=%s announce=%s\n", a.Ingress, a.Peer, a.UDP, a.Admin, a.Announce)
	<-signals.drain
	ctx, cancel := context.WithTimeout(signals.ctx, s.DrainTimeout)
	defer cancel()
	return errors.CombineErrors(errors.Wrap(n.Drain(ctx), "drain"), n.Close())
}

// reload applies the settings file to a running node. If the file has errors, the node keeps its settings.
func (c *nodeCommand) reload(n *node.Node, sink *logging.Sink) {
	s, faults, err := settings.Load(c.Settings)
	switch {
	case err != nil:
		sink.Logger().Error("settings not reloaded", "event", "settings_refused", "error", err)
	case len(faults) > 0:
		sink.Logger().Error("settings not reloaded", "event", "settings_refused", "faults", len(faults), "first", faults[0].Error())
	default:
		sink.SetLevel(s.Log.Level)
		n.Reload(s)
	}
}
