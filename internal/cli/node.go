package cli

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/node"
)

type nodeCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"TOML file with the settings of the node."`
}

// Run serves until a signal: the first one drains, the second one exits at once.
func (c *nodeCommand) Run(o output) error {
	s, err := loadSettings(o, c.Settings)
	if err != nil {
		return err
	}
	collectLessOften()
	signals := catchSignals()
	defer signals.release()
	logger := slog.New(slog.NewTextHandler(o.err, &slog.HandlerOptions{Level: s.Log.Level}))
	n, err := node.New(node.Options{Settings: s, Logger: logger})
	if err != nil {
		return err
	}
	if err := n.Start(signals.now); err != nil {
		return errors.CombineErrors(err, n.Close())
	}
	a := n.Addrs()
	fmt.Fprintf(o.out, "msg=listening ingress=%s peer=%s udp=%s admin=%s announce=%s\n", a.Ingress, a.Peer, a.UDP, a.Admin, a.Announce)
	<-signals.drain
	ctx, cancel := context.WithTimeout(signals.now, s.DrainTimeout)
	defer cancel()
	return errors.CombineErrors(errors.Wrap(n.Drain(ctx), "drain"), n.Close())
}
