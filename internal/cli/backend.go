package cli

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/backendtest"
)

// backendCommand runs the stand-in backend server as a process, for the quick start and for tests.
type backendCommand struct {
	ID           string        `required:"" help:"Endpoint ID."`
	Service      string        `required:"" help:"Service that the server belongs to."`
	Listen       string        `default:"127.0.0.1:0" help:"ip:port to listen on."`
	Announce     string        `help:"ip:port of the node's announce listener."`
	Ingress      string        `help:"ip:port of the node's ingress, for calls to other services."`
	Slots        int           `default:"12" help:"Requests that run at once."`
	Connections  int           `default:"200" help:"Cap on open connections."`
	ServiceTime  time.Duration `default:"2ms" help:"Median service time."`
	Sigma        float64       `default:"0.3" help:"Spread of the service time: standard deviation of its logarithm."`
	ColdStart    time.Duration `help:"Time after the start during which work is slower."`
	ColdFactor   float64       `default:"4" help:"Factor of the service time during a cold start."`
	Seed         uint64        `default:"1" help:"Seed of the service times."`
	DrainTimeout time.Duration `default:"30s" help:"Bound of a graceful shutdown."`
}

// Run serves until a signal: the first one drains, the second one exits at once.
func (c *backendCommand) Run(o output) error {
	signals := catchSignals()
	defer signals.release()
	s, err := backendtest.Start(backendtest.Options{
		ID:           c.ID,
		Service:      c.Service,
		Listen:       c.Listen,
		Slots:        c.Slots,
		Connections:  c.Connections,
		ConnectDelay: time.Millisecond,
		ServiceTime:  backendtest.Distribution{Median: c.ServiceTime, Sigma: c.Sigma},
		ColdStart:    c.ColdStart,
		ColdFactor:   c.ColdFactor,
		Announce:     c.Announce,
		Ingress:      c.Ingress,
		Seed:         c.Seed,
		OnCrash:      func() { os.Exit(crashExitCode) },
	})
	if err != nil {
		return errors.Wrap(err, "start backend server")
	}
	defer s.Close()
	fmt.Fprintf(o.out, "msg=listening backend=%s\n", s.Addr())
	<-signals.drain
	ctx, cancel := context.WithTimeout(signals.now, c.DrainTimeout)
	defer cancel()
	return s.Drain(ctx)
}

// crashExitCode is the exit code of a stand-in backend server that crashed as it was told to.
const crashExitCode = 70
